//! Log and metrics of the moves out of evacuated failure domains.

use crate::metrics::FrontMetrics;
use evac::MoveProgress;
use grant::{KeyLoads, OwnerCandidate};
use indexmap::IndexMap;
use kernel::{Moment, ServiceName};
use log::{info, warn};

/// Part of its capacity up to which an upstream can be used without waits growing long;
/// the leader stops giving it keys there.
const USABLE_FRACTION: f64 = 0.75;

/// Services whose keys are being moved out of evacuated domains.
#[derive(Debug, Default)]
pub(super) struct EvacuationLog {
    services: IndexMap<ServiceName, ServiceMoves>,
}

/// Progress of the moves of one service when it was last logged.
#[derive(Debug)]
struct ServiceMoves {
    began_at: Moment,
    remaining: usize,
    moving: usize,
}

impl EvacuationLog {
    /// Logs the begin, each batch and the end of the moves of a service.
    pub(super) fn record(
        &mut self,
        now: Moment,
        service: &ServiceName,
        progress: Option<MoveProgress>,
        (candidates, loads): (&[OwnerCandidate], &KeyLoads),
        metrics: &FrontMetrics,
    ) {
        let Some(progress) = progress else {
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
        let MoveProgress {
            remaining, moving, ..
        } = progress;
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
            log_capacity(service, remaining, candidates, loads);
        }
        self.update_metrics(metrics);
    }

    /// Forgets all services, as another host leads.
    pub(super) fn clear(&mut self, metrics: &FrontMetrics) {
        self.services.clear();
        self.update_metrics(metrics);
    }

    fn update_metrics(&self, metrics: &FrontMetrics) {
        let ranges = self
            .services
            .values()
            .map(|moves| moves.remaining + moves.moving);
        metrics.evacuation_ranges.set(ranges.sum::<usize>() as i64);
    }
}

/// Logs the capacity of the upstreams elsewhere against the load on all keys.
fn log_capacity(
    service: &ServiceName,
    ranges: usize,
    candidates: &[OwnerCandidate],
    loads: &KeyLoads,
) {
    let receivers = candidates.iter().filter(|known| known.accepts_keys);
    let receiver_count = receivers.clone().count();
    let capacity: Option<f64> = receivers.map(|known| known.max_rate).sum();
    let usable = capacity.map(|rate| rate * USABLE_FRACTION);
    let load = loads.rate();
    let text = |rate: Option<f64>| rate.map_or("unknown".to_owned(), |rate| format!("{rate:.1}"));
    info!(
        target: "evacuation",
        "service={service} state=begun ranges={ranges} receivers={receiver_count} \
         usable_per_s={} load_per_s={}",
        text(usable), text(load),
    );
    let missing = match (usable, load) {
        _ if receiver_count == 0 => load,
        (Some(usable), Some(load)) if load > usable => Some(load - usable),
        _ => return,
    };
    warn!(
        target: "evacuation",
        "service={service} state=short receivers={receiver_count} missing_per_s={}",
        text(missing),
    );
}
