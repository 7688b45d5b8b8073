//! Which hosts confirm a host's standing.

use crate::rank_by_weight;
use kernel::HostId;

/// Most witnesses of one host; bounds a host's heartbeat cost in a large domain.
pub const WITNESS_LIMIT: usize = 7;

/// Returns the witnesses of `host` among the domain's hosts.
///
/// Hosts are ranked by name, so a restarted host takes the place of its earlier
/// run. Adding or removing one name changes each set by at most one member, so
/// quorums of consecutive memberships intersect; see [`quorum_size`].
pub fn witness_set<'a>(host: &HostId, hosts: impl Iterator<Item = &'a HostId>) -> Vec<&'a HostId> {
    let others = hosts.filter(|other| other.name() != host.name());
    let mut ranked = rank_by_weight(host.name(), others, HostId::name);
    ranked.truncate(WITNESS_LIMIT);
    ranked
}

/// Returns how many witnesses must confirm.
///
/// Below [`WITNESS_LIMIT`] a membership change adds or removes one witness and
/// a majority suffices. At the limit it may swap one for another, which takes
/// one more for consecutive quorums to intersect.
pub const fn quorum_size(witnesses: usize) -> usize {
    if witnesses >= WITNESS_LIMIT {
        witnesses / 2 + 2
    } else {
        witnesses / 2 + 1
    }
}
