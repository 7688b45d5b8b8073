//! Admission by shares of ranks when a service is short.
//!
//! The crate `share` decides; here the demand is counted, the capacity is gathered from
//! the view, and the decisions are logged and counted.

use crate::metrics::FrontMetrics;
use crate::peers::PeerRegistry;
use crate::request::ResolvedRequest;
use crate::view::FrontView;
use crate::wire_share::{WireDemand, WireServiceShares};
use fleet::KnownUpstream;
use indexmap::IndexMap;
use kernel::{Cause, Moment, Refusal, ServiceName, UpstreamId};
use log::info;
use parking_lot::Mutex;
use prometheus::{GaugeVec, IntCounterVec, Opts};
use share::{
    DemandCounter, DemandReport, GateDecision, GateRequest, ServiceCapacity, ServiceShares,
    ShareGate, ShareLedger, WorkOutcome,
};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which a leader works the shares out anew, unless its upstreams change.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Range to which an upstream's slowness is clamped; one in trouble would count for
/// nothing, or for many.
const SLOWNESS_RANGE: (f64, f64) = (0.3, 5.0);
/// Part of its slots that a cold upstream counts for.
const COLD_FRACTION: f64 = 0.5;
/// Change of a share from which the leader logs it.
const LOGGED_CHANGE: f64 = 0.1;

/// Metrics of the shares of ranks.
#[derive(Clone, Debug)]
struct ShareMetrics {
    /// Requests by service, rank and what became of them.
    requests: IntCounterVec,
    /// Share of each rank at this host.
    shares: GaugeVec,
}

impl ShareMetrics {
    fn register(metrics: &FrontMetrics) -> prometheus::Result<Self> {
        let requests = IntCounterVec::new(
            Opts::new(
                "trestle_rank_requests_total",
                "Requests by service, rank and decision",
            ),
            &["service", "rank", "decision"],
        )?;
        let shares = GaugeVec::new(
            Opts::new("trestle_rank_share", "Share of a rank that is admitted"),
            &["service", "rank"],
        )?;
        metrics.registry().register(Box::new(requests.clone()))?;
        metrics.registry().register(Box::new(shares.clone()))?;
        Ok(Self { requests, shares })
    }

    fn count(&self, service: &ServiceName, rank: u32, decision: &str) {
        let rank = rank.to_string();
        self.requests
            .with_label_values(&[service.as_str(), rank.as_str(), decision])
            .inc();
    }
}

/// What the leader last worked out.
#[derive(Debug, Default)]
struct LeaderShares {
    ledger: ShareLedger,
    shares: Vec<ServiceShares>,
    updated_at: Moment,
    /// The upstreams that the shares are for.
    upstreams: Arc<IndexMap<UpstreamId, KnownUpstream>>,
}

/// Admission by shares of ranks at one host.
#[derive(Debug)]
pub(crate) struct RankShares {
    gate: Mutex<ShareGate>,
    demand: Mutex<DemandCounter>,
    leader: Mutex<LeaderShares>,
    metrics: ShareMetrics,
}

impl RankShares {
    /// Creates admission that admits all until the leader has told shares.
    ///
    /// # Errors
    ///
    /// Fails when a metric can't be registered.
    pub(crate) fn new(now: Moment, seed: u64, metrics: &FrontMetrics) -> prometheus::Result<Self> {
        Ok(Self {
            gate: Mutex::new(ShareGate::new(seed)),
            demand: Mutex::new(DemandCounter::new(now)),
            leader: Mutex::default(),
            metrics: ShareMetrics::register(metrics)?,
        })
    }

    /// Counts a request as offered, and returns the refusal if its rank's share is used up.
    pub(crate) fn refuse(
        &self,
        now: Moment,
        request: &ResolvedRequest,
        slot_ms: Option<f64>,
    ) -> Option<Refusal> {
        let rule = request.route.rule();
        let mut demand = self.demand.lock();
        demand.record_offered(&request.service, rule.rank, slot_ms);
        drop(demand);
        let mut gate = self.gate.lock();
        // The hash of a long body takes time, and only a limited service needs it.
        let is_limited = gate.is_limited(now, &request.service);
        let decision = gate.decide(
            now,
            &GateRequest {
                service: &request.service,
                route: &rule.name,
                rank: rule.rank,
                fingerprint: if is_limited { request.fingerprint() } else { 0 },
                target: rule.target_latency,
                time_left: request.client_time_left,
                slot_ms,
            },
        );
        drop(gate);
        match decision {
            GateDecision::Admit { is_return } => {
                let label = if is_return { "returned" } else { "admitted" };
                self.metrics.count(&request.service, rule.rank, label);
                None
            }
            GateDecision::Refuse {
                retry_after,
                is_promised,
                fraction,
            } => {
                info!(
                    target: "share",
                    "request={} service={} rank={} decision=refused share={fraction:.3} \
                     promised={is_promised} retry_after_ms={}",
                    request.id, request.service, rule.rank, retry_after.as_millis(),
                );
                let label = if is_promised { "promised" } else { "refused" };
                self.metrics.count(&request.service, rule.rank, label);
                Some(Refusal::new(Cause::ShareExceeded).with_retry_after(retry_after))
            }
        }
    }

