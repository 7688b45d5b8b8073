//! Metrics of one host.

use kernel::Verdict;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};
use std::time::Duration;

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0];

/// Metrics of one host.
#[derive(Clone, Debug)]
pub(crate) struct FrontMetrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    /// Attempts after a request's first one.
    pub retries: IntCounter,
    /// Retries for which the budget was empty.
    pub retries_denied: IntCounter,
    /// Calls to the store, by call and table.
    pub store_calls: IntCounterVec,
    /// Failed calls to the store.
    pub store_failures: IntCounter,
    /// 1 while this host leads, else 0.
    pub is_leader: IntGauge,
    /// Version of the sheet in force.
    pub sheet_version: IntGauge,
    /// Number of failure domains that are being or have been evacuated.
    pub evacuated_domains: IntGauge,
    /// Requests refused because only evacuated domains could run them, by rank.
    pub evacuation_refusals: IntCounterVec,
    /// Ranges in evacuated domains that this leader has still to move.
    pub evacuation_ranges: IntGauge,
    /// Responses that reported how long work takes at the moment.
    pub momentary_figures: IntCounter,
    /// Holders that the leader gives fewer keys because their queue is long.
    pub relieved_holders: IntGauge,
    /// Age of the loads of all hosts when they arrive from the leader, since it computed
    /// them.
    pub fleet_load_age: Histogram,
    /// Tokens for cold upstreams, by what became of them.
    pub cold_tokens: IntCounterVec,
    /// Requests that needed a token, by what became of them.
    pub cold_requests: IntCounterVec,
    /// Upstreams found cold other than by their entries, by source.
    pub cold_found: IntCounterVec,
    /// Upstreams that are cold now and limited.
    pub cold_upstreams: IntGauge,
    /// Times that this host led in a later term because it learned of a greater one.
    pub term_raises: IntCounter,
    /// Sends of this host's requests, by way: `own` for a warm connection of its own,
    /// `relayed`, or `new` for a new connection.
    pub sends: IntCounterVec,
    /// Connections opened to upstreams for requests, also for those of other hosts.
    pub connections_opened: IntCounter,
    /// Requests that a relay did not answer, by reason.
    pub relay_failures: IntCounterVec,
    /// Requests that this host was asked to relay, by verdict.
    pub relayed_for_others: IntCounterVec,
}

impl FrontMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub(crate) fn register() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let vector =
            |name: &str, help: &str, labels: &[&str]| -> prometheus::Result<IntCounterVec> {
                let vector = IntCounterVec::new(Opts::new(name, help), labels)?;
                registry.register(Box::new(vector.clone()))?;
                Ok(vector)
            };
        let latency = HistogramVec::new(
            duration_options("trestle_latency_seconds", "Time until the answer"),
            &["rank"],
        )?;
        let fleet_load_age = Histogram::with_opts(duration_options(
            "trestle_fleet_load_age_seconds",
            "Age of the leader's loads",
        ))?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(fleet_load_age.clone()))?;
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Self {
            requests: vector(
                "trestle_requests_total",
                "Requests answered",
                &["verdict", "cause"],
            )?,
            latency,
            retries: counter("trestle_retries_total", "Sends after a request's first")?,
            retries_denied: counter(
                "trestle_retries_denied_total",
                "Retries beyond the retry budget",
            )?,
            store_calls: vector(
                "trestle_store_calls_total",
                "Calls to the platform's store",
                &["call", "table"],
            )?,
            store_failures: counter("trestle_store_failures_total", "Failed store calls")?,
            is_leader: gauge("trestle_is_leader", "1 while this host grants keys")?,
            sheet_version: gauge("trestle_sheet_version", "Version of the sheet in force")?,
            evacuated_domains: gauge("trestle_evacuated_domains", "Domains under evacuation")?,
            evacuation_refusals: vector(
                "trestle_evacuation_refusals_total",
                "Requests refused for evacuated domains",
                &["rank"],
            )?,
            evacuation_ranges: gauge(
                "trestle_evacuation_ranges",
                "Ranges in evacuated domains still to be moved by this leader",
            )?,
            momentary_figures: counter(
                "trestle_momentary_figures_total",
                "Responses with a momentary figure",
            )?,
            relieved_holders: gauge("trestle_relieved_holders", "Holders with a long queue")?,
            fleet_load_age,
            cold_tokens: vector(
                "trestle_cold_tokens_total",
                "Tokens for cold upstreams",
                &["event"],
            )?,
            cold_requests: vector(
                "trestle_cold_requests_total",
                "Requests that needed a token",
                &["event"],
            )?,
            cold_found: vector(
                "trestle_cold_found_total",
                "Upstreams found cold",
                &["source"],
            )?,
            cold_upstreams: gauge("trestle_cold_upstreams", "Cold upstreams with a limit")?,
            term_raises: counter(
                "trestle_term_raises_total",
                "Terms taken because a greater one was known",
            )?,
            sends: vector("trestle_sends_total", "Sends to upstreams", &["way"])?,
            connections_opened: counter(
                "trestle_connections_opened_total",
                "Connections opened to upstreams",
            )?,
            relay_failures: vector(
                "trestle_relay_failures_total",
                "Unanswered by a relay",
                &["reason"],
            )?,
            relayed_for_others: vector(
                "trestle_relayed_for_others_total",
                "Relayed requests",
                &["verdict"],
            )?,
            registry,
        })
    }

    pub(crate) fn record_request(
        &self,
        verdict: Verdict,
        cause: &str,
        rank: u32,
        duration: Duration,
    ) {
        self.requests
            .with_label_values(&[verdict.as_str(), cause])
            .inc();
        let rank = rank.to_string();
        self.latency
            .with_label_values(&[rank.as_str()])
            .observe(duration.as_secs_f64());
    }

    /// Returns the registry, for metrics of parts that are not always in use.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut bytes = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            Ok(()) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) => format!("# metrics can't be encoded: {error}\n"),
        }
    }
}

/// Returns the options of a histogram of durations in seconds.
fn duration_options(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec())
}
