//! Selection of the hosts that confirm a host's authority.

use crate::rank_by_weight;
use kernel::HostId;

/// Maximum number of witnesses of a host; bounds its heartbeats in a large domain.
pub const MAX_WITNESSES: usize = 7;

/// Returns the witnesses of `host` among the domain's hosts.
///
/// Hosts are ranked by name, so a restarted host replaces its previous run. Adding or
/// removing one name changes each set by at most one member, so quorums of
/// consecutive memberships intersect; see [`quorum_size`].
pub fn witness_set<'a>(host: &HostId, hosts: impl Iterator<Item = &'a HostId>) -> Vec<&'a HostId> {
    let others = hosts.filter(|other| other.name() != host.name());
    let mut ranked = rank_by_weight(host.name(), others, HostId::name);
    ranked.truncate(MAX_WITNESSES);
    ranked
}

/// Returns the number of witnesses that must confirm.
///
/// Below [`MAX_WITNESSES`] a membership change adds or removes one witness, and a
/// majority is sufficient. At the limit it may replace one witness by another, and
/// one more than a majority is needed for consecutive quorums to intersect.
pub const fn quorum_size(witnesses: usize) -> usize {
    if witnesses >= MAX_WITNESSES {
        witnesses / 2 + 2
    } else {
        witnesses / 2 + 1
    }
}
