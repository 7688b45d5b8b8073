//! Tokens that a host holds.

use crate::{TokenGrant, TokenWant, UpstreamRun};
use indexmap::IndexMap;
use kernel::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a token is valid, from the moment at which the host sent the report that
/// asked for it. A reply usually takes a few milliseconds, and a host that is short of
/// processor time handles it up to 0.2 s later.
pub const TOKEN_VALIDITY: Duration = Duration::from_millis(600);
/// Part of the validity that is kept for the time between the check of a token and the
/// write of its request: a host that has used up its processor share waits up to 0.1 s.
const WRITE_MARGIN: Duration = Duration::from_millis(100);
/// Maximum number of reports of which an answer is awaited; a host sends fewer than ten
/// within the validity of a token.
const MAX_PENDING_REPORTS: usize = 32;

/// A token in the hands of one request. It is used up by a request that is written, and
/// returned to the pool otherwise.
#[derive(Debug)]
pub struct HeldToken {
    run: UpstreamRun,
    valid_until: Moment,
}

impl HeldToken {
    /// Returns whether a request may be written with it now.
    pub fn is_valid(&self, now: Moment) -> bool {
        now < self.valid_until
    }

    /// Returns the run that it is for.
    pub const fn run(&self) -> UpstreamRun {
        self.run
    }
}

/// Tokens that a host has received, and the requests that wait for one.
#[derive(Debug, Default)]
pub struct TokenPool {
    /// Reports whose tokens have not arrived. A reply to any other report is a copy, or
    /// meant for an earlier process.
    pending: VecDeque<Moment>,
    tokens: IndexMap<UpstreamRun, Vec<HeldToken>>,
    waiting: IndexMap<(UpstreamRun, u32), u32>,
}

impl TokenPool {
    /// Records that a request waits for a token.
    pub fn begin_wait(&mut self, run: UpstreamRun, rank: u32) {
        *self.waiting.entry((run, rank)).or_default() += 1;
    }

    /// Records that a request no longer waits.
    pub fn end_wait(&mut self, run: UpstreamRun, rank: u32) {
        let Some(count) = self.waiting.get_mut(&(run, rank)) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.waiting.swap_remove(&(run, rank));
        }
    }

    /// Returns the number of requests that wait for a token of a run.
    pub fn waiting(&self, run: UpstreamRun) -> u32 {
        let waiting = self.waiting.iter().filter(|((other, _), _)| *other == run);
        waiting.map(|(_, count)| count).sum()
    }

    /// Returns the tokens that a report should ask for: one for each waiting request that
    /// none of the tokens held will serve.
    pub fn wants(&mut self, now: Moment) -> Vec<TokenWant> {
        self.drop_expired(now);
        let mut waiting: Vec<TokenWant> = self
            .waiting
            .iter()
            .map(|((run, rank), count)| TokenWant {
                run: *run,
                rank: *rank,
                count: *count,
            })
            .collect();
        waiting.sort_by_key(|want| (want.run, want.rank));
        let mut covered: IndexMap<UpstreamRun, u32> = self
            .tokens
            .iter()
            .map(|(run, tokens)| (*run, tokens.len() as u32))
            .collect();
        for want in &mut waiting {
            let Some(held) = covered.get_mut(&want.run) else {
                continue;
            };
            let used = want.count.min(*held);
            want.count -= used;
            *held -= used;
        }
        waiting.retain(|want| want.count > 0);
        waiting
    }

    /// Records that a report was sent. Its time stamp must be read before it is sent, and
    /// must differ from those of other reports.
    pub fn record_report(&mut self, sent_at: Moment) {
        if self.pending.len() >= MAX_PENDING_REPORTS {
            self.pending.pop_front();
        }
        self.pending.push_back(sent_at);
    }

    /// Adds the tokens of a reply to the report of `sent_at`; returns how many were added.
    ///
    /// Only the first reply to a report counts: a datagram may arrive twice.
    pub fn accept(&mut self, now: Moment, sent_at: Moment, grants: &[TokenGrant]) -> u32 {
        let Some(index) = self.pending.iter().position(|pending| *pending == sent_at) else {
            return 0;
        };
        self.pending.remove(index);
        let valid_until = (sent_at + TOKEN_VALIDITY).saturating_sub(WRITE_MARGIN);
        if now >= valid_until {
            return 0;
        }
        let mut added = 0;
        for grant in grants {
            let tokens = self.tokens.entry(grant.run).or_default();
            for _ in 0..grant.count {
                tokens.push(HeldToken {
                    run: grant.run,
                    valid_until,
                });
            }
            added += grant.count;
        }
        added
    }

    /// Takes a token for a request, unless all of them are for more urgent requests that
    /// wait.
    pub fn reserve(&mut self, now: Moment, run: UpstreamRun, rank: u32) -> Option<HeldToken> {
        let urgent = self
            .waiting
            .iter()
            .filter(|((other, other_rank), _)| *other == run && *other_rank < rank);
        let urgent: u32 = urgent.map(|(_, count)| count).sum();
        let tokens = self.tokens.get_mut(&run)?;
        tokens.retain(|token| token.is_valid(now));
        if tokens.len() as u32 <= urgent {
            return None;
        }
        // The one that expires first.
        let soonest = (0..tokens.len()).min_by_key(|index| tokens[*index].valid_until)?;
        Some(tokens.swap_remove(soonest))
    }

    /// Puts back a token whose request was not written.
    pub fn put_back(&mut self, now: Moment, token: HeldToken) {
        if token.is_valid(now) {
            self.tokens.entry(token.run).or_default().push(token);
        }
    }

    /// Drops expired tokens; returns how many there were.
    pub fn drop_expired(&mut self, now: Moment) -> u32 {
        let mut dropped = 0;
        self.tokens.retain(|_, tokens| {
            let count = tokens.len();
            tokens.retain(|token| token.is_valid(now));
            dropped += (count - tokens.len()) as u32;
            !tokens.is_empty()
        });
        dropped
    }
}
