//! Owners as messages between hosts hold them.

use crate::{Holder, OwnedRange, OwnerMap};
use indexmap::IndexSet;
use kernel::UpstreamId;
use serde::{Deserialize, Serialize};

/// Ranges and their owners, without earlier holders, which only the leader needs.
///
/// Upstreams are named once, as names would be most of a message's bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireOwners {
    /// Id and run of each upstream that is named by a range.
    holders: Vec<(UpstreamId, u64)>,
    ranges: Vec<WireRange>,
}

/// First and last key, the owner's place in the list from 1 on (0 for none), the
/// epoch, and whether the owner has taken the grant.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct WireRange(u16, u16, u16, u64, bool);

impl From<&OwnerMap> for WireOwners {
    fn from(map: &OwnerMap) -> Self {
        let mut holders: IndexSet<&Holder> = IndexSet::new();
        let ranges = map.ranges.iter().map(|range| {
            let owner = range.owner.as_ref();
            let place = owner.map_or(0, |holder| holders.insert_full(holder).0 as u16 + 1);
            WireRange(range.first, range.last, place, range.epoch, range.is_held)
        });
        let ranges = ranges.collect();
        let holders = holders.into_iter();
        Self {
            holders: holders
                .map(|holder| (holder.upstream.clone(), holder.run))
                .collect(),
            ranges,
        }
    }
}

impl From<WireOwners> for OwnerMap {
    fn from(wire: WireOwners) -> Self {
        let WireOwners { holders, ranges } = wire;
        let ranges = ranges.into_iter().map(|range| {
            let WireRange(first, last, place, epoch, is_held) = range;
            let owner = usize::from(place)
                .checked_sub(1)
                .and_then(|index| holders.get(index));
            OwnedRange {
                first,
                last,
                owner: owner.map(|(upstream, run)| Holder {
                    upstream: upstream.clone(),
                    run: *run,
                }),
                epoch,
                is_held,
                earlier: Vec::new(),
            }
        });
        Self {
            ranges: ranges.collect(),
        }
    }
}
