//! Play of hosts that send requests with keys to the holders that a leader assigns, with
//! the selection and the loads of `place`.

use grant::{
    CallKind, CallReply, GrantCall, GrantLedger, GrantTiming, KeyLoads, OwnerCandidate, OwnerMap,
    PreviousTerm,
};
use kernel::{Moment, ServiceName};
use place::{
    FleetLoads, LoadReport, RequestOutcome, RequestWork, Selection, SelectionLimits, SentRequest,
    UpstreamCandidate, UpstreamSelector,
};
use std::collections::VecDeque;
use std::time::Duration;

const TICK_MS: u64 = 5;
const STEP_MS: u64 = 50;
const REPORT_MS: u64 = 700;
const NOISE_PERIOD_MS: u64 = 400;
const LOAD_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time before which nothing is counted.
const WARM_UP_MS: u64 = 15_000;
const WORK_MS: f64 = 120.0;
const TARGET_MS: u64 = 500;
const SLOTS: u32 = 4;
const KEYS: usize = 600;
const SPEEDS: [f64; 5] = [0.7, 0.85, 1.0, 1.3, 1.6];

#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub hosts: usize,
    pub holders: usize,
    /// Offered work as a fraction of what all holders can do.
    pub load: f64,
    /// Factor by which a fifth of the holders is slower or faster; none at 1.
    pub noise: f64,
    /// Whether answers report the momentary factor.
    pub is_reported: bool,
    /// Part of the load that one key has.
    pub hot_share: f64,
    /// Second from which the first holder is slower for good, and by which factor.
    pub slow_holder: Option<(u64, u64)>,
    /// Seconds in which no report reaches the leader.
    pub silence: (u64, u64),
    pub seconds: u64,
    /// Number of the first keys whose requests take four times as long, by a route of
    /// their own.
    pub heavy_keys: u16,
}

impl Default for Scene {
    fn default() -> Self {
        Self {
            hosts: 12,
            holders: 20,
            load: 0.5,
            noise: 3.0,
            is_reported: true,
            hot_share: 0.0,
            slow_holder: None,
            silence: (0, 0),
            seconds: 60,
            heavy_keys: 0,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    /// Refused by a host, or rejected by a holder.
    pub refused: u32,
    /// Releases of keys.
    pub moves: u32,
    /// Share of the load of the holder of the hottest key that is of other keys.
    pub beside_hot: f64,
    /// Speed of that holder.
    pub hot_speed: f64,
    /// Time from the start of the slow holder until its keys fit it.
    pub relieved_after_ms: Option<u64>,
    pub late_at_slow: u32,
}

impl Outcome {
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.moves += other.moves;
        self.late_at_slow += other.late_at_slow;
        self.beside_hot += other.beside_hot / 3.0;
        self.hot_speed += other.hot_speed / 3.0;
        self.relieved_after_ms = self.relieved_after_ms.max(other.relieved_after_ms);
    }
}

struct Running {
    route: &'static str,
    host: usize,
    arrived_ms: u64,
    left_ms: f64,
    sent: SentRequest,
}

#[derive(Default)]
struct HolderState {
    running: Vec<Running>,
    waiting: VecDeque<Running>,
}

pub struct KeyedPlay {
    scene: Scene,
    rng: fastrand::Rng,
    now_ms: u64,
    service: ServiceName,
    ledger: GrantLedger,
    /// Calls that are answered at a time.
    calls: Vec<(u64, GrantCall)>,
    selectors: Vec<UpstreamSelector>,
    holders: Vec<HolderState>,
    loads: KeyLoads,
    unreported: Vec<u16>,
    fleet_loads: FleetLoads,
    keys: Vec<(u16, f64)>,
    outcome: Outcome,
}

impl KeyedPlay {
    pub fn new(scene: Scene, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut ledger = GrantLedger::new(GrantTiming::default(), 1);
        ledger.adopt(to_moment(0), OwnerMap::default(), PreviousTerm::default());
        let weights: Vec<f64> = (0..KEYS)
            .map(|rank| 1.0 / (rank as f64 + 12.0).powf(0.6))
            .collect();
        let sum: f64 = weights.iter().sum();
        let rest = 1.0 - scene.hot_share;
        let mut keys: Vec<(u16, f64)> = Vec::new();
        for weight in weights {
            keys.push((rng.u16(..), weight / sum * rest));
        }
        keys[0].1 += scene.hot_share;
        Self {
            rng,
            now_ms: 0,
            service: "charts".into(),
            ledger,
            calls: Vec::new(),
            selectors: (0..scene.hosts as u64)
                .map(|host| UpstreamSelector::new(seed * 100 + host))
                .collect(),
            holders: (0..scene.holders).map(|_| HolderState::default()).collect(),
            loads: KeyLoads::default(),
            unreported: Vec::new(),
            fleet_loads: FleetLoads::default(),
            keys,
            outcome: Outcome::default(),
            scene,
        }
    }

