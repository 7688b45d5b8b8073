//! Holders of keys that the leader relieves because their queue is long.

use crate::metrics::FrontMetrics;
use indexmap::IndexSet;
use kernel::UpstreamId;
use log::info;
use place::HolderPace;

/// Relief below which a holder counts as relieved.
const RELIEVED_BELOW: f64 = 0.9;

/// The holders that are relieved at present, for the log and the metrics.
#[derive(Debug, Default)]
pub(crate) struct HolderPaces {
    relieved: IndexSet<UpstreamId>,
}

impl HolderPaces {
    /// Records what a holder can do, and logs when its relief begins and ends.
    pub(crate) fn record(&mut self, id: &UpstreamId, pace: HolderPace, metrics: &FrontMetrics) {
        let is_relieved = pace.relief < RELIEVED_BELOW;
        let is_changed = if is_relieved {
            self.relieved.insert(id.clone())
        } else {
            self.relieved.swap_remove(id)
        };
        if !is_changed {
            return;
        }
        self.publish(metrics);
        info!(
            target: "lead",
            "upstream={id} relieved={is_relieved} relief={:.2} slowness={:.2}",
            pace.relief, pace.slowness,
        );
    }

    /// Forgets the holders for which `is_known` returns false.
    pub(crate) fn retain(
        &mut self,
        metrics: &FrontMetrics,
        is_known: impl Fn(&UpstreamId) -> bool,
    ) {
        self.relieved.retain(is_known);
        self.publish(metrics);
    }

    fn publish(&self, metrics: &FrontMetrics) {
        let count = i64::try_from(self.relieved.len()).unwrap_or(i64::MAX);
        metrics.relieved_holders.set(count);
    }
}
