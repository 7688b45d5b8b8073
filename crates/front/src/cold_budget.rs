//! Requests to cold upstreams: which upstreams are cold, the tokens that requests to them
//! need, and the leader's issue of tokens.

use crate::adapter::SharedBounds;
use crate::cold_health::HealthCheck;
use crate::message::{HostReport, LeaderReply};
use crate::metrics::FrontMetrics;
use crate::peers::PeerRegistry;
use crate::view::{FrontView, SharedView};
use crate::wire_cold::{WireCold, WireTokens, WireWant, upstream_run};
use cold::{
    ColdLimit, ColdSource, ColdStates, HeldToken, TokenGrant, TokenIssuer, TokenPool, TokenWant,
    UpstreamRun,
};
use fleet::{KnownUpstream, UpstreamEntry};
use h1::DialError;
use kernel::{Clock, Moment, ServiceName};
use log::{debug, info};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;

/// Minimum time between two reports that ask for tokens: short compared with the time for
/// which a request waits, and several times the usual time to a reply.
const MIN_EARLY_INTERVAL: Duration = Duration::from_millis(80);
/// Longest time between such reports. It doubles up to this while the leader issues no
/// tokens: at 135 hosts the leader then receives 420 reports a second.
const MAX_EARLY_INTERVAL: Duration = Duration::from_millis(320);
/// Maximum number of wants in a report, about 2 KB; the most urgent come first.
const MAX_REPORTED_WANTS: usize = 200;
/// Maximum number of cold upstreams in a message, about 4 KB.
const MAX_REPORTED_COLD: usize = 400;
/// Time after which the issuer forgets an upstream; its allowance is full long before.
const MAX_ISSUER_IDLE: Duration = Duration::from_secs(30);
/// Number of cold starts up to which a response can say that its upstream stays cold. A
/// wrong value must not keep an upstream from work for long.
const MAX_RESPONSE_STARTS: u32 = 10;

/// Name under which the leader asks itself for tokens of health checks; hosts have longer
/// ones.
const HEALTH_CHECKER: &str = "";

/// What a host knows of cold upstreams, its tokens, and while it leads, their issue.
#[derive(Debug)]
pub(crate) struct ColdControl {
    clock: Arc<dyn Clock>,
    view: Arc<SharedView>,
    bounds: SharedBounds,
    peers: Arc<PeerRegistry>,
    metrics: FrontMetrics,
    states: Mutex<ColdStates>,
    pool: Mutex<TokenPool>,
    issuer: Mutex<TokenIssuer>,
    pace: Mutex<ReportPace>,
}

/// When the next report may ask for tokens.
#[derive(Debug)]
struct ReportPace {
    next_at: Moment,
    interval: Duration,
}

impl ColdControl {
    pub(crate) fn new(
        clock: Arc<dyn Clock>,
        view: Arc<SharedView>,
        bounds: SharedBounds,
        peers: Arc<PeerRegistry>,
        metrics: FrontMetrics,
    ) -> Self {
        Self {
            clock,
            view,
            bounds,
            peers,
            metrics,
            states: Mutex::default(),
            pool: Mutex::default(),
            issuer: Mutex::default(),
            pace: Mutex::new(ReportPace {
                next_at: Moment::ZERO,
                interval: MIN_EARLY_INTERVAL,
            }),
        }
    }

    /// Returns the limit on requests to a service's cold upstreams; `None` where the sheet
    /// or the settings lack a value for it.
    pub(crate) fn limit(&self, service: &ServiceName) -> Option<ColdLimit> {
        let bounds = self.bounds.load();
        let (over, slack) = (bounds.cold_over?, bounds.cold_slack?);
        let view = self.view.load();
        let cold_start = view.sheet.as_ref()?.services.get(service)?.cold_start?;
        Some(ColdLimit {
            per_second: cold_start.requests_per_second,
            over,
            slack,
            start: cold_start.duration,
        })
    }

    pub(crate) fn is_limited(&self, service: &ServiceName) -> bool {
        self.limit(service).is_some()
    }

    fn limit_of_run(&self, view: &FrontView, run: UpstreamRun) -> Option<ColdLimit> {
        let id = view.upstream_hashes.get(&run.upstream)?;
        self.limit(&view.upstreams.get(id)?.entry.service)
    }

    /// Returns until when an upstream is cold, by its entry and by what was found.
    fn cold_until(&self, known: &KnownUpstream) -> Moment {
        let found = self.states.lock().cold_until(upstream_run(&known.entry));
        found.map_or(known.cold_until, |found| found.max(known.cold_until))
    }

