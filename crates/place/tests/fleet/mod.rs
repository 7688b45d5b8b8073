//! Simulation of many hosts that share upstreams, each knowing only its own requests and
//! the loads that answers report.

use crate::common::Work;
use kernel::Moment;
use place::{
    FleetLoads, LoadReport, RequestOutcome, Selection, SelectionLimits, SentRequest,
    UpstreamCandidate, UpstreamSelector,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// Usual interval at which hosts report what they observed and learn what all observed.
pub const REPORT_INTERVAL_US: u64 = 700_000;
/// Time for which a momentary factor is in force.
const NOISE_PERIOD_US: u64 = 400_000;
/// Time before which nothing is counted, in microseconds.
const WARM_UP_US: u64 = 8_000_000;

/// How hosts select an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The selector under test.
    Selector,
    /// Any upstream, without refusals.
    Random,
    /// The upstream that will answer first, by the real state of all.
    Oracle,
}

/// A deployment and its load.
#[derive(Clone, Debug)]
pub struct Shape {
    pub hosts: usize,
    pub upstreams: usize,
    pub slots: u32,
    pub queue: usize,
    /// Speeds of the upstreams, in turn; 1 is the usual speed.
    pub speeds: Vec<f64>,
    /// Mean work at speed 1, and the spread of its logarithm.
    pub work_ms: f64,
    pub spread: f64,
    pub target_ms: f64,
    /// Offered work as a fraction of the capacity of all slots.
    pub load: f64,
    pub seconds: u64,
    pub noise: Noise,
    pub report_interval_us: u64,
}

/// Noise of upstreams that share their machines: every 400 ms, another fifth of them
/// becomes slower or faster.
#[derive(Clone, Copy, Debug, Default)]
pub struct Noise {
    /// Factor by which they do; none below 1.
    pub factor: f64,
    /// Whether answers report the momentary factor.
    pub is_reported: bool,
    /// Seconds in which hosts learn nothing from one another.
    pub silence: (u64, u64),
}

/// What became of the requests, as fractions of all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub in_time: f64,
    pub late: f64,
    pub refused: f64,
    /// Requests that an upstream rejected.
    pub rejected: f64,
    /// Hash of all choices and refusals, in order.
    pub choices: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Completion { upstream: usize, request: usize },
    Report,
}

struct Upstream {
    slowness: f64,
    running: u32,
    queue: VecDeque<usize>,
}

struct Request {
    host: usize,
    arrived_us: u64,
    work_us: u64,
    sent: Option<SentRequest>,
}

pub struct Fleet {
    shape: Shape,
    policy: Policy,
    rng: fastrand::Rng,
    work: Work,
    hosts: Vec<UpstreamSelector>,
    loads: FleetLoads,
    candidates: Vec<UpstreamCandidate>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    counts: [u32; 4],
    counted: u32,
    choices: u64,
}

pub fn play(shape: &Shape, policy: Policy, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(shape.clone(), policy, seed);
    fleet.run();
    let counted = f64::from(fleet.counted.max(1));
    let [in_time, late, refused, rejected] = fleet.counts.map(|count| f64::from(count) / counted);
    Outcome {
        in_time,
        late,
        refused,
        rejected,
        choices: fleet.choices,
    }
}

impl Fleet {
    fn new(shape: Shape, policy: Policy, seed: u64) -> Self {
        let upstream = |index: usize| Upstream {
            slowness: 1.0 / shape.speeds[index % shape.speeds.len()],
            running: 0,
            queue: VecDeque::new(),
        };
        let candidate = |index: usize| UpstreamCandidate {
            id: format!("i-{index}").into(),
            slots: shape.slots,
            is_local: true,
            is_cold: false,
            max_requests: 64,
        };
        Self {
            policy,
            rng: fastrand::Rng::with_seed(seed),
            work: Work::default(),
            hosts: (0..shape.hosts as u64)
                .map(|host| UpstreamSelector::new(seed * 1_000 + host))
                .collect(),
            loads: FleetLoads::default(),
            candidates: (0..shape.upstreams).map(candidate).collect(),
            upstreams: (0..shape.upstreams).map(upstream).collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            counts: [0; 4],
            counted: 0,
            choices: 0,
            shape,
        }
    }

