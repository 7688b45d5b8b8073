//! Measured loads, and planned shard moves.

use crate::primary::ShardMove;
use crate::{AssignRow, ControlCore, PlacementCandidate, PlacementView, UpstreamState};
use indexmap::IndexMap;
use kernel::{DomainName, Moment, ServiceName, ShardId, UpstreamId};
use std::time::Duration;

const REBALANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum age of the last read of the table for a move to begin.
///
/// A shard whose move can't be committed is served by no upstream meanwhile.
const MAX_READ_AGE: Duration = Duration::from_millis(150);
/// Delay before the next round when a move waits for a read of the table.
const READ_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Minimum time between moves from one upstream, for the measured loads to settle.
const MIN_MOVE_INTERVAL: Duration = Duration::from_secs(2);
/// Weight of a new measurement in the smoothed load, in percent.
const NEW_LOAD_PERCENT: u64 = 15;
/// Number of consecutive rounds with an overload until a shard is moved away.
const OVERLOADED_ROUNDS: u32 = 4;

/// Result of rebalancing one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RebalanceResult {
    /// Nothing is left to do in this round.
    Done,
    /// A move waits for a recent read of the table.
    AwaitsRead,
}

/// Slot time that one shard of a primary upstream used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardLoad {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The shard; absent for work of services that are not sharded.
    pub shard: Option<ShardId>,
    /// Slot time used, in milliseconds per second.
    pub slot_ms: u32,
}

/// Smoothed loads of primary upstreams, and the schedule of moves.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTracker {
    loads: IndexMap<UpstreamId, IndexMap<Option<ShardId>, u32>>,
    next_rebalance_at: Moment,
    last_move_at: IndexMap<UpstreamId, Moment>,
    overloaded_rounds: IndexMap<UpstreamId, u32>,
}

impl LoadTracker {
    /// Returns the load of an upstream, in slot milliseconds per second.
    pub fn total(&self, upstream: &UpstreamId) -> u32 {
        self.loads
            .get(upstream)
            .map_or(0, |shards| shards.values().sum())
    }

    fn record(&mut self, measured: &[ShardLoad]) {
        for shards in self.loads.values_mut() {
            for smoothed in shards.values_mut() {
                *smoothed = smooth(*smoothed, 0);
            }
            shards.retain(|_, smoothed| *smoothed > 0);
        }
        for load in measured {
            let shards = self.loads.entry(load.upstream.clone()).or_default();
            let smoothed = shards.entry(load.shard).or_insert(0);
            let share = u64::from(load.slot_ms) * NEW_LOAD_PERCENT / 100;
            *smoothed += share as u32;
        }
    }

    fn shards(&self, upstream: &UpstreamId) -> Vec<ShardLoad> {
        let Some(shards) = self.loads.get(upstream) else {
            return Vec::new();
        };
        let mut loads = Vec::new();
        for (shard, slot_ms) in shards {
            loads.push(ShardLoad {
                upstream: upstream.clone(),
                shard: *shard,
                slot_ms: *slot_ms,
            });
        }
        loads
    }
}

fn smooth(old: u32, new: u32) -> u32 {
    let kept = u64::from(old) * (100 - NEW_LOAD_PERCENT);
    ((kept + u64::from(new) * NEW_LOAD_PERCENT) / 100) as u32
}

impl ControlCore {
    /// Records the loads measured since the last call.
    pub fn record_loads(&mut self, measured: &[ShardLoad]) {
        self.loads.record(measured);
    }

    /// Begins moves away from leaving and overloaded upstreams.
    pub(crate) fn rebalance(&mut self, now: Moment) {
        self.begin_moves_from_leaving(now);
        if now < self.loads.next_rebalance_at || self.table.failing_since.is_some() {
            return;
        }
        self.loads.next_rebalance_at = now + REBALANCE_INTERVAL;
        let ids: Vec<UpstreamId> = self.primary_upstreams.keys().cloned().collect();
        for id in ids {
            if self.rebalance_upstream(now, &id) == RebalanceResult::AwaitsRead {
                self.loads.next_rebalance_at = now + READ_RETRY_DELAY;
            }
        }
    }

    /// Returns whether a move may begin; requests a read of the table if needed.
    fn may_begin_move(&mut self, now: Moment) -> bool {
        let read_at = self.table.read_started;
        let is_fresh = read_at.is_some_and(|at| now - at <= MAX_READ_AGE);
        let is_table_ready = is_fresh && self.table.failing_since.is_none();
        if !is_fresh {
            self.table.is_read_requested = true;
        }
        is_table_ready && self.table.open_commit.is_none()
    }

    fn begin_moves_from_leaving(&mut self, now: Moment) {
        if self.table.failing_since.is_some() {
            return;
        }
        let ids: Vec<UpstreamId> = self.primary_upstreams.keys().cloned().collect();
        for id in ids {
            let state = &self.primary_upstreams[&id];
            if !state.is_usable(now) || !self.is_upstream_leaving(&id) {
                continue;
            }
            let service = state.service.clone();
            let mut grants = self.assigned_grants(&service, &id).to_vec();
            grants.retain(|grant| !self.primary_upstreams[&id].is_withheld(grant.shard));
            if grants.is_empty() || !self.may_begin_move(now) {
                continue;
            }
            let mut candidates = self.candidates(now, &service, &id);
            for grant in grants {
                let Some(target) = self.pick_target_and_count(&mut candidates) else {
                    break;
                };
                self.begin_move(now, &id, grant.shard, target);
            }
        }
    }