    pub fn run(mut self) -> Outcome {
        let ends_ms = WARM_UP_MS + self.scene.seconds * 1_000;
        while self.now_ms < ends_ms {
            self.now_ms += TICK_MS;
            self.work();
            self.arrive();
            if self.now_ms.is_multiple_of(STEP_MS) {
                self.step_leader();
            }
            let (from, to) = self.scene.silence;
            let is_silent = (from * 1_000..to * 1_000).contains(&self.now_ms);
            if self.now_ms.is_multiple_of(REPORT_MS) && !is_silent {
                self.report();
            }
        }
        self.judge_hot_key();
        self.outcome
    }

    fn is_counting(&self) -> bool {
        self.now_ms >= WARM_UP_MS
    }

    /// Returns the speed of a holder without noise.
    fn speed(&self, holder: usize) -> f64 {
        let speed = SPEEDS[holder % SPEEDS.len()];
        match self.scene.slow_holder {
            Some((from, factor)) if holder == 0 && self.now_ms >= from * 1_000 => {
                speed / factor as f64
            }
            _ => speed,
        }
    }

    fn noise(&self, holder: usize) -> f64 {
        let seed = self.now_ms / NOISE_PERIOD_MS * 10_007 + holder as u64;
        match fastrand::Rng::with_seed(seed).u32(..10) {
            0 => self.scene.noise,
            1 => 1.0 / self.scene.noise,
            _ => 1.0,
        }
    }

    /// Advances the work of all holders by one tick.
    fn work(&mut self) {
        for holder in 0..self.holders.len() {
            let done_ms = TICK_MS as f64 * self.speed(holder) / self.noise(holder);
            let mut ended = Vec::new();
            let state = &mut self.holders[holder];
            for index in (0..state.running.len()).rev() {
                state.running[index].left_ms -= done_ms;
                if state.running[index].left_ms <= 0.0 {
                    ended.push(state.running.swap_remove(index));
                }
            }
            while state.running.len() < SLOTS as usize {
                let Some(next) = state.waiting.pop_front() else {
                    break;
                };
                state.running.push(next);
            }
            for request in ended {
                self.end(holder, &request, RequestOutcome::Answered);
                if request.arrived_ms < WARM_UP_MS {
                    continue;
                }
                if self.now_ms - request.arrived_ms <= TARGET_MS {
                    self.outcome.in_time += 1;
                } else {
                    self.outcome.late += 1;
                    self.outcome.late_at_slow += u32::from(holder == 0);
                }
            }
        }
    }

