//! Renewal of the leases of primary upstreams.

use crate::event::Action;
use crate::primary::PrimaryState;
use crate::{ControlCore, LeaseRequest, LeaseResult, ShardGrant, Timing, grant_tag};
use kernel::{Epoch, Moment, UpstreamId};
use std::time::Duration;

/// Delay before the next request to an upstream that has not yet confirmed its lease,
/// its grants or the release of a shard.
const RETRY_DELAY: Duration = Duration::from_millis(4);

impl ControlCore {
    pub(crate) fn update_usability(&mut self, now: Moment) {
        let mut changed = false;
        let mut usable_changed = false;
        for state in self.primary_upstreams.values_mut() {
            let is_unusable = !state.is_usable(now);
            changed |= is_unusable != state.is_unusable;
            usable_changed |= is_unusable != state.is_unusable;
            state.is_unusable = is_unusable;
            state.cancel_stuck_moves(now);
        }
        if usable_changed {
            self.links.record_usable_change(now);
        }
        if changed {
            self.bump_generation();
        }
    }

    /// Sends the lease requests that are due, if this host has the authority to.
    pub(crate) fn send_lease_requests(&mut self, now: Moment) {
        if !self.has_authority(now) {
            return;
        }
        let ids: Vec<UpstreamId> = self.primary_upstreams.keys().cloned().collect();
        for id in ids {
            let state = &self.primary_upstreams[&id];
            if state.request_in_flight || !state.lease.is_due(now) {
                continue;
            }
            let assigned = self.assigned_grants(&state.service, &id);
            let timing = self.timing;
            let Some(state) = self.primary_upstreams.get_mut(&id) else {
                continue;
            };
            let action = build_lease_request(state, &id, now, &timing, &assigned);
            self.push_action(action);
        }
    }

    pub(crate) fn record_lease_result(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        epoch: Epoch,
        sent_at: Moment,
        result: &LeaseResult,
    ) {
        let Some(state) = self.primary_upstreams.get(upstream) else {
            return;
        };
        if state.lease.epoch() != epoch {
            return;
        }
        let assigned = self.assigned_grants(&state.service, upstream);
        let Some(state) = self.primary_upstreams.get_mut(upstream) else {
            return;
        };
        state.request_in_flight = false;
        let LeaseResult::Accepted(reply) = result else {
            if matches!(result, LeaseResult::Superseded(_)) {
                self.table.is_read_requested = true;
            }
            return;
        };
        let was_ready = state.is_usable(now) && state.holds_wanted_grants(&assigned);
        state.lease.record_reply(now, sent_at, reply);
        state.record_reply(now, reply, &assigned);
        let is_ready = state.is_usable(now) && state.holds_wanted_grants(&assigned);
        if !is_ready || state.moves.values().any(|m| m.released_at.is_none()) {
            state.lease.schedule_request(now + RETRY_DELAY);
        }
        state.is_unusable = !state.is_usable(now);
        if was_ready != is_ready {
            self.links.record_usable_change(now);
            self.bump_generation();
        }
    }
}

/// Builds the next lease request.
///
/// Until the table has been read after the claim, the request extends no lease and
/// only fences older epochs.
fn build_lease_request(
    state: &mut PrimaryState,
    id: &UpstreamId,
    now: Moment,
    timing: &Timing,
    assigned: &[ShardGrant],
) -> Action {
    let mut request = LeaseRequest {
        epoch: state.lease.epoch(),
        sequence: state.lease.next_sequence(),
        boot: None,
        until_us: None,
        tag: 0,
        grants: None,
    };
    if state.has_fresh_rows {
        let wanted = state.wanted_grants(assigned);
        request.boot = state.lease.boot();
        request.until_us = state.lease.request_lease_end(now, timing);
        request.tag = grant_tag(&state.service, &wanted);
        if state.lease.held_tag() != Some(request.tag) {
            request.grants = Some(wanted);
        }
    } else {
        state.lease.postpone_request(now, timing);
    }
    state.request_in_flight = true;
    Action::SendLeaseRequest {
        upstream: id.clone(),
        address: state.address.clone(),
        request,
    }
}
