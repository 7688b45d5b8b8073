//! Simulated upstream with its lease.

use fake::{HeldLease, LeaseRefusal};
use kernel::{Moment, ServiceName, ShardId, UpstreamId};
use owner::{LeaseReply, LeaseRequest, LeaseResult, PlatformUpstream};

/// A simulated upstream.
#[derive(Clone, Debug)]
pub(crate) struct WorldUpstream {
    pub list_entry: PlatformUpstream,
    pub is_alive: bool,
    pub is_frozen: bool,
    boot: u64,
    started_at: Moment,
    drift_ppm: i32,
    lease: HeldLease,
}

impl WorldUpstream {
    pub fn new(index: u32, domain: &str, drift_ppm: i32, service: &ServiceName) -> Self {
        let id = UpstreamId::from(format!("u{index}"));
        Self {
            list_entry: PlatformUpstream {
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
            started_at: Moment::ZERO,
            drift_ppm,
            lease: HeldLease::default(),
        }
    }

    /// Starts a new run of the process, without a lease.
    pub fn restart(&mut self, now: Moment) {
        self.is_alive = true;
        self.is_frozen = false;
        self.boot += 1;
        self.started_at = now;
        self.lease = HeldLease::default();
    }

    /// Returns the reading of the upstream's clock, which may drift, in microseconds.
    pub fn clock_us(&self, now: Moment) -> u64 {
        let elapsed = (now - self.started_at).as_micros().cast_signed();
        let drifted = elapsed + elapsed * i128::from(self.drift_ppm) / 1_000_000;
        drifted as u64 + 1_000
    }

    pub fn handle_request(&mut self, now: Moment, request: &LeaseRequest) -> LeaseResult {
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

    /// Returns whether the upstream holds a valid grant for a shard.
    ///
    /// A frozen upstream counts too, as it would use the grant once resumed.
    pub fn owns(&self, now: Moment, shard: ShardId) -> bool {
        let is_valid = self
            .lease
            .until_us()
            .is_some_and(|until| self.clock_us(now) < until);
        self.is_alive && is_valid && self.lease.holds(shard)
    }
}
