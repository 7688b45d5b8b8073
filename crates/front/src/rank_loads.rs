//! Rates of the requests of each service and rank that arrive at this host.

use indexmap::IndexMap;
use kernel::{Moment, ServiceName};
use std::time::Duration;

/// Time over which requests are counted; long enough to even out random variation.
const WINDOW: Duration = Duration::from_secs(4);

type RankCounts = IndexMap<(ServiceName, u32), u32>;

/// Counts of the current and of the last complete window.
#[derive(Debug, Default)]
pub(crate) struct RankLoads {
    began_at: Moment,
    current: RankCounts,
    last: RankCounts,
}

impl RankLoads {
    /// Records a request.
    pub(crate) fn record(&mut self, now: Moment, service: &ServiceName, rank: u32) {
        self.advance(now);
        *self.current.entry((service.clone(), rank)).or_default() += 1;
    }

    /// Returns the requests a second of each rank of a service.
    pub(crate) fn rates(&mut self, now: Moment, service: &ServiceName) -> Vec<(u32, f64)> {
        self.advance(now);
        let of_service = self.last.iter().filter(|((name, _), _)| name == service);
        let rates =
            of_service.map(|((_, rank), count)| (*rank, f64::from(*count) / WINDOW.as_secs_f64()));
        rates.collect()
    }

    fn advance(&mut self, now: Moment) {
        let elapsed = now - self.began_at;
        if elapsed < WINDOW {
            return;
        }
        let ended = std::mem::take(&mut self.current);
        self.last = if elapsed < WINDOW * 2 {
            ended
        } else {
            RankCounts::new()
        };
        self.began_at = now;
    }
}