    /// Returns whether an upstream is cold, also where that limits nothing.
    pub(crate) fn is_cold(&self, now: Moment, known: &KnownUpstream) -> bool {
        now < known.cold_until || now < self.cold_until(known)
    }

    /// Returns the limit on the requests to an upstream if it is cold now.
    pub(crate) fn cold_limit(&self, now: Moment, known: &KnownUpstream) -> Option<ColdLimit> {
        self.is_cold(now, known)
            .then(|| self.limit(&known.entry.service))
            .flatten()
    }

    /// Returns for how much longer an upstream stays cold.
    pub(crate) fn cold_remaining(&self, now: Moment, known: &KnownUpstream) -> Duration {
        self.cold_until(known) - now
    }

    /// Returns the rate of requests up to which an upstream is given keys, if it is or was
    /// cold.
    pub(crate) fn key_rate(&self, now: Moment, known: &KnownUpstream) -> Option<f64> {
        let cold_until = self.cold_until(known);
        // An upstream whose first entry says that it is warm has had no cold start.
        if cold_until <= known.first_seen_at {
            return None;
        }
        self.limit(&known.entry.service)?.key_rate(now, cold_until)
    }

    /// Records a newer entry of an upstream.
    pub(crate) fn record_entry(&self, now: Moment, entry: &UpstreamEntry) {
        if !entry.cold_duration.is_zero() {
            info!(
                target: "cold",
                "upstream={} run={} state=cold source=entry remaining_ms={}",
                entry.id, entry.started_at_ms, entry.cold_duration.as_millis(),
            );
        }
        self.states.lock().record_entry(now, upstream_run(entry));
    }

    /// Records that no connection to an upstream could be made.
    pub(crate) fn record_unreachable(&self, entry: &UpstreamEntry, error: &DialError) {
        if !self.is_limited(&entry.service) {
            return;
        }
        let is_refused = matches!(error, DialError::Refused(_));
        let run = upstream_run(entry);
        let now = self.clock.now();
        self.states.lock().record_unreachable(now, run, is_refused);
    }

    /// Records that a new connection to an upstream could be made. One that could not be
    /// reached before may be a new run, whose entry has not arrived.
    pub(crate) fn record_reached(&self, entry: &UpstreamEntry) {
        let mut states = self.states.lock();
        if !states.has_silent() {
            return;
        }
        let Some(limit) = self.limit(&entry.service) else {
            return;
        };
        let now = self.clock.now();
        if states.record_reached(now, upstream_run(entry), limit.start) {
            drop(states);
            self.announce_cold(entry, ColdSource::Return, limit.start);
        }
    }

    /// Records how much longer an upstream says in a response that it stays cold.
    pub(crate) fn record_response(&self, entry: &UpstreamEntry, remaining_ms: u64) {
        let Some(limit) = self.limit(&entry.service) else {
            return;
        };
        let remaining = Duration::from_millis(remaining_ms).min(limit.start * MAX_RESPONSE_STARTS);
        let now = self.clock.now();
        let is_colder = self
            .states
            .lock()
            .record_response(now, upstream_run(entry), remaining);
        if is_colder {
            self.announce_cold(entry, ColdSource::Response, remaining);
        }
    }

    /// Logs that this host found an upstream cold, and lets the leader know.
    fn announce_cold(&self, entry: &UpstreamEntry, source: ColdSource, remaining: Duration) {
        info!(
            target: "cold",
            "upstream={} run={} state=cold source={} remaining_ms={}",
            entry.id, entry.started_at_ms, source.as_str(), remaining.as_millis(),
        );
        self.metrics
            .cold_found
            .with_label_values(&[source.as_str()])
            .inc();
        self.request_report(self.clock.now());
    }

    /// Returns whether this host holds a token for an upstream that a request of this rank
    /// may use.
    pub(crate) fn reserve(&self, now: Moment, run: UpstreamRun, rank: u32) -> Option<HeldToken> {
        self.pool.lock().reserve(now, run, rank)
    }

    /// Puts back a token whose request was not written.
    pub(crate) fn put_back(&self, token: HeldToken) {
        self.pool.lock().put_back(self.clock.now(), token);
    }

