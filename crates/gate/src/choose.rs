//! Choice of the upstream that is to run a request.

use crate::ingress::{Ingress, TryRecord};
use crate::request::ResolvedRequest;
use crate::snapshot::TrafficSnapshot;
use kernel::{Cause, Refusal};
use route::{KindRoute, UpstreamSlot};

/// Instances in other domains are weighed once the own ones make this wait.
const LOCAL_WAIT_LIMIT_US: u64 = 30_000;
/// Added to the score of instances in other domains.
const DISTANCE_US: u64 = 4_000;

impl Ingress {
    /// Chooses the upstream that is to run a request.
    pub(crate) fn choose(
        &self,
        kind: &KindRoute,
        order: &mut ResolvedRequest,
        record: &TryRecord,
    ) -> Result<UpstreamSlot, Refusal> {
        let snapshot = self.shared.parts.snapshots.load();
        let Some((shard, _)) = order.shard else {
            return self.choose_instance(&snapshot, kind, record);
        };
        let owner = snapshot.owners.owner(&order.service, shard);
        let (slot, epoch) = owner.ok_or(Cause::NoOwner)?;
        if slot.is_unreachable {
            return Err(Cause::DomainUnreachable.into());
        }
        order.shard = Some((shard, epoch));
        Ok(slot.clone())
    }

    /// Chooses among the instances of an undivided service: the better of two
    /// random ones, in the own domain unless it is short.
    fn choose_instance(
        &self,
        snapshot: &TrafficSnapshot,
        kind: &KindRoute,
        record: &TryRecord,
    ) -> Result<UpstreamSlot, Refusal> {
        let is_open = |slot: &&UpstreamSlot| !slot.is_leaving && !slot.is_unreachable;
        let is_fresh = |slot: &&UpstreamSlot| !record.failed.contains(&slot.id);
        let open: Vec<&UpstreamSlot> = snapshot
            .owners
            .instances(kind.service())
            .filter(is_open)
            .collect();
        let fresh: Vec<&UpstreamSlot> = open.iter().copied().filter(|s| is_fresh(s)).collect();
        let pool = if fresh.is_empty() { open } else { fresh };
        let (local, distant): (Vec<&UpstreamSlot>, Vec<&UpstreamSlot>) = pool
            .into_iter()
            .partition(|slot| Some(&slot.domain) == snapshot.domain.as_ref());
        let near = self.better_of_two(&local, kind);
        if let Some((slot, score)) = near
            && score <= LOCAL_WAIT_LIMIT_US
        {
            return Ok(slot.clone());
        }
        let far = self.better_of_two(&distant, kind);
        match (near, far) {
            (Some((near, near_score)), Some((far, far_score))) => {
                let is_far_better = far_score + DISTANCE_US < near_score;
                Ok(if is_far_better { far } else { near }.clone())
            }
            (Some((slot, _)), None) | (None, Some((slot, _))) => Ok(slot.clone()),
            (None, None) => Err(Cause::NoOwner.into()),
        }
    }

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
            if best.is_none_or(|(_, least)| score < least) {
                best = Some((slot, score));
            }
        }
        best
    }
}