    /// Picks a target and adds the shard to the target's counts in `candidates`.
    ///
    /// The shard is assumed to have the mean load of the candidates' shards.
    pub(crate) fn pick_target_and_count(
        &self,
        candidates: &mut [PlacementCandidate],
    ) -> Option<(UpstreamId, DomainName)> {
        let view = PlacementView { candidates };
        let picked = self.policy.pick_target(&view)?;
        let (id, domain) = (picked.id.clone(), picked.domain.clone());
        let mean = mean_shard_load(candidates);
        for candidate in candidates.iter_mut() {
            if candidate.id != id {
                continue;
            }
            candidate.shards += 1;
            candidate.slot_ms += mean;
        }
        Some((id, domain))
    }

    fn rebalance_upstream(&mut self, now: Moment, id: &UpstreamId) -> RebalanceResult {
        let state = &self.primary_upstreams[id];
        let is_moving = !state.moves.is_empty() || !state.committing.is_empty();
        let moved_at = self.loads.last_move_at.get(id).copied();
        let moved_recently = moved_at.is_some_and(|at| now - at < MIN_MOVE_INTERVAL);
        if is_moving || moved_recently || !state.is_usable(now) || self.is_upstream_leaving(id) {
            return RebalanceResult::Done;
        }
        let grants = self.assigned_grants(&state.service, id);
        if grants.len() < 2 {
            return RebalanceResult::Done;
        }
        let candidates = self.candidates(now, &state.service, id);
        let from = PlacementCandidate {
            id: id.clone(),
            domain: self.domain.clone(),
            slot_ms: self.loads.total(id),
            shards: grants.len() as u32,
            is_local: true,
        };
        let mut shards = self.loads.shards(id);
        shards.retain(|load| grants.iter().any(|grant| Some(grant.shard) == load.shard));
        let view = PlacementView {
            candidates: &candidates,
        };
        let Some((shard, target)) = self.policy.pick_move(&from, &shards, &view) else {
            self.loads.overloaded_rounds.swap_remove(id);
            return RebalanceResult::Done;
        };
        let target = (target.id.clone(), target.domain.clone());
        let rounds = self.loads.overloaded_rounds.entry(id.clone()).or_insert(0);
        *rounds += 1;
        if *rounds < OVERLOADED_ROUNDS {
            return RebalanceResult::Done;
        }
        if !self.may_begin_move(now) {
            return RebalanceResult::AwaitsRead;
        }
        self.begin_move(now, id, shard, target);
        RebalanceResult::Done
    }

    fn begin_move(
        &mut self,
        now: Moment,
        id: &UpstreamId,
        shard: ShardId,
        (target, domain): (UpstreamId, DomainName),
    ) {
        let Some(state) = self.primary_upstreams.get_mut(id) else {
            return;
        };
        state.moves.insert(
            shard,
            ShardMove {
                target,
                domain,
                since: now,
                released_at: None,
            },
        );
        state.lease.schedule_request(now);
        self.loads.last_move_at.insert(id.clone(), now);
        self.moves_begun += 1;
        self.bump_generation();
    }

    /// Returns the upstreams of a service that could take over a shard from `from`.
    pub(crate) fn candidates(
        &self,
        now: Moment,
        service: &ServiceName,
        from: &UpstreamId,
    ) -> Vec<PlacementCandidate> {
        let mut candidates = Vec::new();
        let mut add_candidate = |core: &Self, id: &UpstreamId, slot_ms: u32| {
            let Some(candidate) = core.placement_candidate(service, id, slot_ms) else {
                return;
            };
            if candidate.id != *from {
                candidates.push(candidate);
            }
        };
        for load in self.own_loads(now) {
            add_candidate(self, &load.upstream, load.slot_ms);
        }
        for (_, peer) in self.peers.live_peers(now) {
            for load in peer.heartbeat.loads.iter().flatten() {
                add_candidate(self, &load.upstream, load.slot_ms);
            }
        }
        candidates.sort_by(|a, b| a.id.cmp(&b.id));
        candidates.dedup_by(|a, b| a.id == b.id);
        candidates
    }

    fn placement_candidate(
        &self,
        service: &ServiceName,
        id: &UpstreamId,
        slot_ms: u32,
    ) -> Option<PlacementCandidate> {
        for (domain, row) in self.rows.domains() {
            let Some(entry) = row.upstreams.get(id) else {
                continue;
            };
            if entry.service != *service || entry.state != UpstreamState::Live {
                return None;
            }
            let shards = self
                .rows
                .assign(service, domain)
                .map_or(0, |row| count_shards(row, id));
            return Some(PlacementCandidate {
                id: id.clone(),
                domain: domain.clone(),
                slot_ms,
                shards,
                is_local: *domain == self.domain,
            });
        }
        None
    }
}

fn count_shards(row: &AssignRow, upstream: &UpstreamId) -> u32 {
    let owned = row
        .shards
        .values()
        .filter(|entry| entry.upstream == *upstream);
    owned.count() as u32
}

fn mean_shard_load(candidates: &[PlacementCandidate]) -> u32 {
    let shards: u32 = candidates.iter().map(|c| c.shards).sum();
    let load: u32 = candidates.iter().map(|c| c.slot_ms).sum();
    load / shards.max(1) + 1
}
