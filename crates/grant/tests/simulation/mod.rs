//! Simulates the surroundings of a ledger: upstreams with leases, a store, calls that
//! are lost or applied late, and changes of the leader.

use fastrand::Rng;
use grant::{
    CallKind, CallReply, GrantCall, GrantLedger, GrantTiming, Holder, KeyLoads, OwnerCandidate,
    OwnerMap, PreviousTerm,
};
use indexmap::IndexMap;
use kernel::Moment;
use std::time::Duration;

/// Step of the simulated clock.
pub const STEP: Duration = Duration::from_millis(20);
/// Keys whose holders are checked: both ends and some in between.
const CHECKED_KEYS: [u16; 9] = [0, 1, 4_000, 16_000, 30_000, 40_000, 50_000, 65_000, 65_535];

/// Faults to inject; values are probabilities per step unless stated otherwise.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Fraction of calls that arrive but are not answered.
    pub unanswered: f64,
    /// Fraction of unanswered grants that take effect seconds later.
    pub applied_late: f64,
    /// Fraction of writes whose answer is lost; half of them take effect.
    pub lost_write: f64,
    /// Maximum delivery time of a call in milliseconds; the leader resets the
    /// connection when it has waited for longer.
    pub delivery_ms: u64,
    pub leader_loss: f64,
    /// The store becomes unavailable for the leader, or available again.
    pub store_switch: f64,
    pub drain: f64,
    pub restart: f64,
    pub join: f64,
    pub disconnect: f64,
    /// Time that an upstream's clock takes for 100 ms; the contract allows at most 102.
    pub clock_percent: u32,
}

impl Faults {
    pub const NONE: Self = Self {
        unanswered: 0.0,
        applied_late: 0.0,
        lost_write: 0.0,
        delivery_ms: 100,
        leader_loss: 0.0,
        store_switch: 0.0,
        drain: 0.0,
        restart: 0.0,
        join: 0.0,
        disconnect: 0.0,
        clock_percent: 102,
    };
    pub const MANY: Self = Self {
        unanswered: 0.2,
        applied_late: 0.5,
        lost_write: 0.2,
        delivery_ms: 100,
        leader_loss: 0.004,
        store_switch: 0.004,
        drain: 0.01,
        restart: 0.005,
        join: 0.012,
        disconnect: 0.006,
        clock_percent: 102,
    };
}

/// A lease that an upstream holds.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    first: u16,
    last: u16,
    epoch: u64,
    until: Moment,
}

#[derive(Clone, Debug)]
struct FakeUpstream {
    run: u64,
    leases: Vec<HeldLease>,
    seen_grants: Vec<(u16, u16, u64)>,
    is_leaving: bool,
    is_up: bool,
    unreachable_until: Moment,
    /// Remaining time of running work; releases are answered after it.
    work_ms: u64,
}

/// A call in transit.
struct CallInTransit {
    arrives_at: Moment,
    answer_at: Option<Moment>,
    call: GrantCall,
    /// The host that sent it.
    leader_host: u64,
    /// Time from which the lease counts if the call is applied late.
    valid_from: Moment,
}

struct Answer {
    answered_at: Moment,
    call: GrantCall,
    reply: CallReply,
}

/// A simulated service with one leader.
pub struct Simulation {
    pub now: Moment,
    pub timing: GrantTiming,
    pub rng: Rng,
    pub faults: Faults,
    upstreams: IndexMap<String, FakeUpstream>,
    in_transit: Vec<CallInTransit>,
    answers: Vec<Answer>,
    stored: OwnerMap,
    stored_version: u64,
    ledger: GrantLedger,
    term: u64,
    /// The leader's host.
    leader_host: u64,
    leader_version: u64,
    next_number: u32,
    next_run: u64,
    pub grant_count: u64,
    pub move_count: u64,
    pub leader_count: u64,
}

