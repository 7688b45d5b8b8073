//! Admission at one host by the shares that the leader told.

use crate::fractions::{RankShare, share_at_upstream};
use crate::ledger::ServiceShares;
use crate::returns::ReturnPlan;
use indexmap::IndexMap;
use kernel::{Moment, ServiceName};
use std::time::Duration;

/// Age up to which shares are in force in full: a reply is due every 0.7 s, and one may be
/// lost.
const FULL_AGE: Duration = Duration::from_millis(1_500);
/// Age from which shares are no longer in force. Between the two they approach 1, as a
/// leader that is silent can't take them back, and a step would fill all queues at once.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Maximum part of the admitted requests of a rank that is promised to returning clients;
/// with all of it, every newcomer would be refused once.
const MAX_RETURN_SHARE: f64 = 0.5;
/// Number of requests by which returning clients may exceed the share for a moment.
const MAX_RETURN_DEBT: f64 = 2.0;
/// Fraction of the time left after which a client without a promise should return.
const NO_PROMISE_WAIT: (f64, f64) = (0.2, 0.33);

/// A request for admission.
#[derive(Clone, Copy, Debug)]
pub struct GateRequest<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// Its route.
    pub route: &'a str,
    /// Its rank; 0 is the most urgent.
    pub rank: u32,
    /// Hash of its content, which is the same at each attempt.
    pub fingerprint: u64,
    /// Latency up to which an answer has its full value.
    pub target: Duration,
    /// Time left until its client gives up.
    pub time_left: Duration,
    /// Expected time in a slot, if it is known.
    pub slot_ms: Option<f64>,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateDecision {
    /// It is admitted.
    Admit {
        /// Whether its client returned as it was told.
        is_return: bool,
    },
    /// It is refused.
    Refuse {
        /// Time after which the client should return.
        retry_after: Duration,
        /// Whether the client will then be admitted before newcomers.
        is_promised: bool,
        /// Fraction of its rank that is admitted.
        fraction: f64,
    },
}

/// Shares of one service and when they arrived.
#[derive(Clone, Debug)]
struct KnownShares {
    shares: Vec<RankShare>,
    received_at: Moment,
}

/// Admits requests by the shares that the leader told.
#[derive(Clone, Debug)]
pub struct ShareGate {
    services: IndexMap<ServiceName, KnownShares>,
    /// Requests that may still be admitted, by service and rank. Each arrival adds the
    /// fraction of its rank, so that the admitted ones are spaced evenly.
    credits: IndexMap<(ServiceName, u32), f64>,
    plan: ReturnPlan,
    rng: fastrand::Rng,
}

impl ShareGate {
    /// Creates a gate that admits all; `seed` makes the hosts admit different requests.
    pub fn new(seed: u64) -> Self {
        Self {
            services: IndexMap::new(),
            credits: IndexMap::new(),
            plan: ReturnPlan::default(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sets the shares of the services that the leader told now.
    pub fn set_shares(&mut self, now: Moment, told: Vec<ServiceShares>) {
        for ServiceShares { service, shares } in told {
            let known = KnownShares {
                shares,
                received_at: now,
            };
            self.services.insert(service, known);
        }
        self.services
            .retain(|_, known| now - known.received_at < MAX_AGE);
    }

    /// Returns whether any rank of a service is limited now.
    pub fn is_limited(&self, now: Moment, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|known| {
            now - known.received_at < MAX_AGE
                && known.shares.iter().any(|share| share.fraction < 1.0)
        })
    }

    /// Returns the fraction of a rank to admit now; 1 without recent shares.
    pub fn fraction(&self, now: Moment, service: &ServiceName, rank: u32) -> f64 {
        let Some(known) = self.services.get(service) else {
            return 1.0;
        };
        let mut shares = known.shares.iter();
        // A rank that the leader has not seen yet is served like the next more urgent one.
        let told = shares.rfind(|share| share.rank <= rank);
        let told = told.map_or(1.0, |share| share.fraction);
        told + (1.0 - told) * relaxation(now - known.received_at)
    }

    /// Returns the fraction of a rank's requests for an upstream that has room for `share`
    /// of all its requests.
    pub fn upstream_share(&self, now: Moment, service: &ServiceName, rank: u32, share: f64) -> f64 {
        match self.services.get(service) {
            Some(known) if now - known.received_at < MAX_AGE => {
                share_at_upstream(&known.shares, rank, share)
            }
            _ => share,
        }
    }

    /// Decides on a request.
    pub fn decide(&mut self, now: Moment, request: &GateRequest<'_>) -> GateDecision {
        let elapsed = self.plan.elapsed(now, request.route, request.time_left);
        let mut fraction = self.fraction(now, request.service, request.rank);
        if request.is_late(elapsed) {
            // It has little value left, and yields to work that can be answered in time.
            fraction = fraction.min(self.least_fraction(now, request.service));
        }
        if fraction >= 1.0 {
            return GateDecision::Admit { is_return: false };
        }
        let is_promised = ReturnPlan::promise_draw(request.fingerprint) < promise_rate(fraction);
        let is_return =
            is_promised && ReturnPlan::is_as_told(request.fingerprint, request.target, elapsed);
        let credit = self.credit_mut(request.service, request.rank);
        *credit = (*credit + fraction).min(2.0);
        let least = if is_return { -MAX_RETURN_DEBT } else { 0.0 };
        if *credit - 1.0 >= least {
            *credit -= 1.0;
            return GateDecision::Admit { is_return };
        }
        let next = ReturnPlan::next_return(
            request.fingerprint,
            request.target,
            elapsed,
            request.time_left,
        );
        let (from, to) = NO_PROMISE_WAIT;
        let unpromised = from + (to - from) * self.rng.f64();
        // A client that would come too late for its target yields to others, so that a
        // promise to it could not be kept.
        let promise = next.filter(|next| is_promised && !request.is_late(elapsed + next.wait));
        GateDecision::Refuse {
            retry_after: promise.map_or(request.time_left.mul_f64(unpromised), |next| next.wait),
            is_promised: promise.is_some(),
            fraction,
        }
    }

    fn least_fraction(&self, now: Moment, service: &ServiceName) -> f64 {
        let last = self
            .services
            .get(service)
            .and_then(|known| known.shares.last());
        last.map_or(1.0, |share| self.fraction(now, service, share.rank))
    }

    fn credit_mut(&mut self, service: &ServiceName, rank: u32) -> &mut f64 {
        let key = (service.clone(), rank);
        let phase = self.rng.f64();
        self.credits.entry(key).or_insert(phase)
    }
}

impl GateRequest<'_> {
    /// Returns whether it can't be answered within its target even without a wait.
    fn is_late(&self, elapsed: Duration) -> bool {
        let Some(slot_ms) = self.slot_ms else {
            return false;
        };
        let target_ms = self.target.as_secs_f64() * 1_000.0;
        elapsed.as_secs_f64() * 1_000.0 + slot_ms > target_ms
    }
}

/// Returns which part of the refused clients of a rank gets a promise, so that those who
/// return take at most [`MAX_RETURN_SHARE`] of what is admitted.
fn promise_rate(fraction: f64) -> f64 {
    (MAX_RETURN_SHARE * fraction / (1.0 - fraction).max(f64::MIN_POSITIVE)).min(1.0)
}

/// Returns how far shares of this age are relaxed, from 0 to 1.
fn relaxation(age: Duration) -> f64 {
    let excess = age.saturating_sub(FULL_AGE);
    (excess.as_secs_f64() / MAX_AGE.saturating_sub(FULL_AGE).as_secs_f64()).min(1.0)
}
