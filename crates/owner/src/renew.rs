//! Renewal of the leases of held upstreams.

use crate::event::Action;
use crate::held::PrimaryState;
use crate::{ControlCore, LeaseRequest, LeaseResult, ShardGrant, Timing, grant_tag};
use kernel::{Epoch, Moment, UpstreamId};
use std::time::Duration;

/// Between orders to an upstream that does not yet hold what it should.
const HASTY_ORDER_PAUSE: Duration = Duration::from_millis(4);

impl ControlCore {
    pub(crate) fn note_lapses(&mut self, now: Moment) {
        let mut changed = false;
        let mut usable_changed = false;
        for held in self.held.values_mut() {
            let is_lost = !held.is_usable(now);
            changed |= is_lost != held.is_lost;
            usable_changed |= is_lost != held.is_lost;
            held.is_lost = is_lost;
            held.call_off_stuck_moves(now);
        }
        if usable_changed {
            self.links.note_loads_changed(now);
        }
        if changed {
            self.touch();
        }
    }

    /// Sends the lease orders that are due, while the own standing holds.
    pub(crate) fn order_leases(&mut self, now: Moment) {
        if !self.has_authority(now) {
            return;
        }
        let ids: Vec<UpstreamId> = self.held.keys().cloned().collect();
        for id in ids {
            let held = &self.held[&id];
            if held.order_in_flight || !held.book.is_due(now) {
                continue;
            }
            let assigned = self.assigned_grants(&held.service, &id);
            let timing = self.timing;
            let Some(held) = self.held.get_mut(&id) else {
                continue;
            };
            let action = build_order(held, &id, now, &timing, &assigned);
            self.act(action);
        }
    }

    pub(crate) fn note_lease(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        epoch: Epoch,
        sent: Moment,
        result: &LeaseResult,
    ) {
        let Some(held) = self.held.get(upstream) else {
            return;
        };
        if held.book.epoch() != epoch {
            return;
        }
        let assigned = self.assigned_grants(&held.service, upstream);
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.order_in_flight = false;
        let LeaseResult::Accepted(reply) = result else {
            if matches!(result, LeaseResult::Superseded(_)) {
                self.table.wants_read = true;
            }
            return;
        };
        let was_ready = held.is_usable(now) && held.holds_wanted(&assigned);
        held.book.accept(now, sent, reply);
        held.note_reply(now, reply, &assigned);
        let is_ready = held.is_usable(now) && held.holds_wanted(&assigned);
        if !is_ready || held.moves.values().any(|m| m.released_at.is_none()) {
            held.book.hasten(now + HASTY_ORDER_PAUSE);
        }
        held.is_lost = !held.is_usable(now);
        if was_ready != is_ready {
            self.links.note_loads_changed(now);
            self.touch();
        }
    }
}

/// Builds the next order, which only fences until the rows are known to be fresh.
fn build_order(
    held: &mut PrimaryState,
    id: &UpstreamId,
    now: Moment,
    timing: &Timing,
    assigned: &[ShardGrant],
) -> Action {
    let mut request = LeaseRequest {
        epoch: held.book.epoch(),
        sequence: held.book.next_sequence(),
        boot: None,
        until_us: None,
        tag: 0,
        grants: None,
    };
    if held.has_fresh_rows {
        let wanted = held.wanted_grants(assigned);
        request.boot = held.book.boot();
        request.until_us = held.book.order(now, timing);
        request.tag = grant_tag(&held.service, &wanted);
        if held.book.held_tag() != Some(request.tag) {
            request.grants = Some(wanted);
        }
    } else {
        held.book.postpone(now, timing);
    }
    held.order_in_flight = true;
    Action::SendLeaseRequest {
        upstream: id.clone(),
        address: held.address.clone(),
        request,
    }
}
