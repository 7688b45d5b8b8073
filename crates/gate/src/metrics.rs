//! Metrics of the requests that a host handles.

use kernel::{Cause, Verdict};
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use sheet::Rank;
use std::time::Duration;

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.008, 0.013, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 10.0,
];

/// Counters, gauges and histograms of one host's requests.
#[derive(Clone, Debug)]
pub struct GateMetrics {
    requests: IntCounterVec,
    causes: IntCounterVec,
    latency: [Histogram; 3],
    /// Attempts after a request's first.
    pub retries: IntCounter,
    /// Requests refused because they crash upstreams.
    pub quarantined: IntCounter,
    /// Malformed requests from clients and peers.
    pub malformed: IntCounter,
    /// Peer requests without the deployment's secret.
    pub unauthenticated: IntCounter,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Client connections.
    pub connections: IntGauge,
    /// Client connections closed because an answer was cut short.
    pub truncated: IntCounter,
}

impl GateMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when a metric of the same name has already been registered.
    pub fn register(registry: &Registry) -> prometheus::Result<Self> {
        let requests = IntCounterVec::new(
            Opts::new("trestle_requests_total", "Requests answered, by verdict"),
            &["rank", "verdict"],
        )?;
        let causes = IntCounterVec::new(
            Opts::new("trestle_refusals_total", "Requests refused, by cause"),
            &["cause"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(causes.clone()))?;
        Ok(Self {
            requests,
            causes,
            latency: [
                latency(registry, Rank::Urgent)?,
                latency(registry, Rank::Standard)?,
                latency(registry, Rank::Bulk)?,
            ],
            retries: counter(registry, "trestle_retries_total", "Tries after the first")?,
            quarantined: counter(
                registry,
                "trestle_quarantined_total",
                "Requests refused because they crash upstreams",
            )?,
            malformed: counter(
                registry,
                "trestle_malformed_total",
                "Malformed messages from callers",
            )?,
            unauthenticated: counter(
                registry,
                "trestle_strangers_total",
                "Peer messages without the secret",
            )?,
            in_flight: gauge(registry, "trestle_in_flight", "Requests in hand")?,
            connections: gauge(registry, "trestle_connections", "Caller connections")?,
            truncated: counter(
                registry,
                "trestle_broken_total",
                "Caller connections broken because an answer was cut short",
            )?,
        })
    }

    /// Records the outcome and duration of a request.
    pub fn record(
        &self,
        rank: Option<Rank>,
        verdict: Verdict,
        cause: Option<Cause>,
        duration: Duration,
    ) {
        let rank_text = rank.map_or("none", Rank::as_str);
        self.requests
            .with_label_values(&[rank_text, verdict.as_str()])
            .inc();
        if let Some(cause) = cause {
            self.causes.with_label_values(&[cause.as_str()]).inc();
        }
        if let Some(rank) = rank {
            self.latency[rank.index()].observe(duration.as_secs_f64());
        }
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntCounter> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn latency(registry: &Registry, rank: Rank) -> prometheus::Result<Histogram> {
    let options = HistogramOpts::new("trestle_latency_seconds", "Time from request to answer")
        .const_label("rank", rank.as_str())
        .buckets(LATENCY_BUCKETS.to_vec());
    let histogram = Histogram::with_opts(options)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
