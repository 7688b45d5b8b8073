//! Log and metrics of evacuations: the moves of keys, and the capacity that is left.

use super::LeaderLoop;
use crate::metrics::FrontMetrics;
use grant::OwnerCandidate;
use indexmap::IndexMap;
use kernel::{DomainName, Moment, ServiceName};
use log::{Level, info, log};
use std::sync::Arc;

/// Part of its capacity up to which an upstream can be used without waits growing long;
/// the leader stops giving it keys there.
const USABLE_FRACTION: f64 = 0.75;

/// Services whose keys are being moved out of evacuated domains.
#[derive(Debug, Default)]
pub(super) struct EvacuationLog {
    services: IndexMap<ServiceName, ServiceMoves>,
    /// The evacuated domains at the last log of the capacities.
    domains: Vec<DomainName>,
}

/// Progress of the moves of one service when it was last logged.
#[derive(Debug)]
struct ServiceMoves {
    began_at: Moment,
    remaining: usize,
    moving: usize,
}

impl EvacuationLog {
    /// Logs the begin, each batch and the end of the moves of a service; `counts` has the
    /// ranges that are not moved yet, and those that are being moved.
    pub(super) fn record(
        &mut self,
        now: Moment,
        service: &ServiceName,
        counts: Option<(usize, usize)>,
        metrics: &FrontMetrics,
    ) {
        let Some((remaining, moving)) = counts else {
            if let Some(ended) = self.services.shift_remove(service) {
                info!(
                    target: "evacuation",
                    "service={service} state=back_in_service unmoved={} took_ms={}",
                    ended.remaining, (now - ended.began_at).as_millis(),
                );
                self.update_metrics(metrics);
            }
            return;
        };
        let known = self.services.get_mut(service);
        if let Some(moves) = known {
            if (moves.remaining, moves.moving) == (remaining, moving) {
                return;
            }
            (moves.remaining, moves.moving) = (remaining, moving);
            let took = now - moves.began_at;
            let state = if remaining + moving == 0 {
                "moved"
            } else {
                "moving"
            };
            info!(
                target: "evacuation",
                "service={service} state={state} remaining={remaining} moving={moving} took_ms={}",
                took.as_millis(),
            );
        } else {
            let moves = ServiceMoves {
                began_at: now,
                remaining,
                moving,
            };
            self.services.insert(service.clone(), moves);
            info!(
                target: "evacuation",
                "service={service} state=begun remaining={remaining} moving={moving}",
            );
        }
        self.update_metrics(metrics);
    }

    /// Forgets all services, as another host leads.
    pub(super) fn clear(&mut self, metrics: &FrontMetrics) {
        self.services.clear();
        self.domains.clear();
        self.update_metrics(metrics);
    }

    fn update_metrics(&self, metrics: &FrontMetrics) {
        let ranges = self
            .services
            .values()
            .map(|moves| moves.remaining + moves.moving);
        let count = ranges.sum::<usize>() as u64;
        metrics.evacuation_ranges.set(count.cast_signed());
    }
}

impl LeaderLoop {
    /// Logs what each service can do without the evacuated domains, when these have
    /// changed.
    pub(super) fn log_capacities(&mut self, now: Moment) {
        let dispatch = Arc::clone(&self.context.dispatcher.state);
        let view = dispatch.view.load();
        let domains: Vec<DomainName> = view.orders.iter().map(|(name, _)| name.clone()).collect();
        let has_bound = dispatch.bounds.load().evacuate.is_some();
        if !has_bound || domains == self.evacuation_log.domains {
            return;
        }
        self.evacuation_log.domains = domains;
        if view.orders.is_empty() {
            return;
        }
        let services = view.sheet.iter().flat_map(|sheet| sheet.services.keys());
        for service in services {
            let candidates = self.candidates(now, service);
            if candidates.iter().any(|known| known.gives_up_by.is_some()) {
                self.log_capacity(now, service, &candidates);
            }
        }
    }

    /// Logs the capacity of a service's upstreams elsewhere against its load, by rank.
    ///
    /// The load is estimated from the requests that this host received, as the balancer
    /// spreads them evenly.
    fn log_capacity(&self, now: Moment, service: &ServiceName, candidates: &[OwnerCandidate]) {
        let elsewhere = candidates
            .iter()
            .filter(|known| known.gives_up_by.is_none());
        let upstreams = elsewhere.clone().count();
        let capacity: Option<f64> = elsewhere.map(|known| known.max_rate).sum();
        let host_count = self.context.peers.hosts().len().max(1) as f64;
        let mut rank_loads = self.context.dispatcher.state.rank_loads.lock();
        let mut loads = rank_loads.rates(now, service);
        drop(rank_loads);
        for (_, rate) in &mut loads {
            *rate *= host_count;
        }
        let Some(capacity) = capacity else {
            info!(
                target: "evacuation",
                "service={service} state=ordered upstreams_elsewhere={upstreams} \
                 capacity_per_s=unknown load_per_s={}",
                rank_rates(&loads),
            );
            return;
        };
        let usable = capacity * USABLE_FRACTION;
        let missing = evac::given_up(usable, &loads);
        let level = if missing.is_empty() {
            Level::Info
        } else {
            Level::Warn
        };
        log!(
            target: "evacuation",
            level,
            "service={service} state=ordered upstreams_elsewhere={upstreams} \
             capacity_per_s={usable:.1} load_per_s={} given_up_per_s={}",
            rank_rates(&loads), rank_rates(&missing),
        );
    }
}

/// Returns rates as `RANK:RATE,...`.
fn rank_rates(rates: &[(u32, f64)]) -> String {
    let texts = rates.iter().map(|(rank, rate)| format!("{rank}:{rate:.1}"));
    let texts: Vec<String> = texts.collect();
    if texts.is_empty() {
        return "none".to_owned();
    }
    texts.join(",")
}