    fn end(&mut self, holder: usize, request: &Running, outcome: RequestOutcome) {
        let state = &self.holders[holder];
        // The figure is that of the machine, of which its own speed is a part; that the
        // holder's process has become slow does not show in it.
        let machine_speed = SPEEDS[holder % SPEEDS.len()];
        let percent = (self.noise(holder) / machine_speed * 100.0).round() as u32;
        let report = LoadReport {
            running: state.running.len() as u32,
            waiting: state.waiting.len() as u32,
            slots: SLOTS,
            work_percent: self.scene.is_reported.then_some(percent),
        };
        let work = RequestWork {
            service: &self.service,
            route: request.route,
        };
        let now = to_moment(self.now_ms);
        self.selectors[request.host].record_outcome(
            now,
            work,
            &request.sent,
            outcome,
            Some(report),
        );
    }

    fn arrive(&mut self) {
        let speeds: f64 = (0..self.scene.holders)
            .map(|holder| SPEEDS[holder % SPEEDS.len()])
            .sum();
        let rate_per_ms = speeds * f64::from(SLOTS) / WORK_MS * self.scene.load;
        // At most one arrival in a tenth of a tick.
        for _ in 0..10 {
            if self.rng.f64() < rate_per_ms * TICK_MS as f64 / 10.0 {
                self.send_request();
            }
        }
    }

    fn send_request(&mut self) {
        let mut drawn = self.rng.f64();
        let mut key = self.keys[0].0;
        for (candidate, weight) in &self.keys {
            key = *candidate;
            drawn -= weight;
            if drawn <= 0.0 {
                break;
            }
        }
        self.unreported.push(key);
        self.outcome.requests += u32::from(self.is_counting());
        let host = self.rng.usize(..self.scene.hosts);
        let uniform: f64 = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
        let (route, usual_ms) = if key < self.scene.heavy_keys {
            ("scan", WORK_MS * 4.0)
        } else {
            ("read", WORK_MS)
        };
        let left_ms = usual_ms * (0.6 * uniform - 0.18).exp();
        let now = to_moment(self.now_ms);
        let range = self
            .ledger
            .map()
            .range_of(key)
            .filter(|range| range.is_granted);
        let Some(owner) = range.and_then(|range| range.owner.clone()) else {
            self.outcome.refused += u32::from(self.is_counting());
            return;
        };
        let holder: usize = owner.upstream.as_str()[2..].parse().expect("a number");
        let candidate = UpstreamCandidate {
            id: owner.upstream.clone(),
            slots: SLOTS,
            is_local: true,
            is_cold: false,
            max_requests: 64,
        };
        let limits = SelectionLimits {
            target_left: Duration::from_millis(TARGET_MS),
            time_left: Duration::from_millis(TARGET_MS * 4),
            cross_domain_cost: Duration::ZERO,
        };
        let work = RequestWork {
            service: &self.service,
            route,
        };
        let selector = &mut self.selectors[host];
        if !matches!(
            selector.choose(now, work, &[candidate], &limits),
            Selection::Send { .. }
        ) {
            self.outcome.refused += u32::from(self.is_counting());
            return;
        }
        let sent = selector.record_sent(now, work, &owner.upstream, SLOTS);
        let request = Running {
            route,
            host,
            arrived_ms: self.now_ms,
            left_ms,
            sent,
        };
        let state = &mut self.holders[holder];
        if state.running.len() < SLOTS as usize {
            state.running.push(request);
        } else if state.waiting.len() < 4 * SLOTS as usize {
            state.waiting.push_back(request);
        } else {
            self.end(holder, &request, RequestOutcome::Full);
            self.outcome.refused += u32::from(self.is_counting());
        }
    }

    fn candidates(&self) -> Vec<OwnerCandidate> {
        let service_time = self.selectors[0].mean_service_time(&self.service);
        let mut candidates = Vec::new();
        for holder in 0..self.scene.holders {
            let id = format!("i-{holder}");
            let pace = self.fleet_loads.holder_pace(&id);
            let speed = match pace {
                Some(pace) => pace.speed(),
                None => (1.0 / self.fleet_loads.slowness(&id).unwrap_or(1.0)).clamp(0.3, 3.0),
            };
            let capacity = f64::from(SLOTS) * speed;
            let mut candidate = OwnerCandidate::new(&id, 1, capacity);
            candidate.max_rate = service_time.map(|time| capacity / time.as_secs_f64());
            candidate.relief = pace.map(|pace| pace.relief);
            candidates.push(candidate);
        }
        candidates
    }