    fn run(&mut self) {
        let ends_us = WARM_UP_US + self.shape.seconds * 1_000_000;
        self.events.push(Reverse((0, Event::Arrival)));
        self.events
            .push(Reverse((self.shape.report_interval_us, Event::Report)));
        while let Some(Reverse((now_us, event))) = self.events.pop() {
            match event {
                Event::Arrival if now_us < ends_us => self.arrive(now_us),
                Event::Report if now_us < ends_us => self.report(now_us),
                Event::Arrival | Event::Report => {}
                Event::Completion { upstream, request } => {
                    self.complete(now_us, upstream, request);
                }
            }
        }
    }

    /// Returns the capacity of all slots, in seconds of work at speed 1 a second.
    fn capacity(&self) -> f64 {
        let speeds = self
            .upstreams
            .iter()
            .map(|upstream| 1.0 / upstream.slowness);
        speeds.sum::<f64>() * f64::from(self.shape.slots)
    }

    fn arrive(&mut self, now_us: u64) {
        let rate = self.capacity() * self.shape.load / (self.shape.work_ms / 1_000.0);
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        let next_us = now_us + (gap * 1e6) as u64 + 1;
        self.events.push(Reverse((next_us, Event::Arrival)));
        let spread = self.shape.spread;
        let uniform: f64 = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
        let work_ms = self.shape.work_ms * (spread * uniform - spread * spread / 2.0).exp();
        let host = self.rng.usize(..self.shape.hosts);
        let request = self.requests.len();
        self.requests.push(Request {
            host,
            arrived_us: now_us,
            work_us: (work_ms * 1e3) as u64,
            sent: None,
        });
        if now_us >= WARM_UP_US {
            self.counted += 1;
        }
        self.dispatch(now_us, request);
    }

    fn dispatch(&mut self, now_us: u64, request: usize) {
        let now = to_moment(now_us);
        let host = self.requests[request].host;
        let upstream = match self.policy {
            Policy::Random => self.rng.usize(..self.upstreams.len()),
            Policy::Oracle => self.first_free(now_us),
            Policy::Selector => {
                let limits = SelectionLimits {
                    target_left: Duration::from_secs_f64(self.shape.target_ms * 0.9e-3),
                    time_left: Duration::from_secs_f64(self.shape.target_ms * 3e-3),
                    cross_domain_cost: Duration::ZERO,
                };
                let work = self.work.get();
                match self.hosts[host].choose(now, work, &self.candidates, &limits) {
                    Selection::Send { id, .. } => self
                        .candidates
                        .iter()
                        .position(|candidate| candidate.id == id)
                        .expect("known"),
                    Selection::Refuse { .. } | Selection::Unreachable { .. } => {
                        self.choices = fold(self.choices, u64::MAX);
                        self.count(request, 2);
                        return;
                    }
                }
            }
        };
        self.choices = fold(self.choices, upstream as u64);
        let id = &self.candidates[upstream].id;
        let work = self.work.get();
        let sent = self.hosts[host].record_sent(now, work, id, self.shape.slots);
        self.requests[request].sent = Some(sent);
        let state = &mut self.upstreams[upstream];
        if state.running < self.shape.slots {
            self.start(now_us, upstream, request);
        } else if state.queue.len() < self.shape.queue {
            state.queue.push_back(request);
        } else {
            self.end_at_host(now_us, upstream, request, RequestOutcome::Full);
            self.count(request, 3);
        }
    }

    fn first_free(&self, now_us: u64) -> usize {
        let wait = |index: &usize| {
            let upstream = &self.upstreams[*index];
            let ahead = f64::from(upstream.running) + upstream.queue.len() as f64 + 1.0;
            let slots = f64::from(self.shape.slots);
            let excess = (ahead - slots).max(0.0) / slots;
            let slowness = upstream.slowness * self.noise_factor(now_us, *index);
            (slowness * (1.0 + excess) * 1e6 + ahead) as u64
        };
        let indexes = 0..self.upstreams.len();
        indexes.min_by_key(wait).expect("there are upstreams")
    }

