//! Hosts, a leader and one service, played in steps of a millisecond.

use indexmap::IndexMap;
use kernel::{Moment, ServiceName};
use share::{
    DemandCounter, GateDecision, GateRequest, ServiceCapacity, ServiceShares, ShareGate,
    ShareLedger, WorkOutcome,
};
use std::time::Duration;

pub const REPORT_MS: u64 = 700;
const DELIVERY_LOSS: f64 = 0.02;
const TARGET_MS: u64 = 800;
const CLIENT_TIME_MS: u64 = 5_000;

/// Work of one rank: slot time, and its demand as a fraction of the first capacity.
#[derive(Clone, Copy)]
pub struct Kind {
    pub rank: u32,
    pub slot_ms: f64,
    pub demand: f64,
}

/// How refused clients behave.
#[derive(Clone, Copy, PartialEq)]
pub enum Retry {
    Never,
    /// They wait for this fraction of what they were told.
    Once(f64),
}

#[derive(Clone, Copy)]
struct Arrival {
    kind: usize,
    fingerprint: u64,
    began_ms: u64,
    is_retry: bool,
    was_promised: bool,
}

/// Offered and admitted requests.
#[derive(Clone, Copy, Default, Debug)]
pub struct Count {
    pub offered: u32,
    pub admitted: u32,
}

impl Count {
    pub fn fraction(self) -> f64 {
        f64::from(self.admitted) / f64::from(self.offered.max(1))
    }

    fn add(&mut self, is_admitted: bool) {
        self.offered += 1;
        self.admitted += u32::from(is_admitted);
    }
}

pub struct World {
    pub now_ms: u64,
    pub service: ServiceName,
    pub gates: Vec<ShareGate>,
    counters: Vec<DemandCounter>,
    phases: Vec<u64>,
    pub ledger: ShareLedger,
    pub is_leader_silent: bool,
    told: Vec<ServiceShares>,
    told_at_ms: u64,
    kinds: Vec<Kind>,
    /// Capacity to which the demands refer.
    nominal_slots: u32,
    pub slots: u32,
    /// What the leader takes the slots for.
    pub believed_factor: f64,
    running: Vec<f64>,
    queue: std::collections::VecDeque<f64>,
    retry: Retry,
    returning: Vec<(u64, Arrival)>,
    pub newcomers: Vec<Count>,
    pub promised_returns: Count,
    pub longest_queue: usize,
    pub admitted_slot_ms: f64,
    rng: fastrand::Rng,
}