    fn step_leader(&mut self) {
        let now = to_moment(self.now_ms);
        let due_ms = self.now_ms;
        for (at_ms, call) in std::mem::take(&mut self.calls) {
            if at_ms > due_ms {
                self.calls.push((at_ms, call));
                continue;
            }
            let reply = match call.kind {
                CallKind::Grant { .. } => CallReply::Granted,
                CallKind::Release => CallReply::Released(None),
                CallKind::Probe => CallReply::Reached,
            };
            self.ledger.record_reply(now, &call, reply);
        }
        if self.now_ms.is_multiple_of(STEP_MS * 7) {
            self.loads
                .decay(Duration::from_millis(STEP_MS * 7), LOAD_HALF_LIFE);
        }
        let candidates = self.candidates();
        let step = self.ledger.step(now, &candidates, &self.loads);
        for call in step.calls {
            // A release is answered when running work has ended.
            let delay_ms = match call.kind {
                CallKind::Release => 150,
                CallKind::Grant { .. } | CallKind::Probe => 0,
            };
            self.outcome.moves += u32::from(call.kind == CallKind::Release && self.is_counting());
            self.calls.push((self.now_ms + delay_ms, call));
        }
        if step.commit.is_some() {
            self.ledger.record_commit(now, true);
        }
        self.check_relief();
    }

    /// Records when the slow holder has so few keys left that it can do their work.
    fn check_relief(&mut self) {
        let Some((from, _)) = self.scene.slow_holder else {
            return;
        };
        let since_ms = self.now_ms.saturating_sub(from * 1_000);
        if since_ms == 0 || self.outcome.relieved_after_ms.is_some() {
            return;
        }
        let speeds: f64 = (0..self.scene.holders)
            .map(|holder| SPEEDS[holder % SPEEDS.len()])
            .sum();
        let utilization = self.true_share(0) * speeds * self.scene.load / self.speed(0);
        if utilization < 1.0 {
            self.outcome.relieved_after_ms = Some(since_ms);
        }
    }

    /// Returns the part of all load that is a holder's.
    fn true_share(&self, holder: usize) -> f64 {
        let id = format!("i-{holder}");
        let is_owned = |key: u16| {
            let owner = self
                .ledger
                .map()
                .range_of(key)
                .and_then(|range| range.owner.as_ref());
            owner.is_some_and(|owner| owner.upstream.as_str() == id)
        };
        self.keys
            .iter()
            .filter(|(key, _)| is_owned(*key))
            .map(|(_, weight)| weight)
            .sum()
    }

    fn judge_hot_key(&mut self) {
        let (key, weight) = self.keys[0];
        let owner = self
            .ledger
            .map()
            .range_of(key)
            .and_then(|range| range.owner.as_ref());
        let Some(owner) = owner else {
            return;
        };
        let holder: usize = owner.upstream.as_str()[2..].parse().expect("a number");
        self.outcome.hot_speed = self.speed(holder);
        self.outcome.beside_hot = 1.0 - weight / self.true_share(holder);
    }

    fn report(&mut self) {
        let now = to_moment(self.now_ms);
        for key in self.unreported.drain(..) {
            self.loads.record(key, 1.0);
        }
        for selector in &mut self.selectors {
            for (id, observed) in selector.drain_observations() {
                self.fleet_loads.record(now, &id, observed);
            }
        }
        let recent = self.fleet_loads.update(now, Duration::from_secs(3));
        for selector in &mut self.selectors {
            for (id, load) in &recent {
                selector.set_fleet_load(now, id, *load);
            }
        }
    }
}

fn to_moment(ms: u64) -> Moment {
    Moment::from_millis(10_000 + ms)
}
