//! Owners as messages between hosts and the store's rows hold them.

use crate::{Holder, OwnedRange, OwnerMap};
use indexmap::IndexSet;
use kernel::UpstreamId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// First byte of a row; another one is a row of another version of the program.
const ROW_FORMAT: u8 = 1;

/// Ranges, their owners and who else may hold them.
///
/// Upstreams are named once, as names would be most of the bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireOwners {
    /// Id and run of each upstream that is named by a range.
    holders: Vec<(UpstreamId, u64)>,
    ranges: Vec<WireRange>,
}

/// A range; holders are given by their place in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct WireRange {
    first: u16,
    last: u16,
    owner: Option<u16>,
    epoch: u64,
    is_granted: bool,
    previous_holders: Vec<(u16, u64)>,
}

/// A row of owners that can't be read.
#[derive(Debug)]
pub struct OwnerRowError(String);

impl fmt::Display for OwnerRowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row of owners: {}", self.0)
    }
}

impl std::error::Error for OwnerRowError {}

impl OwnerMap {
    /// Encodes the owners as a row of the store, whose rows are limited to 64 KB.
    pub fn to_row(&self) -> Vec<u8> {
        postcard::to_extend(&WireOwners::from(self), vec![ROW_FORMAT])
            .expect("plain lists can be encoded")
    }

    /// Decodes a row of the store.
    ///
    /// # Errors
    ///
    /// Fails when it is no row of owners, or its ranges leave keys out.
    pub fn from_row(row: &[u8]) -> Result<Self, OwnerRowError> {
        let Some((&ROW_FORMAT, fields)) = row.split_first() else {
            return Err(OwnerRowError("unknown format".to_owned()));
        };
        let wire: WireOwners =
            postcard::from_bytes(fields).map_err(|error| OwnerRowError(error.to_string()))?;
        let map = Self::from(wire);
        if !map.is_complete() {
            return Err(OwnerRowError("ranges have gaps".to_owned()));
        }
        Ok(map)
    }
}

impl From<&OwnerMap> for WireOwners {
    fn from(map: &OwnerMap) -> Self {
        let mut holders: IndexSet<&Holder> = IndexSet::new();
        let mut ranges = Vec::with_capacity(map.ranges.len());
        for range in &map.ranges {
            let mut place = |holder| holders.insert_full(holder).0 as u16;
            let owner = range.owner.as_ref().map(&mut place);
            let earlier = range.previous_holders.iter();
            let earlier = earlier.map(|(holder, epoch)| (place(holder), *epoch));
            ranges.push(WireRange {
                first: range.first,
                last: range.last,
                owner,
                epoch: range.epoch,
                is_granted: range.is_granted,
                previous_holders: earlier.collect(),
            });
        }
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
        let find = |place: u16| {
            let (upstream, run) = holders.get(usize::from(place))?;
            Some(Holder {
                upstream: upstream.clone(),
                run: *run,
            })
        };
        let ranges = ranges.into_iter().map(|range| {
            let earlier = range.previous_holders.into_iter();
            OwnedRange {
                first: range.first,
                last: range.last,
                owner: range.owner.and_then(find),
                epoch: range.epoch,
                is_granted: range.is_granted,
                previous_holders: earlier
                    .filter_map(|(place, epoch)| Some((find(place)?, epoch)))
                    .collect(),
            }
        });
        Self {
            ranges: ranges.collect(),
        }
    }
}
