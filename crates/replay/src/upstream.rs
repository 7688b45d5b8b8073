//! An upstream's lease in a world.

use fake::{HeldLease, LeaseRefusal};
use kernel::{Moment, ServiceName, ShardId, UpstreamId};
use owner::{LeaseReply, LeaseRequest, LeaseResult, PlatformUpstream};

/// An upstream of a world.
#[derive(Clone, Debug)]
pub(crate) struct WorldUpstream {
    pub listed: PlatformUpstream,
    pub is_alive: bool,
    pub is_frozen: bool,
    boot: u64,
    booted_at: Moment,
    drift_ppm: i32,
    lease: HeldLease,
}

impl WorldUpstream {
    pub fn new(number: u32, domain: &str, drift_ppm: i32, service: &ServiceName) -> Self {
        let id = UpstreamId::from(format!("u{number}"));
        Self {
            listed: PlatformUpstream {
                address: id.as_str().to_owned(),
                id,
                service: service.clone(),
                domain: domain.into(),
                slots: 4,
                connections: 100,
                is_leaving: false,
            },
            is_alive: true,
            is_frozen: false,
            boot: 1,
            booted_at: Moment::ZERO,
            drift_ppm,
            lease: HeldLease::default(),
        }
    }

    /// Starts the process anew; it holds nothing.
    pub fn restart(&mut self, now: Moment) {
        self.is_alive = true;
        self.is_frozen = false;
        self.boot += 1;
        self.booted_at = now;
        self.lease = HeldLease::default();
    }

    /// Reads its own clock, which may run fast or slow.
    pub fn clock_us(&self, now: Moment) -> u64 {
        let elapsed = (now - self.booted_at).as_micros().cast_signed();
        let drifted = elapsed + elapsed * i128::from(self.drift_ppm) / 1_000_000;
        drifted as u64 + 1_000
    }

    pub fn answer(&mut self, now: Moment, request: &LeaseRequest) -> LeaseResult {
        match self.lease.accept(self.boot, request) {
            Ok(()) => LeaseResult::Accepted(LeaseReply {
                boot: self.boot,
                clock_us: self.clock_us(now),
                lease_until_us: self.lease.until_us(),
                held_tag: self.lease.tag(),
                busy: Vec::new(),
                running: 0,
            }),
            Err(LeaseRefusal::Superseded(epoch)) => LeaseResult::Superseded(epoch),
            Err(_) => LeaseResult::Failed,
        }
    }

    /// Returns whether it believes to own a shard, or would once thawed.
    pub fn owns(&self, now: Moment, shard: ShardId) -> bool {
        let is_valid = self
            .lease
            .until_us()
            .is_some_and(|until| self.clock_us(now) < until);
        self.is_alive && is_valid && self.lease.holds(shard)
    }
}
