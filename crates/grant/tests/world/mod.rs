//! A small world around the ledger: upstreams with leases, a store, calls that are
//! lost or applied late, and leaders that come and go.

use fastrand::Rng;
use grant::{
    CallKind, CallReply, GrantCall, GrantLedger, GrantTiming, Holder, KeyLoads, OwnerCandidate,
    OwnerMap, PreviousTerm,
};
use indexmap::IndexMap;
use kernel::Moment;
use std::time::Duration;

/// Step of the world's clock.
pub const STEP: Duration = Duration::from_millis(20);
/// Keys at which holders are compared; the ends and some between.
const PROBED_KEYS: [u16; 9] = [0, 1, 4_000, 16_000, 30_000, 40_000, 50_000, 65_000, 65_535];

/// What may go wrong, as chances in each step unless said otherwise.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// Share of calls that arrive and are not answered.
    pub unanswered: f64,
    /// Share of unanswered grants that take effect seconds later.
    pub late: f64,
    /// Share of writes whose answer is lost; half of them take effect.
    pub lost_write: f64,
    /// Longest way of a call to an upstream; the leader resets its connection when it
    /// has waited for longer.
    pub delivery_ms: u64,
    pub leader_loss: f64,
    /// The store goes away for the leader, or comes back.
    pub store_turn: f64,
    pub drain: f64,
    pub restart: f64,
    pub join: f64,
    pub cut: f64,
    /// How long an upstream's clock takes for 100 ms; the contract says 102 at most.
    pub clock_percent: u32,
}

impl Trouble {
    pub const CALM: Self = Self {
        unanswered: 0.0,
        late: 0.0,
        lost_write: 0.0,
        delivery_ms: 100,
        leader_loss: 0.0,
        store_turn: 0.0,
        drain: 0.0,
        restart: 0.0,
        join: 0.0,
        cut: 0.0,
        clock_percent: 102,
    };
    pub const ROUGH: Self = Self {
        unanswered: 0.2,
        late: 0.5,
        lost_write: 0.2,
        delivery_ms: 100,
        leader_loss: 0.004,
        store_turn: 0.004,
        drain: 0.01,
        restart: 0.005,
        join: 0.012,
        cut: 0.006,
        clock_percent: 102,
    };
}

/// One lease at an upstream.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    first: u16,
    last: u16,
    epoch: u64,
    until: Moment,
}

#[derive(Clone, Debug)]
struct FakeUpstream {
    run: u64,
    leases: Vec<HeldLease>,
    seen: Vec<(u16, u16, u64)>,
    is_leaving: bool,
    is_up: bool,
    cut_until: Moment,
    /// Releases are answered when running work has ended.
    work_ms: u64,
}

/// A call on its way, and when it arrives.
struct Flight {
    arrives: Moment,
    answer_at: Option<Moment>,
    call: GrantCall,
    /// The host that made it.
    host: u64,
    /// For a late application, the arrival from which the lease counts.
    counts_from: Moment,
}

struct Answer {
    at: Moment,
    call: GrantCall,
    reply: CallReply,
}

/// The world.
pub struct World {
    pub now: Moment,
    pub timing: GrantTiming,
    pub rng: Rng,
    pub trouble: Trouble,
    upstreams: IndexMap<String, FakeUpstream>,
    flights: Vec<Flight>,
    answers: Vec<Answer>,
    stored: OwnerMap,
    stored_version: u64,
    ledger: GrantLedger,
    leader: u64,
    /// The host that leads.
    host: u64,
    known_version: u64,
    next_name: u32,
    next_run: u64,
    pub granted: u64,
    pub moves: u64,
    pub leaders: u64,
}

impl World {
    pub fn new(seed: u64, trouble: Trouble) -> Self {
        let timing = GrantTiming::default();
        let mut world = Self {
            now: Moment::from_millis(10_000),
            timing,
            rng: Rng::with_seed(seed),
            trouble,
            upstreams: IndexMap::new(),
            flights: Vec::new(),
            answers: Vec::new(),
            stored: OwnerMap::default(),
            stored_version: 0,
            ledger: GrantLedger::new(timing, 1),
            leader: 1,
            host: 1,
            known_version: 0,
            next_name: 0,
            next_run: 1_000,
            granted: 0,
            moves: 0,
            leaders: 1,
        };
        for _ in 0..5 {
            world.join();
        }
        world
    }

    pub fn join(&mut self) {
        self.next_name += 1;
        self.next_run += 1;
        let upstream = FakeUpstream {
            run: self.next_run,
            leases: Vec::new(),
            seen: Vec::new(),
            is_leaving: false,
            is_up: true,
            cut_until: Moment::ZERO,
            work_ms: 0,
        };
        self.upstreams
            .insert(format!("i-{}", self.next_name), upstream);
    }