impl Simulation {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let timing = GrantTiming::default();
        let mut simulation = Self {
            now: Moment::from_millis(10_000),
            timing,
            rng: Rng::with_seed(seed),
            faults,
            upstreams: IndexMap::new(),
            in_transit: Vec::new(),
            answers: Vec::new(),
            stored: OwnerMap::default(),
            stored_version: 0,
            ledger: GrantLedger::new(timing, 1),
            term: 1,
            leader_host: 1,
            leader_version: 0,
            next_number: 0,
            next_run: 1_000,
            grant_count: 0,
            move_count: 0,
            leader_count: 1,
        };
        for _ in 0..5 {
            simulation.join();
        }
        simulation
    }

    pub fn join(&mut self) {
        self.next_number += 1;
        self.next_run += 1;
        let upstream = FakeUpstream {
            run: self.next_run,
            leases: Vec::new(),
            seen_grants: Vec::new(),
            is_leaving: false,
            is_up: true,
            unreachable_until: Moment::ZERO,
            work_ms: 0,
        };
        self.upstreams
            .insert(format!("i-{}", self.next_number), upstream);
    }

    pub fn drain(&mut self, index: usize) {
        self.upstreams[index].is_leaving = true;
    }

    /// Replaces the leader; half of the time the previous one releases its lease.
    pub fn replace_leader(&mut self) {
        let previous = if self.rng.bool() {
            PreviousTerm {
                is_clean: self.ledger.is_clean(self.now),
                grants_valid_for: Some(self.ledger.grants_valid_for(self.now)),
            }
        } else {
            PreviousTerm::default()
        };
        self.term += 1;
        self.leader_count += 1;
        self.ledger = GrantLedger::new(self.timing, self.term);
        self.ledger.adopt(self.now, self.stored.clone(), previous);
        self.leader_version = self.stored_version;
        // The same host may become the leader again and then gets the answers to its
        // previous calls.
        if self.rng.bool() {
            self.leader_host += 1;
            self.answers.clear();
        }
    }

    pub fn disconnect(&mut self, index: usize, duration: Duration) {
        self.upstreams[index].unreachable_until = self.now + duration;
    }

    /// Runs one step; panics if two upstreams hold a key.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.inject_faults();
        self.deliver_calls();
        self.deliver_answers();
        self.step_leader();
        self.check_holders();
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.f64() < probability
    }

    fn inject_faults(&mut self) {
        let faults = self.faults;
        if self.chance(faults.join) && self.upstreams.len() < 9 {
            self.join();
        }
        if self.chance(faults.leader_loss) {
            self.replace_leader();
        }
        if self.chance(faults.store_switch) {
            // Grants have the extended validity while the store is unavailable.
            let is_store_unavailable = self.rng.bool();
            self.ledger.set_extended(self.now, is_store_unavailable);
        }
        let index = self.rng.usize(..self.upstreams.len());
        let staying_count = self
            .upstreams
            .values()
            .filter(|upstream| !upstream.is_leaving)
            .count();
        if self.chance(faults.drain) && staying_count > 3 {
            self.drain(index);
        }
        if self.chance(faults.disconnect) {
            let duration = Duration::from_millis(self.rng.u64(100..7_000));
            self.disconnect(index, duration);
        }
        if self.chance(faults.restart) {
            self.next_run += 1;
            let upstream = &mut self.upstreams[index];
            upstream.run = self.next_run;
            upstream.leases.clear();
            upstream.seen_grants.clear();
        }
        if self.chance(faults.drain) {
            // A leaving upstream without keys is removed.
            let now = self.now;
            self.upstreams.retain(|_, upstream| {
                !upstream.is_leaving || upstream.leases.iter().any(|lease| lease.until > now)
            });
        }
        let work_ms = self.rng.u64(0..400);
        let index = self.rng.usize(..self.upstreams.len());
        self.upstreams[index].work_ms = work_ms;
    }

    fn deliver_calls(&mut self) {
        let mut remaining = Vec::new();
        for transit in std::mem::take(&mut self.in_transit) {
            if transit.arrives_at > self.now {
                remaining.push(transit);
                continue;
            }
            let reply = self.apply_call(&transit);
            let (Some(answered_at), Some(reply)) = (transit.answer_at, reply) else {
                continue;
            };
            if transit.leader_host != self.leader_host {
                continue;
            }
            let work_ms = match transit.call.kind {
                CallKind::Release => self
                    .upstreams
                    .get(transit.call.holder.upstream.as_str())
                    .map_or(0, |upstream| upstream.work_ms),
                _ => 0,
            };
            self.answers.push(Answer {
                answered_at: answered_at + Duration::from_millis(work_ms),
                call: transit.call,
                reply,
            });
        }
        self.in_transit.extend(remaining);
    }

    /// Applies a call at its upstream.
    fn apply_call(&mut self, transit: &CallInTransit) -> Option<CallReply> {
        let call = &transit.call;
        let upstream = self.upstreams.get_mut(call.holder.upstream.as_str())?;
        // A later run at the same address cannot tell for which run a call is meant.
        match &call.kind {
            CallKind::Grant { duration, .. } => {
                let is_superseded = upstream.seen_grants.iter().any(|(first, last, epoch)| {
                    *epoch > call.epoch && *first <= call.last && call.first <= *last
                });
                if is_superseded {
                    return Some(CallReply::Superseded);
                }
                upstream
                    .seen_grants
                    .push((call.first, call.last, call.epoch));
                if upstream.seen_grants.len() > 200 {
                    upstream.seen_grants.remove(0);
                }
                upstream.leases.retain(|lease| {
                    (lease.first, lease.last, lease.epoch) != (call.first, call.last, call.epoch)
                });
                upstream.leases.push(HeldLease {
                    first: call.first,
                    last: call.last,
                    epoch: call.epoch,
                    until: transit.valid_from + *duration * self.faults.clock_percent / 100,
                });
                self.grant_count += 1;
                Some(CallReply::Granted)
            }
            CallKind::Release => {
                let mut remaining_leases = Vec::new();
                for lease in std::mem::take(&mut upstream.leases) {
                    if lease.epoch != call.epoch
                        || lease.last < call.first
                        || call.last < lease.first
                    {
                        remaining_leases.push(lease);
                        continue;
                    }
                    if lease.first < call.first {
                        remaining_leases.push(HeldLease {
                            last: call.first - 1,
                            ..lease
                        });
                    }
                    if lease.last > call.last {
                        remaining_leases.push(HeldLease {
                            first: call.last + 1,
                            ..lease
                        });
                    }
                }
                upstream.leases = remaining_leases;
                self.move_count += 1;
                Some(CallReply::Released(None))
            }
            CallKind::Probe => Some(CallReply::Reached),
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let (due, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|answer| answer.answered_at <= now);
        self.answers = remaining;
        for answer in due {
            self.ledger.record_reply(now, &answer.call, answer.reply);
        }
    }

    fn step_leader(&mut self) {
        let candidates: Vec<OwnerCandidate> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| !upstream.is_leaving && upstream.is_up)
            .map(|(name, upstream)| OwnerCandidate::new(name, upstream.run, 4.0))
            .collect();
        let step = self
            .ledger
            .step(self.now, &candidates, &KeyLoads::default());
        for call in step.calls {
            self.send(call);
        }
        if let Some(map) = step.commit {
            self.write(map);
        }
    }

    fn send(&mut self, call: GrantCall) {
        let now = self.now;
        let is_unreachable = self
            .upstreams
            .get(call.holder.upstream.as_str())
            .is_none_or(|upstream| upstream.unreachable_until > now);
        let answer_after = |ms: u64| Some(now + Duration::from_millis(ms));
        if is_unreachable {
            self.answers.push(Answer {
                answered_at: now + Duration::from_millis(300),
                call,
                reply: CallReply::Unreachable,
            });
            return;
        }
        if !self.chance(self.faults.unanswered) {
            let arrives_at = now + self.random_delivery_delay();
            self.in_transit.push(CallInTransit {
                arrives_at,
                answer_at: Some(arrives_at),
                call,
                leader_host: self.leader_host,
                valid_from: arrives_at,
            });
            return;
        }
        self.answers.push(Answer {
            answered_at: answer_after(500).expect("just built"),
            call: call.clone(),
            reply: CallReply::Unanswered,
        });
        let valid_from = now + self.random_delivery_delay();
        let mut arrives_at = valid_from;
        if self.chance(self.faults.applied_late) {
            arrives_at = arrives_at + Duration::from_millis(self.rng.u64(500..6_000));
        }
        self.in_transit.push(CallInTransit {
            arrives_at,
            answer_at: None,
            call,
            leader_host: self.leader_host,
            valid_from,
        });
    }

    fn random_delivery_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(0..self.faults.delivery_ms))
    }

    fn write(&mut self, map: OwnerMap) {
        assert!(map.is_complete(), "ranges have gaps: {map:?}");
        let is_answer_lost = self.chance(self.faults.lost_write);
        let is_written =
            self.leader_version == self.stored_version && (!is_answer_lost || self.rng.bool());
        if is_written {
            self.stored = map;
            self.stored_version += 1;
        }
        if is_answer_lost {
            // The leader reads the row back and continues from it.
            self.ledger.record_commit(self.now, is_written);
            self.leader_version = self.stored_version;
            return;
        }
        if is_written {
            self.leader_version = self.stored_version;
        }
        self.ledger.record_commit(self.now, is_written);
    }

    /// Checks that no key has two holders.
    fn check_holders(&self) {
        for key in CHECKED_KEYS {
            let mut holders = Vec::new();
            for (name, upstream) in &self.upstreams {
                let lease = upstream.leases.iter().find(|lease| {
                    lease.first <= key && key <= lease.last && lease.until > self.now
                });
                if let Some(lease) = lease {
                    holders.push((name.as_str(), lease.epoch));
                }
            }
            assert!(
                holders.len() <= 1,
                "key {key} has holders {holders:?} at {:?}; stored {:?}",
                self.now,
                self.stored.range_of(key),
            );
        }
    }

    /// Returns the fraction of the checked keys that their stored owner holds.
    pub fn served_share(&self) -> f64 {
        let is_served = |key: &&u16| {
            let Some(range) = self.stored.range_of(**key).filter(|range| range.is_granted) else {
                return false;
            };
            let Some(Holder { upstream, run }) = &range.owner else {
                return false;
            };
            self.upstreams.get(upstream.as_str()).is_some_and(|fake| {
                fake.run == *run
                    && fake.leases.iter().any(|lease| {
                        lease.first <= **key && **key <= lease.last && lease.until > self.now
                    })
            })
        };
        CHECKED_KEYS.iter().filter(is_served).count() as f64 / CHECKED_KEYS.len() as f64
    }
}
