//! The greatest term that a host knows of, below which no leader takes a term.
//!
//! The row of the lease may go back when the store is restored from a copy. A term that
//! was taken from it alone could be one that was used before, and with it every epoch.

use crate::ledger::EPOCH_COUNTER_BITS;

/// Low bits of a term that count within an era of the store; the bits above hold the era.
///
/// A million terms last for years, and epochs of the first 512 eras stay below 2^53, so
/// that upstreams which read numbers as floating point read them exactly.
const TERM_COUNTER_BITS: u32 = 20;

/// Returns the term in which an epoch was issued.
pub const fn term_of(epoch: u64) -> u64 {
    epoch >> EPOCH_COUNTER_BITS
}

/// Returns the store's era in which a term was taken; 0 if the store told none.
pub(crate) const fn era_of(term: u64) -> u64 {
    term >> TERM_COUNTER_BITS
}

/// The greatest term that a host knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TermFloor {
    greatest: u64,
}

impl TermFloor {
    /// Records a term that some leader has taken.
    pub fn record_term(&mut self, term: u64) {
        self.greatest = self.greatest.max(term);
    }

    /// Records the term of an epoch that is in use.
    pub fn record_epoch(&mut self, epoch: u64) {
        self.record_term(term_of(epoch));
    }

    /// Records that an upstream has seen a greater epoch than one that was granted to it.
    ///
    /// That epoch may be of the same term, which then has been taken twice, so that the
    /// next term must be a later one.
    pub fn record_superseded(&mut self, epoch: u64) {
        self.record_term(term_of(epoch) + 1);
    }

    /// Records an era of the store; the terms of an era are above those of earlier ones.
    pub fn record_era(&mut self, era: u64) {
        self.record_term(era << TERM_COUNTER_BITS);
    }

    /// Returns the greatest known term.
    pub const fn greatest(&self) -> u64 {
        self.greatest
    }

    /// Returns the term that a leader takes.
    pub const fn next_term(&self) -> u64 {
        self.greatest + 1
    }
}
