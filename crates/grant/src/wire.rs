//! Encoding of owners in messages between hosts and in rows of the store.

use crate::{Holder, OwnedRange, OwnerMap};
use indexmap::IndexSet;
use kernel::UpstreamId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// First byte of a row; another value means that another version of the program wrote
/// the row.
const ROW_FORMAT: u8 = 1;

/// Key ranges, their owners and their previous holders.
///
/// Each holder is listed once, because upstream ids would make up most of the bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireOwners {
    /// Upstream id and run of each holder that a range refers to.
    holders: Vec<(UpstreamId, u64)>,
    ranges: Vec<WireRange>,
}

/// A key range; holders are given as indexes into the list of holders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct WireRange {
    first: u16,
    last: u16,
    owner: Option<u16>,
    epoch: u64,
    is_granted: bool,
    previous_holders: Vec<(u16, u64)>,
}

/// A row of owners that could not be decoded.
#[derive(Debug)]
pub struct OwnerRowError(String);

impl fmt::Display for OwnerRowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot decode the row of owners: {}", self.0)
    }
}

impl std::error::Error for OwnerRowError {}

impl OwnerMap {
    /// Encodes the owners as a row of the store, which limits rows to 64 KB.
    pub fn to_row(&self) -> Vec<u8> {
        postcard::to_extend(&WireOwners::from(self), vec![ROW_FORMAT])
            .expect("plain lists can be encoded")
    }

    /// Decodes a row of the store.
    ///
    /// # Errors
    ///
    /// Fails when `row` is not a valid row of owners or its ranges do not cover all
    /// keys.
    pub fn from_row(row: &[u8]) -> Result<Self, OwnerRowError> {
        let Some((&ROW_FORMAT, fields)) = row.split_first() else {
            return Err(OwnerRowError("unknown row format".to_owned()));
        };
        let wire: WireOwners =
            postcard::from_bytes(fields).map_err(|error| OwnerRowError(error.to_string()))?;
        let map = Self::from(wire);
        if !map.is_complete() {
            return Err(OwnerRowError("ranges do not cover all keys".to_owned()));
        }
        Ok(map)
    }
}

impl From<&OwnerMap> for WireOwners {
    fn from(map: &OwnerMap) -> Self {
        let mut holders: IndexSet<&Holder> = IndexSet::new();
        let mut ranges = Vec::with_capacity(map.ranges.len());
        for range in &map.ranges {
            let mut index_of = |holder| holders.insert_full(holder).0 as u16;
            let owner = range.owner.as_ref().map(&mut index_of);
            let previous = range.previous_holders.iter();
            let previous = previous.map(|(holder, epoch)| (index_of(holder), *epoch));
            ranges.push(WireRange {
                first: range.first,
                last: range.last,
                owner,
                epoch: range.epoch,
                is_granted: range.is_granted,
                previous_holders: previous.collect(),
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
        let holder_at = |index: u16| {
            let (upstream, run) = holders.get(usize::from(index))?;
            Some(Holder {
                upstream: upstream.clone(),
                run: *run,
            })
        };
        let ranges = ranges.into_iter().map(|range| {
            let previous = range.previous_holders.into_iter();
            OwnedRange {
                first: range.first,
                last: range.last,
                owner: range.owner.and_then(holder_at),
                epoch: range.epoch,
                is_granted: range.is_granted,
                previous_holders: previous
                    .filter_map(|(index, epoch)| Some((holder_at(index)?, epoch)))
                    .collect(),
            }
        });
        Self {
            ranges: ranges.collect(),
        }
    }
}