impl World {
    pub fn new(seed: u64, hosts: usize, slots: u32, kinds: &[Kind], retry: Retry) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Moment::from_millis(1);
        Self {
            now_ms: 1,
            service: ServiceName::from("charts"),
            gates: (0..hosts).map(|_| ShareGate::new(rng.u64(..))).collect(),
            counters: (0..hosts).map(|_| DemandCounter::new(now)).collect(),
            phases: (0..hosts).map(|_| rng.u64(..REPORT_MS)).collect(),
            ledger: ShareLedger::default(),
            is_leader_silent: false,
            told: Vec::new(),
            told_at_ms: 0,
            kinds: kinds.to_vec(),
            nominal_slots: slots,
            slots,
            believed_factor: 1.0,
            running: Vec::new(),
            queue: std::collections::VecDeque::new(),
            retry,
            returning: Vec::new(),
            newcomers: vec![Count::default(); kinds.len()],
            promised_returns: Count::default(),
            longest_queue: 0,
            admitted_slot_ms: 0.0,
            rng,
        }
    }

    fn now(&self) -> Moment {
        Moment::from_millis(self.now_ms)
    }

    pub fn clear_counts(&mut self) {
        self.newcomers.fill(Count::default());
        self.promised_returns = Count::default();
        self.longest_queue = 0;
        self.admitted_slot_ms = 0.0;
    }

    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        for kind in 0..self.kinds.len() {
            let Kind {
                slot_ms, demand, ..
            } = self.kinds[kind];
            let per_ms = demand * f64::from(self.nominal_slots) / slot_ms;
            for _ in 0..self.poisson(per_ms) {
                let arrival = Arrival {
                    kind,
                    fingerprint: self.rng.u64(..),
                    began_ms: self.now_ms,
                    is_retry: false,
                    was_promised: false,
                };
                self.arrive(arrival);
            }
        }
        let now_ms = self.now_ms;
        let due: Vec<(u64, Arrival)> = self
            .returning
            .extract_if(.., |(at, _)| *at <= now_ms)
            .collect();
        for (_, arrival) in due {
            self.arrive(arrival);
        }
        self.serve();
        self.exchange_messages();
    }

    fn poisson(&mut self, mean: f64) -> u32 {
        let limit = (-mean).exp();
        let (mut count, mut product) = (0, self.rng.f64());
        while product > limit {
            count += 1;
            product *= self.rng.f64();
        }
        count
    }

    fn arrive(&mut self, arrival: Arrival) {
        let host = self.rng.usize(..self.gates.len());
        let kind = self.kinds[arrival.kind];
        let now = self.now();
        let time_left = Duration::from_millis(CLIENT_TIME_MS - (self.now_ms - arrival.began_ms));
        let request = GateRequest {
            service: &self.service,
            route: "read",
            rank: kind.rank,
            fingerprint: arrival.fingerprint,
            target: Duration::from_millis(TARGET_MS),
            time_left,
            slot_ms: Some(kind.slot_ms),
        };
        self.counters[host].record_offered(&self.service, kind.rank, Some(kind.slot_ms));
        let decision = self.gates[host].decide(now, &request);
        let is_admitted = matches!(decision, GateDecision::Admit { .. });
        let outcome = if is_admitted {
            WorkOutcome::Admitted
        } else {
            WorkOutcome::Rejected
        };
        self.counters[host].record_outcome(&self.service, kind.rank, Some(kind.slot_ms), outcome);
        if arrival.is_retry && arrival.was_promised {
            self.promised_returns.add(is_admitted);
        }
        if !arrival.is_retry {
            self.newcomers[arrival.kind].add(is_admitted);
        }
        match (decision, self.retry) {
            (GateDecision::Admit { .. }, _) => {
                self.queue.push_back(kind.slot_ms);
                self.admitted_slot_ms += kind.slot_ms;
            }
            (
                GateDecision::Refuse {
                    retry_after,
                    is_promised,
                    ..
                },
                Retry::Once(waited),
            ) if !arrival.is_retry => {
                let wait_ms = (retry_after.as_secs_f64() * 1_000.0 * waited) as u64 + 2;
                let back = Arrival {
                    is_retry: true,
                    was_promised: is_promised,
                    ..arrival
                };
                self.returning.push((self.now_ms + wait_ms, back));
            }
            _ => {}
        }
    }

    fn serve(&mut self) {
        for left_ms in &mut self.running {
            *left_ms -= 1.0;
        }
        self.running.retain(|left_ms| *left_ms > 0.0);
        while self.running.len() < self.slots as usize
            && let Some(slot_ms) = self.queue.pop_front()
        {
            self.running.push(slot_ms);
        }
        self.longest_queue = self.longest_queue.max(self.queue.len());
    }

    fn occupancy(&self) -> f64 {
        (self.running.len() + self.queue.len()) as f64 / f64::from(self.slots)
    }

    fn exchange_messages(&mut self) {
        for host in 0..self.gates.len() {
            if self.now_ms % REPORT_MS != self.phases[host] || self.is_leader_silent {
                continue;
            }
            let now = self.now();
            let report = self.counters[host].drain(now);
            if self.rng.f64() < DELIVERY_LOSS {
                continue;
            }
            self.ledger.record(now, &format!("host-{host}"), &report);
            if self.now_ms - self.told_at_ms >= 200 {
                self.update_shares();
            }
            if self.rng.f64() >= DELIVERY_LOSS {
                self.gates[host].set_shares(now, self.told.clone());
            }
        }
    }

    /// Starts a new leader; hosts report to it at once, and then at their interval.
    pub fn replace_leader(&mut self) {
        self.ledger = ShareLedger::default();
        self.told.clear();
        for phase in &mut self.phases {
            *phase = (self.now_ms + 1 + self.rng.u64(..20)) % REPORT_MS;
        }
    }

    /// Works out the shares anew, as the leader does when entries change.
    pub fn update_shares(&mut self) {
        let capacity = ServiceCapacity {
            slots: f64::from(self.slots) * self.believed_factor,
            occupancy: Some(self.occupancy()),
        };
        let capacities = IndexMap::from([(self.service.clone(), capacity)]);
        self.told = self.ledger.update(self.now(), &capacities);
        self.told_at_ms = self.now_ms;
    }

    /// Tells all hosts the shares, as the leader does when entries change.
    pub fn announce(&mut self) {
        self.update_shares();
        let now = self.now();
        for gate in &mut self.gates {
            gate.set_shares(now, self.told.clone());
        }
    }

    /// Returns the fraction of a rank at each host.
    pub fn fractions(&self, rank: u32) -> Vec<f64> {
        let gates = self.gates.iter();
        gates
            .map(|gate| gate.fraction(self.now(), &self.service, rank))
            .collect()
    }
}
