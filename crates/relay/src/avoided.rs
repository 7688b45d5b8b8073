//! Relays that failed and are not used for a while.

use indexmap::IndexMap;
use kernel::Moment;
use std::time::Duration;

/// Time for which a relay is avoided after its first failure: long enough for the next
/// list of hosts to arrive.
const FIRST_PERIOD: Duration = Duration::from_secs(1);
/// Maximum time for which a relay is avoided.
const MAX_PERIOD: Duration = Duration::from_secs(32);

/// Relays that failed, each avoided for a period that doubles with every failure in a
/// row.
#[derive(Clone, Debug, Default)]
pub struct AvoidedRelays {
    relays: IndexMap<String, AvoidedRelay>,
}

#[derive(Clone, Copy, Debug)]
struct AvoidedRelay {
    period: Duration,
    avoided_until: Moment,
}

impl AvoidedRelays {
    /// Records that a relay failed. Requests that fail together count once.
    pub fn record_failure(&mut self, now: Moment, relay: &str) {
        let period = match self.relays.get(relay) {
            Some(avoided) if now < avoided.avoided_until => return,
            Some(avoided) => (avoided.period * 2).min(MAX_PERIOD),
            None => FIRST_PERIOD,
        };
        let avoided_until = now + period;
        let avoided = AvoidedRelay {
            period,
            avoided_until,
        };
        self.relays.insert(relay.to_owned(), avoided);
    }

    /// Records that a relay worked, unless it has failed since and is avoided: the answer
    /// may have left before the failure.
    pub fn record_success(&mut self, now: Moment, relay: &str) {
        if !self.is_avoided(now, relay) {
            self.relays.swap_remove(relay);
        }
    }

    /// Returns whether a relay is avoided.
    pub fn is_avoided(&self, now: Moment, relay: &str) -> bool {
        let avoided = self.relays.get(relay);
        avoided.is_some_and(|avoided| now < avoided.avoided_until)
    }

    /// Forgets the relays for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.relays.retain(|relay, _| is_known(relay));
    }
}