    pub fn drain(&mut self, index: usize) {
        self.upstreams[index].is_leaving = true;
    }

    /// Lets another leader take over, half of the time from one that resigns.
    pub fn replace_leader(&mut self) {
        let last = if self.rng.bool() {
            PreviousTerm {
                is_clean: self.ledger.is_clean(self.now),
                grants_valid_for: Some(self.ledger.grants_valid_for(self.now)),
            }
        } else {
            PreviousTerm::default()
        };
        self.leader += 1;
        self.leaders += 1;
        self.ledger = GrantLedger::new(self.timing, self.leader);
        self.ledger.adopt(self.now, self.stored.clone(), last);
        self.known_version = self.stored_version;
        // The same host may lead again and then gets the answers to its earlier calls.
        if self.rng.bool() {
            self.host += 1;
            self.answers.clear();
        }
    }

    pub fn cut(&mut self, index: usize, span: Duration) {
        self.upstreams[index].cut_until = self.now + span;
    }

    /// Runs one step; panics when two upstreams hold a key.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.trouble_upstreams();
        self.land_calls();
        self.deliver_answers();
        self.step_leader();
        self.check_holders();
    }

    fn chance(&mut self, share: f64) -> bool {
        self.rng.f64() < share
    }

    fn trouble_upstreams(&mut self) {
        let trouble = self.trouble;
        if self.chance(trouble.join) && self.upstreams.len() < 9 {
            self.join();
        }
        if self.chance(trouble.leader_loss) {
            self.replace_leader();
        }
        if self.chance(trouble.store_turn) {
            // Grants are for the longest time while the store is away.
            let is_away = self.rng.bool();
            self.ledger.set_extended(self.now, is_away);
        }
        let index = self.rng.usize(..self.upstreams.len());
        let staying = self
            .upstreams
            .values()
            .filter(|upstream| !upstream.is_leaving)
            .count();
        if self.chance(trouble.drain) && staying > 3 {
            self.drain(index);
        }
        if self.chance(trouble.cut) {
            let span = Duration::from_millis(self.rng.u64(100..7_000));
            self.cut(index, span);
        }
        if self.chance(trouble.restart) {
            self.next_run += 1;
            let upstream = &mut self.upstreams[index];
            upstream.run = self.next_run;
            upstream.leases.clear();
            upstream.seen.clear();
        }
        if self.chance(trouble.drain) {
            // A leaving upstream without keys goes away.
            let now = self.now;
            self.upstreams.retain(|_, upstream| {
                !upstream.is_leaving || upstream.leases.iter().any(|lease| lease.until > now)
            });
        }
        let work_ms = self.rng.u64(0..400);
        let index = self.rng.usize(..self.upstreams.len());
        self.upstreams[index].work_ms = work_ms;
    }

    fn land_calls(&mut self) {
        let mut waiting = Vec::new();
        for flight in std::mem::take(&mut self.flights) {
            if flight.arrives > self.now {
                waiting.push(flight);
                continue;
            }
            let reply = self.land(&flight);
            let (Some(at), Some(reply)) = (flight.answer_at, reply) else {
                continue;
            };
            if flight.host != self.host {
                continue;
            }
            let work_ms = match flight.call.kind {
                CallKind::Release => self
                    .upstreams
                    .get(flight.call.holder.upstream.as_str())
                    .map_or(0, |upstream| upstream.work_ms),
                _ => 0,
            };
            self.answers.push(Answer {
                at: at + Duration::from_millis(work_ms),
                call: flight.call,
                reply,
            });
        }
        self.flights.extend(waiting);
    }

    /// Applies a call at its upstream.
    fn land(&mut self, flight: &Flight) -> Option<CallReply> {
        let call = &flight.call;
        let upstream = self.upstreams.get_mut(call.holder.upstream.as_str())?;
        // A later run at the same address can't tell for which one a call is meant.
        match &call.kind {
            CallKind::Grant { duration, .. } => {
                let is_old = upstream.seen.iter().any(|(first, last, epoch)| {
                    *epoch > call.epoch && *first <= call.last && call.first <= *last
                });
                if is_old {
                    return Some(CallReply::Superseded);
                }
                upstream.seen.push((call.first, call.last, call.epoch));
                if upstream.seen.len() > 200 {
                    upstream.seen.remove(0);
                }
                upstream.leases.retain(|lease| {
                    (lease.first, lease.last, lease.epoch) != (call.first, call.last, call.epoch)
                });
                upstream.leases.push(HeldLease {
                    first: call.first,
                    last: call.last,
                    epoch: call.epoch,
                    until: flight.counts_from + *duration * self.trouble.clock_percent / 100,
                });
                self.granted += 1;
                Some(CallReply::Granted)
            }
            CallKind::Release => {
                let mut kept = Vec::new();
                for lease in std::mem::take(&mut upstream.leases) {
                    if lease.epoch != call.epoch
                        || lease.last < call.first
                        || call.last < lease.first
                    {
                        kept.push(lease);
                        continue;
                    }
                    if lease.first < call.first {
                        kept.push(HeldLease {
                            last: call.first - 1,
                            ..lease
                        });
                    }
                    if lease.last > call.last {
                        kept.push(HeldLease {
                            first: call.last + 1,
                            ..lease
                        });
                    }
                }
                upstream.leases = kept;
                self.moves += 1;
                Some(CallReply::Released(None))
            }
            CallKind::Probe => Some(CallReply::Reached),
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|answer| answer.at <= now);
        self.answers = waiting;
        for answer in due {
            self.ledger.record_reply(now, &answer.call, answer.reply);
        }
    }

    fn step_leader(&mut self) {
        let candidates: Vec<OwnerCandidate> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| !upstream.is_leaving && upstream.is_up)
            .map(|(name, upstream)| OwnerCandidate::new(name, upstream.run, 4.0))
            .collect();
        let step = self
            .ledger
            .step(self.now, &candidates, &KeyLoads::default());
        for call in step.calls {
            self.send(call);
        }
        if let Some(map) = step.commit {
            self.write(map);
        }
    }

    fn send(&mut self, call: GrantCall) {
        let now = self.now;
        let is_cut = self
            .upstreams
            .get(call.holder.upstream.as_str())
            .is_none_or(|upstream| upstream.cut_until > now);
        let answer_in = |ms: u64| Some(now + Duration::from_millis(ms));
        if is_cut {
            self.answers.push(Answer {
                at: now + Duration::from_millis(300),
                call,
                reply: CallReply::Unreachable,
            });
            return;
        }
        if !self.chance(self.trouble.unanswered) {
            let arrives = now + self.delivery();
            self.flights.push(Flight {
                arrives,
                answer_at: Some(arrives),
                call,
                host: self.host,
                counts_from: arrives,
            });
            return;
        }
        self.answers.push(Answer {
            at: answer_in(500).expect("just built"),
            call: call.clone(),
            reply: CallReply::Unanswered,
        });
        let counts_from = now + self.delivery();
        let mut arrives = counts_from;
        if self.chance(self.trouble.late) {
            arrives = arrives + Duration::from_millis(self.rng.u64(500..6_000));
        }
        self.flights.push(Flight {
            arrives,
            answer_at: None,
            call,
            host: self.host,
            counts_from,
        });
    }

    fn delivery(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(0..self.trouble.delivery_ms))
    }

    fn write(&mut self, map: OwnerMap) {
        assert!(map.is_complete(), "ranges have gaps: {map:?}");
        let is_lost = self.chance(self.trouble.lost_write);
        let is_done = self.known_version == self.stored_version && (!is_lost || self.rng.bool());
        if is_done {
            self.stored = map;
            self.stored_version += 1;
        }
        if is_lost {
            // The leader reads the row and goes on from what it finds.
            self.ledger.record_commit(self.now, is_done);
            self.known_version = self.stored_version;
            return;
        }
        if is_done {
            self.known_version = self.stored_version;
        }
        self.ledger.record_commit(self.now, is_done);
    }

    /// Checks that no key has two holders and that epochs rise.
    fn check_holders(&self) {
        for key in PROBED_KEYS {
            let mut holders = Vec::new();
            for (name, upstream) in &self.upstreams {
                let lease = upstream.leases.iter().find(|lease| {
                    lease.first <= key && key <= lease.last && lease.until > self.now
                });
                if let Some(lease) = lease {
                    holders.push((name.as_str(), lease.epoch));
                }
            }
            assert!(
                holders.len() <= 1,
                "key {key} has holders {holders:?} at {:?}; stored {:?}",
                self.now,
                self.stored.find(key),
            );
        }
    }

    /// Returns the share of probed keys that their stored owner holds.
    pub fn served_share(&self) -> f64 {
        let is_served = |key: &&u16| {
            let Some(range) = self.stored.find(**key).filter(|range| range.is_granted) else {
                return false;
            };
            let Some(Holder { upstream, run }) = &range.owner else {
                return false;
            };
            self.upstreams.get(upstream.as_str()).is_some_and(|fake| {
                fake.run == *run
                    && fake.leases.iter().any(|lease| {
                        lease.first <= **key && **key <= lease.last && lease.until > self.now
                    })
            })
        };
        PROBED_KEYS.iter().filter(is_served).count() as f64 / PROBED_KEYS.len() as f64
    }
}