    /// Registers a request that waits for a token, until the guard is dropped. Returns
    /// `None` if as many wait as may be sent in a second.
    pub(crate) fn begin_wait(
        &self,
        run: UpstreamRun,
        rank: u32,
        limit: &ColdLimit,
    ) -> Option<TokenWait<'_>> {
        let mut pool = self.pool.lock();
        if pool.waiting(run) >= limit.burst() {
            return None;
        }
        pool.begin_wait(run, rank);
        Some(TokenWait {
            control: self,
            run,
            rank,
        })
    }

    /// Sends a report early, to ask for tokens, unless one was sent a moment ago.
    pub(crate) fn request_report(&self, now: Moment) {
        let mut pace = self.pace.lock();
        if now < pace.next_at {
            return;
        }
        if now - pace.next_at > MAX_EARLY_INTERVAL {
            pace.interval = MIN_EARLY_INTERVAL;
        }
        pace.next_at = now + pace.interval;
        pace.interval = (pace.interval * 2).min(MAX_EARLY_INTERVAL);
        self.peers.wake_reports();
    }

    /// Returns the wants for a report that is about to be sent with this time stamp.
    pub(crate) fn begin_report(&self, sent_at: Moment) -> Vec<WireWant> {
        let mut pool = self.pool.lock();
        pool.record_report(sent_at);
        let mut wants = pool.wants(sent_at);
        wants.sort_by_key(|want| want.rank);
        let wants = wants.into_iter().take(MAX_REPORTED_WANTS);
        wants.map(WireWant::from).collect()
    }

    /// Returns the cold upstreams for a message: those that this host found itself, or all
    /// that it knows.
    pub(crate) fn known_cold(&self, is_own: bool) -> Vec<WireCold> {
        let now = self.clock.now();
        let remaining = self.states.lock().remaining(now, is_own);
        let remaining = remaining.into_iter().take(MAX_REPORTED_COLD);
        remaining.map(WireCold::from).collect()
    }

    /// Records the cold upstreams in a message.
    pub(crate) fn apply_cold(&self, cold: &[WireCold]) {
        if cold.is_empty() {
            return;
        }
        let now = self.clock.now();
        let view = self.view.load();
        let mut states = self.states.lock();
        for cold in cold {
            let (run, remaining) = (*cold).into();
            let is_limited = self.limit_of_run(&view, run).is_some();
            if is_limited && states.record_peer(now, run, remaining) {
                self.metrics
                    .cold_found
                    .with_label_values(&[ColdSource::Peer.as_str()])
                    .inc();
            }
        }
    }

    /// Issues the tokens that a report asks for.
    pub(crate) fn issue(&self, report: &HostReport) -> Vec<WireTokens> {
        if report.wanted.is_empty() {
            return Vec::new();
        }
        let wants: Vec<TokenWant> = report.wanted.iter().copied().map(Into::into).collect();
        let view = self.view.load();
        // The time is read after the report has arrived.
        let now = self.clock.now();
        let grants = self.issuer.lock().issue(now, &report.host, &wants, |run| {
            self.limit_of_run(&view, run)
        });
        let wanted: u32 = wants.iter().map(|want| want.count).sum();
        let issued: u32 = grants.iter().map(|grant| grant.count).sum();
        self.metrics
            .cold_tokens
            .with_label_values(&["issued"])
            .inc_by(u64::from(issued));
        info!(
            target: "cold",
            "host={} tokens_wanted={wanted} tokens_issued={issued} upstreams={}",
            report.host, grants.len(),
        );
        grants.into_iter().map(WireTokens::from).collect()
    }

    /// Adds the tokens that the leader issued for the report of this time stamp.
    pub(crate) fn accept(&self, sent_at: Moment, tokens: &[WireTokens]) {
        let grants: Vec<TokenGrant> = tokens.iter().copied().map(Into::into).collect();
        let now = self.clock.now();
        let added = self.pool.lock().accept(now, sent_at, &grants);
        if added == 0 {
            return;
        }
        self.pace.lock().interval = MIN_EARLY_INTERVAL;
        self.metrics
            .cold_tokens
            .with_label_values(&["received"])
            .inc_by(u64::from(added));
        debug!(
            target: "cold",
            "tokens_received={added} after_ms={}", (now - sent_at).as_millis(),
        );
    }

    /// Applies the leader's reply.
    pub(crate) fn apply_reply(&self, reply: &LeaderReply) {
        self.apply_cold(&reply.cold);
        if reply.report_sent_at_us > 0 {
            self.accept(Moment::from_micros(reply.report_sent_at_us), &reply.tokens);
        }
    }

    /// Lets the leader issue tokens while its lease is valid.
    pub(crate) fn set_lease(&self, now: Moment, term: u64, valid_until: Option<Moment>) {
        let mut issuer = self.issuer.lock();
        match valid_until {
            Some(valid_until) => issuer.set_lease(now, term, valid_until),
            None => issuer.stop(),
        }
    }

    /// Stops the issue of tokens, as the lease is given up.
    pub(crate) fn stop_issuing(&self) {
        self.issuer.lock().stop();
    }

    /// Returns an upstream that the leader should ask how cold it is, once for each return,
    /// as far as its budget allows.
    pub(crate) fn next_health_check(&self, now: Moment) -> Option<HealthCheck> {
        if !self.issuer.lock().is_issuing(now) {
            return None;
        }
        let unasked = self.states.lock().unasked(now);
        let view = self.view.load();
        unasked
            .into_iter()
            .find_map(|run| self.health_check(now, run, &view))
    }

    fn health_check(&self, now: Moment, run: UpstreamRun, view: &FrontView) -> Option<HealthCheck> {
        let id = view.upstream_hashes.get(&run.upstream)?;
        let entry = &view.upstreams.get(id)?.entry;
        let service = view.sheet.as_ref()?.services.get(&entry.service)?;
        let path = service.health_path.clone()?;
        if upstream_run(entry) != run {
            return None;
        }
        // Its answer decides on the other requests, so that it goes before them.
        let want = TokenWant {
            run,
            rank: 0,
            count: 1,
        };
        let limit_of = |run| self.limit_of_run(view, run);
        let grants = self
            .issuer
            .lock()
            .issue(now, HEALTH_CHECKER, &[want], limit_of);
        let mut pool = self.pool.lock();
        pool.record_report(now);
        pool.accept(now, now, &grants);
        let token = pool.reserve(now, run, 0)?;
        drop(pool);
        self.states.lock().record_asked(run);
        Some(HealthCheck {
            entry: entry.clone(),
            path,
            token,
        })
    }

    /// Removes expired state.
    pub(crate) fn sweep(&self, now: Moment) {
        let expired = self.pool.lock().drop_expired(now);
        self.metrics
            .cold_tokens
            .with_label_values(&["expired"])
            .inc_by(u64::from(expired));
        self.issuer.lock().prune(now, MAX_ISSUER_IDLE);
        let view = self.view.load();
        let longest_start = view.sheet.as_ref().and_then(|sheet| {
            let services = sheet.services.values();
            let starts = services.filter_map(|service| service.cold_start);
            starts.map(|cold_start| cold_start.duration).max()
        });
        self.states
            .lock()
            .prune(now, longest_start.unwrap_or_default(), |upstream| {
                view.upstream_hashes.contains_key(&upstream)
            });
        let cold = view.upstreams.values();
        let cold = cold.filter(|known| self.cold_limit(now, known).is_some());
        self.metrics
            .cold_upstreams
            .set(i64::from(cold.count() as u32));
    }
}

