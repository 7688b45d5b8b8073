//! Use of upstreams in failure domains that the operators evacuate.

use super::{DispatchState, DispatchTarget, RETRY_AFTER};
use crate::request::ResolvedRequest;
use crate::view::FrontView;
use evac::DomainPhase;
use grant::OwnedRange;
use kernel::{Cause, DomainName, Moment, Refusal};

impl DispatchState {
    /// Returns how the upstreams of a domain may be used.
    pub(super) fn domain_phase(
        &self,
        now: Moment,
        view: &FrontView,
        domain: &DomainName,
    ) -> DomainPhase {
        // Every candidate of every request is checked.
        if view.orders.is_empty() {
            return DomainPhase::Serving;
        }
        view.orders.phase(now, self.bounds.load().evacuate, domain)
    }

    /// Returns the time by which holders in a domain are to have given up their keys.
    pub(crate) fn moves_end(&self, view: &FrontView, domain: &DomainName) -> Option<Moment> {
        view.orders.moves_end(self.bounds.load().evacuate, domain)
    }

    /// Returns whether the holder of a range is in a domain that no request may be sent
    /// to any more.
    pub(super) fn is_holder_closed(
        &self,
        now: Moment,
        range: &OwnedRange,
        view: &FrontView,
    ) -> bool {
        let owner = range.owner.as_ref();
        let upstream = owner.and_then(|owner| view.upstreams.get(&owner.upstream));
        upstream.is_some_and(|upstream| {
            let phase = self.domain_phase(now, view, &upstream.entry.domain);
            !phase.accepts_keyed()
        })
    }

    /// Counts a request for the estimate of the load by rank.
    pub(super) fn record_rank_load(&self, request: &ResolvedRequest) {
        if self.bounds.load().evacuate.is_none() {
            return;
        }
        let rank = request.route.rule().rank;
        let mut rank_loads = self.rank_loads.lock();
        rank_loads.record(self.clock.now(), &request.service, rank);
    }

    /// Refuses a request that only an upstream in an evacuated domain could run.
    pub(super) fn refuse_evacuated(&self, request: &ResolvedRequest) -> DispatchTarget {
        let rank = request.route.rule().rank.to_string();
        let refusals = &self.metrics.evacuation_refusals;
        refusals.with_label_values(&[rank.as_str()]).inc();
        let refusal = Refusal::new(Cause::DomainEvacuated);
        DispatchTarget::Refused(refusal.with_retry_after(RETRY_AFTER))
    }
}
