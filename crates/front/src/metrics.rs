//! Metrics of one host.

use kernel::Verdict;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
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
    /// Calls to the store, by call and table.
    pub store_calls: IntCounterVec,
    /// Failed calls to the store.
    pub store_failures: IntCounter,
    /// 1 while this host leads, else 0.
    pub is_leader: IntGauge,
    /// Version of the sheet in force.
    pub sheet_version: IntGauge,
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
        let requests = IntCounterVec::new(
            Opts::new("trestle_requests_total", "Requests answered"),
            &["verdict", "cause"],
        )?;
        let latency = HistogramVec::new(
            HistogramOpts::new("trestle_latency_seconds", "Time until the answer")
                .buckets(LATENCY_BUCKETS.to_vec()),
            &["rank"],
        )?;
        let store_calls = IntCounterVec::new(
            Opts::new("trestle_store_calls_total", "Calls to the platform's store"),
            &["call", "table"],
        )?;
        let sends = IntCounterVec::new(
            Opts::new("trestle_sends_total", "Sends to upstreams"),
            &["way"],
        )?;
        let relay_failures = IntCounterVec::new(
            Opts::new("trestle_relay_failures_total", "Unanswered by a relay"),
            &["reason"],
        )?;
        let relayed_for_others = IntCounterVec::new(
            Opts::new("trestle_relayed_for_others_total", "Relayed requests"),
            &["verdict"],
        )?;
        for vector in [&sends, &relay_failures, &relayed_for_others] {
            registry.register(Box::new(vector.clone()))?;
        }
        registry.register(Box::new(store_calls.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(latency.clone()))?;
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
            requests,
            latency,
            retries: counter("trestle_retries_total", "Sends after a request's first")?,
            store_calls,
            store_failures: counter("trestle_store_failures_total", "Failed store calls")?,
            is_leader: gauge("trestle_is_leader", "1 while this host grants keys")?,
            sheet_version: gauge("trestle_sheet_version", "Version of the sheet in force")?,
            sends,
            connections_opened: counter(
                "trestle_connections_opened_total",
                "Connections opened to upstreams",
            )?,
            relay_failures,
            relayed_for_others,
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

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut bytes = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            Ok(()) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) => format!("# metrics can't be encoded: {error}\n"),
        }
    }
}