/// A request that waits for a token.
#[derive(Debug)]
pub(crate) struct TokenWait<'a> {
    control: &'a ColdControl,
    run: UpstreamRun,
    rank: u32,
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        self.control.pool.lock().end_wait(self.run, self.rank);
    }
}

/// Permission to write one request to an upstream, which is checked right before the
/// write.
#[derive(Debug)]
pub(crate) struct SendPermit<'a> {
    control: &'a ColdControl,
    entry: &'a UpstreamEntry,
    rank: u32,
    token: Option<HeldToken>,
    /// Whether the request is relayed for another host, which has its own tokens.
    is_for_other_host: bool,
    /// Whether a relay knows that the upstream is cold, whatever this host knows.
    is_cold_at_relay: bool,
    /// Whether the upstream refused a connection.
    was_refused: bool,
    /// The token that was used up by the write.
    used_token: Option<HeldToken>,
}

impl<'a> SendPermit<'a> {
    pub(crate) const fn new(
        control: &'a ColdControl,
        entry: &'a UpstreamEntry,
        rank: u32,
        token: Option<HeldToken>,
    ) -> Self {
        Self {
            control,
            entry,
            rank,
            token,
            is_for_other_host: false,
            is_cold_at_relay: false,
            was_refused: false,
            used_token: None,
        }
    }

