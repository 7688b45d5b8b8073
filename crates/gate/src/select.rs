//! Selection of the upstream that runs a request.

use crate::ingress::{AttemptRecord, Ingress};
use crate::request::ResolvedRequest;
use crate::snapshot::TrafficSnapshot;
use kernel::{Cause, Refusal};
use route::{KindRoute, UpstreamSlot};

/// Score of the local candidate above which instances in other domains are
/// considered too, in microseconds.
const MAX_LOCAL_SCORE_US: u64 = 30_000;
/// Added to the score of instances in other domains, in microseconds.
const CROSS_DOMAIN_PENALTY_US: u64 = 4_000;

impl Ingress {
    /// Selects the upstream that runs a request: the owner of its shard, or an
    /// instance of an unsharded service.
    pub(crate) fn select_upstream(
        &self,
        kind: &KindRoute,
        request: &mut ResolvedRequest,
        record: &AttemptRecord,
    ) -> Result<UpstreamSlot, Refusal> {
        let snapshot = self.shared.parts.snapshots.load();
        let Some((shard, _)) = request.shard else {
            return self.select_instance(&snapshot, kind, record);
        };
        let owner = snapshot.owners.owner(&request.service, shard);
        let (slot, epoch) = owner.ok_or(Cause::NoOwner)?;
        if slot.is_unreachable {
            return Err(Cause::DomainUnreachable.into());
        }
        request.shard = Some((shard, epoch));
        Ok(slot.clone())
    }

    /// Selects an instance of an unsharded service.
    ///
    /// Two random instances of the local domain are compared and the better one is
    /// taken, unless its score is high and an instance elsewhere is better.
    /// Instances that have already failed this request are avoided if possible.
    fn select_instance(
        &self,
        snapshot: &TrafficSnapshot,
        kind: &KindRoute,
        record: &AttemptRecord,
    ) -> Result<UpstreamSlot, Refusal> {
        let is_available = |slot: &&UpstreamSlot| !slot.is_leaving && !slot.is_unreachable;
        let is_untried = |slot: &&UpstreamSlot| !record.failed.contains(&slot.id);
        let available: Vec<&UpstreamSlot> = snapshot
            .owners
            .instances(kind.service())
            .filter(is_available)
            .collect();
        let untried: Vec<&UpstreamSlot> = available
            .iter()
            .copied()
            .filter(|s| is_untried(s))
            .collect();
        let candidates = if untried.is_empty() {
            available
        } else {
            untried
        };
        let (local, remote): (Vec<&UpstreamSlot>, Vec<&UpstreamSlot>) = candidates
            .into_iter()
            .partition(|slot| Some(&slot.domain) == snapshot.domain.as_ref());
        let best_local = self.better_of_two(&local, kind);
        if let Some((slot, score)) = best_local
            && score <= MAX_LOCAL_SCORE_US
        {
            return Ok(slot.clone());
        }
        let best_remote = self.better_of_two(&remote, kind);
        match (best_local, best_remote) {
            (Some((best_local, local_score)), Some((best_remote, remote_score))) => {
                let is_remote_better = remote_score + CROSS_DOMAIN_PENALTY_US < local_score;
                Ok(if is_remote_better {
                    best_remote
                } else {
                    best_local
                }
                .clone())
            }
            (Some((slot, _)), None) | (None, Some((slot, _))) => Ok(slot.clone()),
            (None, None) => Err(Cause::NoOwner.into()),
        }
    }

    /// Returns the better of two random slots and its score.
    fn better_of_two<'a>(
        &self,
        slots: &[&'a UpstreamSlot],
        kind: &KindRoute,
    ) -> Option<(&'a UpstreamSlot, u64)> {
        if slots.is_empty() {
            return None;
        }
        let (first, second) = {
            let mut rng = self.shared.rng.lock();
            (rng.usize(..slots.len()), rng.usize(..slots.len()))
        };
        let now = self.now();
        let cost = kind.planned_cost();
        let mut best: Option<(&UpstreamSlot, u64)> = None;
        for index in [first, second] {
            let slot = slots[index];
            let score = self.shared.waits.score_us(now, &slot.id, slot.slots, cost);
            if best.is_none_or(|(_, min_score)| score < min_score) {
                best = Some((slot, score));
            }
        }
        best
    }
}
