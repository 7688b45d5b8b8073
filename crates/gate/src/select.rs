//! Selection of the upstream that runs a request.

use crate::ingress::{AttemptRecord, Ingress};
use crate::request::ResolvedRequest;
use crate::snapshot::TrafficSnapshot;
use kernel::{Cause, Refusal};
use route::{KindRoute, UpstreamRoute};

/// Score of the local candidate above which upstreams in other domains are
/// considered too, in microseconds.
const MAX_LOCAL_SCORE_US: u64 = 30_000;
/// Added to the score of upstreams in other domains, in microseconds.
const CROSS_DOMAIN_PENALTY_US: u64 = 4_000;

impl Ingress {
    /// Selects the upstream that runs a request: the owner of its shard, or one of the
    /// upstreams of an unsharded service.
    pub(crate) fn select_upstream(
        &self,
        kind: &KindRoute,
        request: &mut ResolvedRequest,
        record: &AttemptRecord,
    ) -> Result<UpstreamRoute, Refusal> {
        let snapshot = self.shared.parts.snapshots.load();
        let Some((shard, _)) = request.shard else {
            return self.select_unsharded_upstream(&snapshot, kind, record);
        };
        let owner = snapshot.owners.owner(&request.service, shard);
        let (upstream, epoch) = owner.ok_or(Cause::NoOwner)?;
        if upstream.is_unreachable {
            return Err(Cause::DomainUnreachable.into());
        }
        request.shard = Some((shard, epoch));
        Ok(upstream.clone())
    }

    /// Selects an upstream of an unsharded service.
    ///
    /// Two random upstreams of the local domain are compared and the better one is
    /// selected, unless its score is high and an upstream in another domain is better.
    /// Upstreams that have already failed this request are avoided if possible.
    fn select_unsharded_upstream(
        &self,
        snapshot: &TrafficSnapshot,
        kind: &KindRoute,
        record: &AttemptRecord,
    ) -> Result<UpstreamRoute, Refusal> {
        let is_available =
            |upstream: &&UpstreamRoute| !upstream.is_leaving && !upstream.is_unreachable;
        let is_untried = |upstream: &&UpstreamRoute| !record.failed.contains(&upstream.id);
        let available: Vec<&UpstreamRoute> = snapshot
            .owners
            .service_upstreams(kind.service())
            .filter(is_available)
            .collect();
        let untried: Vec<&UpstreamRoute> = available
            .iter()
            .copied()
            .filter(|s| is_untried(s))
            .collect();
        let candidates = if untried.is_empty() {
            available
        } else {
            untried
        };
        let (local, remote): (Vec<&UpstreamRoute>, Vec<&UpstreamRoute>) = candidates
            .into_iter()
            .partition(|upstream| Some(&upstream.domain) == snapshot.domain.as_ref());
        let best_local = self.better_of_two(&local, kind);
        if let Some((upstream, score)) = best_local
            && score <= MAX_LOCAL_SCORE_US
        {
            return Ok(upstream.clone());
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
            (Some((upstream, _)), None) | (None, Some((upstream, _))) => Ok(upstream.clone()),
            (None, None) => Err(Cause::NoOwner.into()),
        }
    }

    /// Returns the better of two random upstreams and its score.
    fn better_of_two<'a>(
        &self,
        upstreams: &[&'a UpstreamRoute],
        kind: &KindRoute,
    ) -> Option<(&'a UpstreamRoute, u64)> {
        if upstreams.is_empty() {
            return None;
        }
        let (first, second) = {
            let mut rng = self.shared.rng.lock();
            (rng.usize(..upstreams.len()), rng.usize(..upstreams.len()))
        };
        let now = self.now();
        let cost = kind.planned_cost();
        let mut best: Option<(&UpstreamRoute, u64)> = None;
        for index in [first, second] {
            let upstream = upstreams[index];
            let score = self
                .shared
                .waits
                .score_us(now, &upstream.id, upstream.slots, cost);
            if best.is_none_or(|(_, min_score)| score < min_score) {
                best = Some((upstream, score));
            }
        }
        best
    }
}
