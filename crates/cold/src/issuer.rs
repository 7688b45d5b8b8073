//! Issue of tokens by the leader.

use crate::pool::TOKEN_VALIDITY;
use crate::{ColdLimit, TokenGrant, TokenWant, UpstreamRun};
use indexmap::IndexMap;
use kernel::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Time in which at most the requests of one second are issued: tokens that are used
/// within one second were issued within one second and the validity of a token. A
/// fiftieth is for clocks that run at different rates.
pub const ISSUE_WINDOW: Duration =
    Duration::from_millis((TOKEN_VALIDITY.as_millis() as u64 + 1_000) * 51 / 50);
/// Time for which tokens are kept back for a more urgent request that got none. A host
/// that still waits asks again at least three times within it.
const UNMET_TTL: Duration = Duration::from_millis(600);

/// Issues tokens while its host holds the leader's lease.
#[derive(Clone, Debug, Default)]
pub struct TokenIssuer {
    term: Option<u64>,
    /// When the tokens of the previous leader can no longer add to those of this one.
    issues_from: Moment,
    /// End of the lease.
    issues_until: Moment,
    upstreams: IndexMap<u32, IssueHistory>,
}

/// Tokens of one upstream.
///
/// They are counted for all of its runs together: hosts that do not know yet of a new run
/// use tokens of the previous one there.
#[derive(Clone, Debug)]
struct IssueHistory {
    /// Times of the tokens that were issued within the window, the oldest first.
    issued_at: VecDeque<Moment>,
    /// Tokens that the sustained rate allows now.
    allowance: f64,
    updated_at: Moment,
    unmet: Vec<UnmetWant>,
}

/// Requests that wait at a host and got no token.
#[derive(Clone, Debug)]
struct UnmetWant {
    host: String,
    rank: u32,
    count: u32,
    at: Moment,
}

impl TokenIssuer {
    /// Records that this host leads in `term`, and until when its lease is valid.
    ///
    /// In a new term no tokens are issued for one window: those of the previous leader
    /// may be used until one validity from now, and count for one second more.
    pub fn set_lease(&mut self, now: Moment, term: u64, valid_until: Moment) {
        if self.term != Some(term) {
            self.term = Some(term);
            self.issues_from = now + ISSUE_WINDOW;
            self.upstreams.clear();
        }
        self.issues_until = valid_until;
    }

    /// Stops issuing, as the lease has been given up.
    pub fn stop(&mut self) {
        self.issues_until = Moment::ZERO;
    }

    /// Returns whether tokens are issued now.
    pub fn is_issuing(&self, now: Moment) -> bool {
        self.issues_from <= now && now < self.issues_until
    }

    /// Issues tokens for what a host wants, the most urgent first.
    ///
    /// `now` must have been read after the host's report arrived. `limit_of` returns the
    /// limit of an upstream, if it has one.
    pub fn issue(
        &mut self,
        now: Moment,
        host: &str,
        wants: &[TokenWant],
        limit_of: impl Fn(UpstreamRun) -> Option<ColdLimit>,
    ) -> Vec<TokenGrant> {
        if !self.is_issuing(now) {
            return Vec::new();
        }
        let mut wants = wants.to_vec();
        wants.sort_by_key(|want| want.rank);
        // What the previous leader issued is unknown: the allowance counts from its end.
        let counts_from = self.issues_from.saturating_sub(ISSUE_WINDOW);
        let mut grants: IndexMap<UpstreamRun, u32> = IndexMap::new();
        for want in wants {
            let Some(limit) = limit_of(want.run) else {
                continue;
            };
            let history = self
                .upstreams
                .entry(want.run.upstream)
                .or_insert_with(|| IssueHistory::new(counts_from));
            history.update(now, &limit);
            history
                .unmet
                .retain(|unmet| unmet.rank != want.rank || unmet.host != host);
            let reserved = history.reserved_for_more_urgent(want.rank);
            let count = history
                .available(&limit)
                .saturating_sub(reserved)
                .min(want.count);
            history.record(now, count);
            if count < want.count {
                history.unmet.push(UnmetWant {
                    host: host.to_owned(),
                    rank: want.rank,
                    count: want.count - count,
                    at: now,
                });
            }
            if count > 0 {
                *grants.entry(want.run).or_default() += count;
            }
        }
        let grants = grants.into_iter();
        grants
            .map(|(run, count)| TokenGrant { run, count })
            .collect()
    }

    /// Forgets upstreams whose tokens have all left the window and whose allowance is
    /// full again.
    pub fn prune(&mut self, now: Moment, max_idle: Duration) {
        self.upstreams
            .retain(|_, history| now - history.updated_at < max_idle.max(ISSUE_WINDOW));
    }
}

impl IssueHistory {
    fn new(counts_from: Moment) -> Self {
        Self {
            issued_at: VecDeque::new(),
            allowance: 0.0,
            updated_at: counts_from,
            unmet: Vec::new(),
        }
    }

    fn update(&mut self, now: Moment, limit: &ColdLimit) {
        // A token at the very start of a closed window still counts.
        while let Some(oldest) = self.issued_at.front()
            && now - *oldest > ISSUE_WINDOW
        {
            self.issued_at.pop_front();
        }
        let earned = (now - self.updated_at).as_secs_f64() * limit.sustained();
        self.allowance = (self.allowance + earned).min(f64::from(limit.burst()));
        self.updated_at = self.updated_at.max(now);
        self.unmet.retain(|unmet| now - unmet.at < UNMET_TTL);
    }

    fn available(&self, limit: &ColdLimit) -> u32 {
        let by_window = limit.burst().saturating_sub(self.issued_at.len() as u32);
        by_window.min(self.allowance as u32)
    }

    /// Returns the number of requests of other hosts that are more urgent and got no
    /// token.
    fn reserved_for_more_urgent(&self, rank: u32) -> u32 {
        let urgent = self.unmet.iter().filter(|unmet| unmet.rank < rank);
        urgent.map(|unmet| unmet.count).sum()
    }

    fn record(&mut self, now: Moment, count: u32) {
        self.allowance -= f64::from(count);
        for _ in 0..count {
            self.issued_at.push_back(now);
        }
    }
}