    fn start(&mut self, now_us: u64, upstream: usize, request: usize) {
        let state = &mut self.upstreams[upstream];
        state.running += 1;
        let work_us = self.requests[request].work_us as f64 * state.slowness;
        let ends_us = self.end_us(now_us, upstream, work_us);
        self.events
            .push(Reverse((ends_us, Event::Completion { upstream, request })));
    }

    /// Returns when work that takes `work_us` without noise ends.
    fn end_us(&self, start_us: u64, upstream: usize, mut work_us: f64) -> u64 {
        let mut now_us = start_us;
        loop {
            let factor = self.noise_factor(now_us, upstream);
            let period_end_us = (now_us / NOISE_PERIOD_US + 1) * NOISE_PERIOD_US;
            let done_us = (period_end_us - now_us) as f64 / factor;
            if done_us >= work_us {
                return now_us + (work_us * factor) as u64;
            }
            work_us -= done_us;
            now_us = period_end_us;
        }
    }

    /// Returns the factor by which work at an upstream takes longer than usual.
    fn noise_factor(&self, now_us: u64, upstream: usize) -> f64 {
        let Noise { factor, .. } = self.shape.noise;
        if factor <= 1.0 {
            return 1.0;
        }
        let period = now_us / NOISE_PERIOD_US;
        match fastrand::Rng::with_seed(period * 10_007 + upstream as u64).u32(..10) {
            0 => factor,
            1 => 1.0 / factor,
            _ => 1.0,
        }
    }

    fn is_silent(&self, now_us: u64) -> bool {
        let (from, to) = self.shape.noise.silence;
        (from * 1_000_000..to * 1_000_000).contains(&now_us)
    }

    fn complete(&mut self, now_us: u64, upstream: usize, request: usize) {
        self.upstreams[upstream].running -= 1;
        if let Some(next) = self.upstreams[upstream].queue.pop_front() {
            self.start(now_us, upstream, next);
        }
        self.end_at_host(now_us, upstream, request, RequestOutcome::Answered);
        let latency_ms = (now_us - self.requests[request].arrived_us) as f64 / 1e3;
        let is_late = latency_ms > self.shape.target_ms;
        self.count(request, usize::from(is_late));
    }

    fn end_at_host(
        &mut self,
        now_us: u64,
        upstream: usize,
        request: usize,
        outcome: RequestOutcome,
    ) {
        let state = &self.upstreams[upstream];
        let noise = self.shape.noise;
        let report = LoadReport {
            running: state.running,
            waiting: state.queue.len() as u32,
            slots: self.shape.slots,
            // The figure is that of the machine, of which its own speed is a part.
            work_percent: noise.is_reported.then(|| {
                let factor = state.slowness * self.noise_factor(now_us, upstream);
                (factor * 100.0).round() as u32
            }),
        };
        let Request { host, sent, .. } = &self.requests[request];
        let sent = sent.as_ref().expect("was sent");
        self.hosts[*host].record_outcome(
            to_moment(now_us),
            self.work.get(),
            sent,
            outcome,
            Some(report),
        );
    }

    fn report(&mut self, now_us: u64) {
        let next_us = now_us + self.shape.report_interval_us;
        self.events.push(Reverse((next_us, Event::Report)));
        if self.is_silent(now_us) {
            return;
        }
        let now = to_moment(now_us);
        for host in &mut self.hosts {
            for (id, observed) in host.drain_observations() {
                self.loads.record(now, &id, observed);
            }
        }
        let recent = self.loads.update(now, Duration::from_secs(3));
        for host in &mut self.hosts {
            for (id, load) in &recent {
                host.set_fleet_load(now, id, *load);
            }
        }
    }

    fn count(&mut self, request: usize, kind: usize) {
        if self.requests[request].arrived_us >= WARM_UP_US {
            self.counts[kind] += 1;
        }
    }
}

fn to_moment(us: u64) -> Moment {
    Moment::from_millis(10_000) + Duration::from_micros(us)
}

/// Adds a number to a hash (FNV-1a).
fn fold(hash: u64, number: u64) -> u64 {
    (hash ^ number).wrapping_mul(0x100_0000_01b3)
}