    /// Creates the permit for a request that is relayed for another host. It never uses
    /// this host's tokens, so it allows no write to an upstream that needs one.
    pub(crate) const fn for_other_host(control: &'a ColdControl, entry: &'a UpstreamEntry) -> Self {
        Self {
            control,
            entry,
            rank: u32::MAX,
            token: None,
            is_for_other_host: true,
            is_cold_at_relay: false,
            was_refused: false,
            used_token: None,
        }
    }

    /// Returns whether the request holds a token, or may need one. It is then not relayed: a
    /// token is valid for a short time, and only for a write by the host that holds it. An
    /// upstream that this host could not reach may return cold, which only a connection of
    /// this host shows.
    pub(crate) fn may_need_token(&self) -> bool {
        let control = self.control;
        let upstream = upstream_run(self.entry).upstream;
        if self.token.is_some() || control.states.lock().is_silent(upstream) {
            return true;
        }
        let view = control.view.load();
        let known = view.upstreams.get(&self.entry.id);
        known.is_some_and(|known| control.cold_limit(control.clock.now(), known).is_some())
    }

    /// Lets the request be written only with a token, as a relay knows that the upstream is
    /// cold; this host may learn of it later.
    pub(crate) const fn require_token(&mut self) {
        self.is_cold_at_relay = true;
    }

    /// Records that the upstream's relay could not reach it in time.
    pub(crate) fn record_relay_timeout(&self) {
        let control = self.control;
        if control.is_limited(&self.entry.service) {
            let (now, run) = (control.clock.now(), upstream_run(self.entry));
            control.states.lock().record_unreachable(now, run, false);
        }
    }

    /// Returns whether the upstream refused the connection and cold upstreams are limited.
    pub(crate) fn is_refusal_relevant(&self) -> bool {
        self.was_refused && self.control.is_limited(&self.entry.service)
    }

    /// Records how much longer an upstream says that it stays cold, in an answer that came
    /// through a relay. That it answered says nothing about this host's own connections.
    pub(crate) fn record_relayed_answer(&self, remaining_ms: Option<u64>) {
        if let Some(remaining_ms) = remaining_ms {
            self.control.record_response(self.entry, remaining_ms);
        }
    }

    /// Records the result of opening a connection for the request.
    pub(crate) fn record_connection(&mut self, connected: Result<(), &DialError>) {
        self.was_refused = matches!(connected, Err(DialError::Refused(_)));
        match connected {
            Ok(()) => self.control.record_reached(self.entry),
            Err(error) => self.control.record_unreachable(self.entry, error),
        }
    }

    /// Returns whether the request may be written now; uses up its token if it needs one.
    ///
    /// The upstream may have become cold, or the token have expired, since the upstream
    /// was selected.
    pub(crate) fn use_for_write(&mut self) -> bool {
        let control = self.control;
        let view = control.view.load();
        let now = control.clock.now();
        let Some(known) = view.upstreams.get(&self.entry.id) else {
            let Some(token) = self.token.take() else {
                return true;
            };
            let is_valid = token.is_valid(now);
            self.used_token = Some(token);
            return is_valid;
        };
        let is_known_cold = control.cold_limit(now, known).is_some();
        let is_cold_at_relay = self.is_cold_at_relay && control.is_limited(&known.entry.service);
        if !is_known_cold && !is_cold_at_relay {
            return true;
        }
        if self.is_for_other_host {
            return false;
        }
        let run = upstream_run(&known.entry);
        let held = self
            .token
            .take()
            .filter(|token| token.run() == run && token.is_valid(now));
        self.used_token = held.or_else(|| control.reserve(now, run, self.rank));
        if self.used_token.is_none() {
            control
                .metrics
                .cold_requests
                .with_label_values(&["withheld"])
                .inc();
            return false;
        }
        control
            .metrics
            .cold_requests
            .with_label_values(&["sent"])
            .inc();
        true
    }

    /// Takes back the token that [`Self::use_for_write`] used up, as no byte of the request
    /// was handed to the connection.
    pub(crate) fn return_token(&mut self) {
        self.token = self.used_token.take();
    }

    /// Records that the upstream answered, and how much longer it says that it stays cold,
    /// if it does.
    pub(crate) fn record_head(&self, remaining_ms: Option<u64>) {
        let mut states = self.control.states.lock();
        if states.has_silent() {
            states.record_alive(upstream_run(self.entry).upstream);
        }
        drop(states);
        if let Some(remaining_ms) = remaining_ms {
            self.control.record_response(self.entry, remaining_ms);
        }
    }
}

impl Drop for SendPermit<'_> {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            self.control.put_back(token);
        }
    }
}
