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
    /// Times that this host led in a later term because it learned of a greater one.
    pub term_raises: IntCounter,
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
            term_raises: counter(
                "trestle_term_raises_total",
                "Terms taken because a greater one was known",
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

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut bytes = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            Ok(()) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) => format!("# metrics can't be encoded: {error}\n"),
        }
    }
}
