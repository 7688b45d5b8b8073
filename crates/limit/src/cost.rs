//! Observed time in a slot by kind of work.

use indexmap::IndexMap;
use std::time::Duration;

/// Weight of a new observation.
const NEW_WEIGHT: f64 = 0.1;

/// Smoothed slot time by kind.
#[derive(Clone, Debug, Default)]
pub struct CostEstimator {
    costs_ms: IndexMap<String, f64>,
}

impl CostEstimator {
    /// Returns the expected slot time of a kind, given what the sheet expects.
    pub fn expected(&self, kind: &str, planned: Duration) -> Duration {
        match self.costs_ms.get(kind) {
            Some(millis) => Duration::from_secs_f64(millis / 1_000.0),
            None => planned,
        }
    }

    /// Takes an observation in.
    pub fn observe(&mut self, kind: &str, planned: Duration, used: Duration) {
        let used_ms = used.as_secs_f64() * 1_000.0;
        let planned_ms = planned.as_secs_f64() * 1_000.0;
        if let Some(known) = self.costs_ms.get_mut(kind) {
            *known += (used_ms - *known) * NEW_WEIGHT;
            return;
        }
        let first = planned_ms + (used_ms - planned_ms) * NEW_WEIGHT;
        self.costs_ms.insert(kind.to_owned(), first);
    }
}
