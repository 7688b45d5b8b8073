//! Dispatch of requests to cold upstreams.

use crate::cold_budget::SendPermit;
use crate::dispatch::{DispatchState, Dispatcher, RETRY_AFTER};
use crate::request::ResolvedRequest;
use crate::wire_cold::upstream_run;
use cold::{ColdLimit, HeldToken};
use fleet::{KnownUpstream, UpstreamEntry};
use kernel::{Cause, Moment, Refusal};
use log::info;
use place::{SelectionLimits, UpstreamCandidate};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Longest time for which a request waits for a token. A token that is available comes
/// within one report and its reply; what is not available then is better refused, so that
/// the client returns when the upstream is warm.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(500);
/// Interval at which a waiting request looks for a token.
const TOKEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A cold upstream that was selected for a request.
#[derive(Debug)]
pub(crate) struct ColdTarget {
    pub entry: UpstreamEntry,
    /// Expected time until the answer once the request is sent.
    pub expected: Duration,
    pub limit: ColdLimit,
    /// Time for which the request may wait for a token.
    pub max_wait: Duration,
    /// How much longer the upstream stays cold.
    pub remaining: Duration,
}

impl ColdTarget {
    /// Returns the target if the upstream needs a token now.
    pub(crate) fn find(
        state: &DispatchState,
        now: Moment,
        upstream: &KnownUpstream,
        expected: Duration,
        limits: &SelectionLimits,
    ) -> Option<Self> {
        let limit = state.cold.cold_limit(now, upstream)?;
        Some(Self {
            entry: upstream.entry.clone(),
            expected,
            limit,
            max_wait: limits
                .target_left
                .saturating_sub(expected)
                .min(MAX_TOKEN_WAIT),
            remaining: state.cold.cold_remaining(now, upstream),
        })
    }
}

/// Separates the candidates that need a token from the others.
pub(crate) fn split_cold(
    state: &DispatchState,
    candidates: Vec<UpstreamCandidate>,
    service: &kernel::ServiceName,
) -> (Vec<UpstreamCandidate>, Vec<UpstreamCandidate>) {
    if !state.cold.is_limited(service) {
        return (candidates, Vec::new());
    }
    candidates
        .into_iter()
        .partition(|candidate| !candidate.is_cold)
}

impl Dispatcher {
    /// Waits until a request may be sent to a cold upstream. Returns `None` if the upstream
    /// has become warm or can't be used any more, so that another selection is due.
    ///
    /// # Errors
    ///
    /// Refuses the request if no token comes in time.
    pub(crate) async fn wait_for_token(
        &self,
        request: &ResolvedRequest,
        target: &ColdTarget,
        is_client_gone: &AtomicBool,
    ) -> Result<Option<HeldToken>, Refusal> {
        let cold = &self.state.cold;
        let rank = request.route.rule().rank;
        let run = upstream_run(&target.entry);
        let started_at = self.state.clock.now();
        if let Some(token) = cold.reserve(started_at, run, rank) {
            return Ok(Some(token));
        }
        let wait = if target.max_wait < TOKEN_POLL_INTERVAL {
            None
        } else {
            cold.begin_wait(run, rank, &target.limit)
        };
        let Some(_wait) = wait else {
            return Err(self.refuse_cold(request, target, started_at));
        };
        let wait_until = started_at + target.max_wait;
        loop {
            cold.request_report(self.state.clock.now());
            async_std::task::sleep(TOKEN_POLL_INTERVAL).await;
            if is_client_gone.load(Ordering::Relaxed) {
                return Err(Cause::RequestTimeout.into());
            }
            let now = self.state.clock.now();
            let view = self.state.view.load();
            let known = view.upstreams.get(&target.entry.id);
            let Some(known) = known.filter(|known| upstream_run(&known.entry) == run) else {
                return Ok(None);
            };
            if cold.cold_limit(now, known).is_none() {
                return Ok(None);
            }
            if let Some(token) = cold.reserve(now, run, rank) {
                return Ok(Some(token));
            }
            if now >= wait_until {
                return Err(self.refuse_cold(request, target, started_at));
            }
        }
    }

    fn refuse_cold(
        &self,
        request: &ResolvedRequest,
        target: &ColdTarget,
        started_at: Moment,
    ) -> Refusal {
        let waited = self.state.clock.now() - started_at;
        self.state
            .metrics
            .cold_requests
            .with_label_values(&["refused"])
            .inc();
        info!(
            target: "cold",
            "request={} upstream={} rank={} state=refused waited_ms={} remaining_ms={}",
            request.id, target.entry.id, request.route.rule().rank, waited.as_millis(),
            target.remaining.as_millis(),
        );
        let retry_after = target.remaining.saturating_sub(waited).max(RETRY_AFTER);
        Refusal::new(Cause::Overloaded).with_retry_after(retry_after)
    }

    /// Returns the permit with which a request is written to an upstream.
    pub(crate) fn permit<'a>(
        &'a self,
        request: &ResolvedRequest,
        entry: &'a UpstreamEntry,
        token: Option<HeldToken>,
    ) -> SendPermit<'a> {
        SendPermit::new(&self.state.cold, entry, request.route.rule().rank, token)
    }
}
