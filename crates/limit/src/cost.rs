//! Estimated time in a slot by kind of request.

use indexmap::IndexMap;
use std::time::Duration;

/// Weight of a new observation.
const OBSERVATION_WEIGHT: f64 = 0.1;

/// Smoothed slot time by kind of request.
#[derive(Clone, Debug, Default)]
pub struct CostEstimator {
    costs_ms: IndexMap<String, f64>,
}

impl CostEstimator {
    /// Returns the expected slot time of a kind; `planned`, from the sheet, applies
    /// until the first observation.
    pub fn expected(&self, kind: &str, planned: Duration) -> Duration {
        match self.costs_ms.get(kind) {
            Some(millis) => Duration::from_secs_f64(millis / 1_000.0),
            None => planned,
        }
    }

    /// Adjusts the estimate by an observed slot time; the estimate starts at `planned`.
    pub fn observe(&mut self, kind: &str, planned: Duration, used: Duration) {
        let used_ms = used.as_secs_f64() * 1_000.0;
        let planned_ms = planned.as_secs_f64() * 1_000.0;
        if let Some(cost_ms) = self.costs_ms.get_mut(kind) {
            *cost_ms += (used_ms - *cost_ms) * OBSERVATION_WEIGHT;
            return;
        }
        let first = planned_ms + (used_ms - planned_ms) * OBSERVATION_WEIGHT;
        self.costs_ms.insert(kind.to_owned(), first);
    }
}