    /// Counts how a request ended.
    pub(crate) fn record_outcome(
        &self,
        request: &ResolvedRequest,
        slot_ms: Option<f64>,
        is_rejected: bool,
    ) {
        let outcome = if is_rejected {
            WorkOutcome::Rejected
        } else {
            WorkOutcome::Admitted
        };
        let rank = request.route.rule().rank;
        let mut demand = self.demand.lock();
        demand.record_outcome(&request.service, rank, slot_ms, outcome);
    }

    /// Returns the fraction of a request's rank for an upstream that has room for `share`
    /// of all its requests.
    pub(crate) fn upstream_share(&self, now: Moment, request: &ResolvedRequest, share: f64) -> f64 {
        let rank = request.route.rule().rank;
        let gate = self.gate.lock();
        gate.upstream_share(now, &request.service, rank, share)
    }

    /// Returns the work that was offered since the last call.
    pub(crate) fn drain_demand(&self, now: Moment) -> WireDemand {
        WireDemand::from(self.demand.lock().drain(now))
    }

    /// Records the demand of a host, at the leader.
    pub(crate) fn record_demand(&self, now: Moment, host: &str, demand: &WireDemand) {
        let report = DemandReport::from(demand);
        self.leader.lock().ledger.record(now, host, &report);
    }

    /// Applies the shares that the leader told.
    pub(crate) fn set_shares(&self, now: Moment, told: Vec<WireServiceShares>) {
        if told.is_empty() {
            return;
        }
        let told: Vec<ServiceShares> = told.into_iter().map(ServiceShares::from).collect();
        for ServiceShares { service, shares } in &told {
            for share in shares {
                let rank = share.rank.to_string();
                let labels = [service.as_str(), rank.as_str()];
                let gauge = self.metrics.shares.with_label_values(&labels);
                gauge.set(share.fraction);
            }
        }
        self.gate.lock().set_shares(now, told);
    }

    /// Returns the shares to tell all hosts, at the leader. A change of the upstreams takes
    /// effect at once.
    pub(crate) fn shares(
        &self,
        now: Moment,
        view: &FrontView,
        peers: &PeerRegistry,
    ) -> Vec<WireServiceShares> {
        let mut leader = self.leader.lock();
        let is_changed = !Arc::ptr_eq(&leader.upstreams, &view.upstreams);
        if is_changed || now - leader.updated_at >= UPDATE_INTERVAL {
            let capacities = service_capacities(now, view, peers);
            let updated = leader.ledger.update(now, &capacities);
            log_changes(&leader.shares, &updated, &capacities);
            leader.shares = updated;
            leader.updated_at = now;
            leader.upstreams = Arc::clone(&view.upstreams);
        }
        leader.shares.iter().map(WireServiceShares::from).collect()
    }
}

/// Returns what the usable upstreams of each service can do.
fn service_capacities(
    now: Moment,
    view: &FrontView,
    peers: &PeerRegistry,
) -> IndexMap<ServiceName, ServiceCapacity> {
    let (min, max) = SLOWNESS_RANGE;
    peers.read_fleet_loads(|loads| {
        let mut capacities = IndexMap::with_capacity(view.by_service.len());
        for (service, ids) in view.by_service.iter() {
            let mut slots = 0.0;
            let (mut occupied, mut observed_slots) = (0.0, 0.0);
            for id in ids {
                let Some(known) = view.upstreams.get(id) else {
                    continue;
                };
                if !known.accepts_requests(now) {
                    continue;
                }
                let own_slots = f64::from(known.entry.slots.max(1));
                let slowness = loads.slowness(id.as_str()).unwrap_or(1.0);
                let cold_fraction = if now < known.cold_until {
                    COLD_FRACTION
                } else {
                    1.0
                };
                slots += own_slots * cold_fraction / slowness.clamp(min, max);
                if let Some(ratio) = loads.occupancy_ratio(id.as_str()) {
                    occupied += ratio * own_slots;
                    observed_slots += own_slots;
                }
            }
            let capacity = ServiceCapacity {
                slots,
                occupancy: (observed_slots > 0.0).then(|| occupied / observed_slots),
            };
            capacities.insert(service.clone(), capacity);
        }
        capacities
    })
}

/// Logs the services of which a share has changed by much.
fn log_changes(
    before: &[ServiceShares],
    after: &[ServiceShares],
    capacities: &IndexMap<ServiceName, ServiceCapacity>,
) {
    for ServiceShares { service, shares } in after {
        let previous = before.iter().find(|known| known.service == *service);
        let previous = previous.map_or(&[][..], |known| &known.shares);
        let is_changed = shares.iter().any(|share| {
            let previous = previous.iter().find(|known| known.rank == share.rank);
            let fraction = previous.map_or(1.0, |known| known.fraction);
            (fraction - share.fraction).abs() >= LOGGED_CHANGE
                || (fraction < 1.0) != (share.fraction < 1.0)
        });
        if !is_changed {
            continue;
        }
        let capacity = capacities.get(service).copied().unwrap_or_default();
        let texts = shares
            .iter()
            .map(|share| format!("{}:{:.2}", share.rank, share.fraction));
        info!(
            target: "share",
            "service={service} shares={} slots={:.1} occupancy={:.2}",
            texts.collect::<Vec<_>>().join(","), capacity.slots,
            capacity.occupancy.unwrap_or(-1.0),
        );
    }
}
