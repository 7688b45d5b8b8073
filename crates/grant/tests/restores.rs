//! A store that is restored from a copy never leads to two holders of a key, nor to a grant
//! below an epoch that another upstream had: whoever forgets what, whatever the copy lacks
//! and whichever upstreams join.
//!
//! Plays hosts, a store and upstreams in steps, with the decisions of the product. Calls
//! and their replies take time, and some are lost.

use fastrand::Rng;
use grant::{
    CallKind, CallReply, GrantCall, GrantLedger, GrantTiming, Holder, KeyLoads, LeaderLease,
    LeaseClaimant, LeaseRow, OwnerCandidate, OwnerMap, PreviousTerm, RestoreGuard, TermFloor,
};
use kernel::Moment;
use rstest::rstest;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(100);
/// Steps of one play, 30 s.
const STEPS: usize = 300;
const HOSTS: usize = 3;
/// Seeds of one part of a test; four parts run beside each other.
const PART_SEEDS: u64 = 60;
/// Maximum age of the copy from which the store is restored, in steps.
const MAX_COPY_AGE: usize = 80;
/// Keys whose holders are checked, evenly spread.
const CHECKED_KEYS: usize = 64;
/// Time within which a call arrives if it does: until its sender gives it up, and the
/// delivery of its last packet.
const MAX_ARRIVAL_DELAY: Duration = Duration::from_millis(800);
/// Remaining time of a lease below which grants are extended while the store is silent.
const FINAL_RENEWAL_WINDOW: Duration = Duration::from_millis(700);
/// Minimum time between two restores of the store, without the time that it is away.
const RESTORE_GAP: Duration = Duration::from_millis(500);
/// Time after which a call without a reply is given up.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A protection that a play goes without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    Nothing,
    /// Rows are believed whatever the era.
    Era,
    /// Keys of which no row tells are granted at once.
    Fence,
    /// A lease whose row has gone back is taken at once.
    LeaseEnd,
}

/// Faults that a play brings about, in one of so many steps; 0 for never.
#[derive(Clone, Copy, Debug)]
struct FaultRates {
    restore: u32,
    host_loss: u32,
    loss_of_all: u32,
    upstream_change: u32,
    /// A host that does not reach the store for a while.
    store_cut: u32,
    lost_call: u32,
}

const ALL_FAULTS: FaultRates = FaultRates {
    restore: 60,
    host_loss: 45,
    loss_of_all: 150,
    upstream_change: 40,
    store_cut: 60,
    lost_call: 25,
};

const NO_FAULTS: FaultRates = FaultRates {
    restore: 0,
    host_loss: 0,
    loss_of_all: 0,
    upstream_change: 0,
    store_cut: 0,
    lost_call: 0,
};

#[derive(Clone, Debug, Default)]
struct StoredRows {
    /// Version of the last write.
    version: u64,
    lease: Option<(u64, LeaseRow)>,
    owners: Option<(u64, OwnerMap)>,
}

struct Leader {
    lease: LeaderLease,
    lease_version: u64,
    owners_version: u64,
    era: u64,
    term: u64,
    ledger: GrantLedger,
    renewed_at: Moment,
}

/// A run of a host's process.
struct HostRun {
    run: u64,
    guard: RestoreGuard,
    floor: TermFloor,
    told_term: u64,
    led_term: u64,
    told_owners: Option<OwnerMap>,
    leader: Option<Leader>,
    leader_heard_at: Moment,
    down_until: Moment,
    /// Time until which the host does not reach the store.
    cut_until: Moment,
}

impl HostRun {
    fn new(run: u64, down_until: Moment) -> Self {
        Self {
            run,
            guard: RestoreGuard::default(),
            floor: TermFloor::default(),
            told_term: 0,
            led_term: 0,
            told_owners: None,
            leader: None,
            leader_heard_at: Moment::ZERO,
            down_until,
            cut_until: Moment::ZERO,
        }
    }
}

/// What an upstream knows of one key.
#[derive(Clone, Copy, Default)]
struct KeyState {
    epoch: u64,
    held_until: Moment,
}

struct Upstream {
    holder: Holder,
    keys: Vec<KeyState>,
    is_listed: bool,
}

struct CallOnItsWay {
    call: GrantCall,
    host: usize,
    run: u64,
    sent_at: Moment,
    arrives_at: Option<Moment>,
    reply: Option<CallReply>,
}

struct Play {
    rng: Rng,
    missing: Missing,
    rates: FaultRates,
    timing: GrantTiming,
    now: Moment,
    rows: StoredRows,
    era: u64,
    away_until: Moment,
    copies: Vec<StoredRows>,
    hosts: Vec<HostRun>,
    next_run: u64,
    upstreams: Vec<Upstream>,
    calls: Vec<CallOnItsWay>,
    restores: u32,
    resumptions: u32,
    takeovers: u32,
    shared_keys: u32,
    old_epochs: u32,
    /// Steps in which a checked key had a holder, and in which it had none.
    held_steps: u64,
    unheld_steps: u64,
}

fn checked_key(index: usize) -> u16 {
    (index * (usize::from(u16::MAX) + 1) / CHECKED_KEYS) as u16
}

impl Play {
    fn new(seed: u64, missing: Missing, rates: FaultRates) -> Self {
        let mut play = Self {
            rng: Rng::with_seed(seed),
            missing,
            rates,
            timing: GrantTiming::default(),
            now: Moment::from_millis(10_000),
            rows: StoredRows::default(),
            era: 0,
            away_until: Moment::ZERO,
            copies: Vec::new(),
            hosts: Vec::new(),
            next_run: 0,
            upstreams: Vec::new(),
            calls: Vec::new(),
            restores: 0,
            resumptions: 0,
            takeovers: 0,
            shared_keys: 0,
            old_epochs: 0,
            held_steps: 0,
            unheld_steps: 0,
        };
        for _ in 0..HOSTS {
            play.next_run += 1;
            play.hosts.push(HostRun::new(play.next_run, Moment::ZERO));
        }
        for _ in 0..4 {
            play.add_upstream();
        }
        play
    }

    fn run(mut self) -> Self {
        self.run_for(STEP * STEPS as u32);
        self
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            if self.copies.len() == MAX_COPY_AGE {
                self.copies.remove(0);
            }
            self.copies.push(self.rows.clone());
            self.inject_faults();
            self.deliver_calls();
            for host in 0..HOSTS {
                if self.hosts[host].down_until > self.now {
                    continue;
                }
                if self.is_leading(host) {
                    self.lead(host);
                } else {
                    self.hosts[host].leader = None;
                    self.poll(host);
                }
            }
            self.count_holders();
        }
    }

    fn happens(&mut self, rate: u32) -> bool {
        rate > 0 && self.rng.u32(..rate) == 0
    }

    fn add_upstream(&mut self) {
        self.next_run += 1;
        let holder =
            OwnerCandidate::new(&format!("i-{}", self.next_run), self.next_run, 4.0).holder;
        self.upstreams.push(Upstream {
            holder,
            keys: vec![KeyState::default(); CHECKED_KEYS],
            is_listed: true,
        });
    }

    fn inject_faults(&mut self) {
        if self.now >= self.away_until + RESTORE_GAP && self.happens(self.rates.restore) {
            let age = self.rng.usize(1..=self.copies.len());
            self.restore(age);
            self.away_until = self.now + Duration::from_millis(self.rng.u64(0..800));
        }
        if self.happens(self.rates.host_loss) {
            let host = self.rng.usize(..HOSTS);
            self.restart(host);
        }
        if self.happens(self.rates.loss_of_all) {
            (0..HOSTS).for_each(|host| self.restart(host));
        }
        if self.happens(self.rates.store_cut) {
            let host = self.rng.usize(..HOSTS);
            let cut = Duration::from_millis(self.rng.u64(500..4_000));
            self.hosts[host].cut_until = self.now + cut;
        }
        if self.happens(self.rates.upstream_change) {
            // An upstream that is not listed goes on holding its keys.
            let listed = self.upstreams.iter().filter(|upstream| upstream.is_listed);
            if listed.count() > 3 {
                let index = self.rng.usize(..self.upstreams.len());
                self.upstreams[index].is_listed = false;
            }
            self.add_upstream();
        }
    }

    /// Restores the store from a copy of `age` steps.
    fn restore(&mut self, age: usize) {
        self.rows = self.copies[self.copies.len() - age].clone();
        self.era += 1;
        self.restores += 1;
    }

    fn restart(&mut self, host: usize) {
        self.next_run += 1;
        let down = Duration::from_millis(self.rng.u64(100..900));
        self.hosts[host] = HostRun::new(self.next_run, self.now + down);
    }

    fn reaches_store(&self, host: usize) -> bool {
        self.now >= self.away_until && self.now >= self.hosts[host].cut_until
    }

    fn store_ms(&self) -> u64 {
        (self.now - Moment::ZERO).as_millis() as u64
    }

    fn is_leading(&self, host: usize) -> bool {
        let leader = self.hosts[host].leader.as_ref();
        leader.is_some_and(|leader| leader.lease.is_valid(self.now))
    }

    fn read_era(&mut self, host: usize) {
        let era = if self.missing == Missing::Era {
            0
        } else {
            self.era
        };
        let run = &mut self.hosts[host];
        run.guard.record_era(self.now, era);
        // Terms are unique in any case, so that only the owners are at stake here.
        run.floor.record_era(self.era);
    }

    fn poll(&mut self, host: usize) {
        let is_leader_heard = self.now < self.hosts[host].leader_heard_at + Duration::from_secs(1);
        if is_leader_heard || !self.reaches_store(host) || self.rng.bool() {
            return;
        }
        self.read_era(host);
        let lease = self.rows.lease.clone();
        let row = lease.as_ref().map(|(_, row)| row);
        let run = &self.hosts[host];
        let known_term = run.told_term.max(run.led_term);
        let is_current = run.guard.is_lease_current(row, known_term);
        let lease_end = run.guard.earlier_lease_end(&self.timing);
        if !is_current && self.now < lease_end && self.missing != Missing::LeaseEnd {
            return;
        }
        let name = format!("front-{host}");
        let claimant = LeaseClaimant {
            host: &name,
            address: &name,
            run: run.run,
        };
        let store_ms = self.store_ms();
        if row.is_some_and(|row| !row.is_available_to(&claimant, store_ms)) {
            return;
        }
        self.take_lease(host, lease.as_ref(), is_current);
    }

    fn take_lease(&mut self, host: usize, lease: Option<&(u64, LeaseRow)>, is_current: bool) {
        self.takeovers += 1;
        let row = lease.map(|(_, row)| row);
        let previous = match row {
            Some(row) if is_current => PreviousTerm::from(row),
            None if is_current => PreviousTerm {
                is_clean: true,
                grants_valid_for: None,
            },
            _ => PreviousTerm::default(),
        };
        let fenced_until =
            RestoreGuard::fence_end(self.now, row, is_current, self.store_ms(), &self.timing);
        let fenced_until = if self.missing == Missing::Fence {
            Moment::ZERO
        } else {
            fenced_until
        };
        let run = &mut self.hosts[host];
        if let Some(row) = row {
            run.floor.record_term(row.term);
        }
        let term = run.floor.next_term();
        let mut leader = Leader {
            lease: LeaderLease::default(),
            lease_version: lease.map_or(0, |(version, _)| *version),
            owners_version: self.rows.owners.as_ref().map_or(0, |(version, _)| *version),
            era: self.era,
            term,
            ledger: GrantLedger::new(self.timing, term),
            renewed_at: self.now,
        };
        let owners = self.rows.owners.clone().map(|(_, map)| map);
        let found = run.guard.judge_owners(
            self.now,
            owners.clone(),
            run.told_owners.as_ref(),
            is_current,
            &self.timing,
        );
        match found {
            Some(found) if self.missing != Missing::Fence => {
                leader.ledger.take_over(self.now, found, previous);
            }
            // Without the protection, the row is believed, or nothing is known.
            _ if self.missing == Missing::Fence => {
                if let Some(map) = owners {
                    leader.ledger.adopt(self.now, map, previous);
                    leader.ledger.raise_term(term);
                }
            }
            _ => leader.ledger.fence(fenced_until),
        }
        self.hosts[host].leader = Some(leader);
        let is_written = self.write(host, term, None, fenced_until);
        assert!(is_written, "the row was read in the same step");
        self.announce(host);
    }

    /// Writes the lease, and a map of owners with it, if their versions are unchanged.
    fn write(
        &mut self,
        host: usize,
        term: u64,
        owners: Option<&OwnerMap>,
        fenced_until: Moment,
    ) -> bool {
        let store_ms = self.store_ms();
        let rows = &mut self.rows;
        let run = &mut self.hosts[host];
        let Some(leader) = &mut run.leader else {
            return false;
        };
        let lease_version = rows.lease.as_ref().map_or(0, |(version, _)| *version);
        let owners_version = rows.owners.as_ref().map_or(0, |(version, _)| *version);
        let is_unchanged = leader.era == self.era
            && leader.lease_version == lease_version
            && (owners.is_none() || leader.owners_version == owners_version);
        if !is_unchanged {
            return false;
        }
        rows.version += 1;
        leader.lease.record_store_time(self.now, store_ms);
        leader
            .lease
            .record_acquired(self.now, self.timing.leader_lease);
        leader.lease_version = rows.version;
        leader.term = term;
        leader.ledger.set_extended(self.now, false);
        leader.renewed_at = self.now;
        let name = format!("front-{host}");
        let fenced_for = fenced_until - self.now;
        let row = LeaseRow {
            term,
            host: name.clone(),
            run: run.run,
            address: name,
            expires_ms: store_ms + self.timing.leader_lease.as_millis() as u64,
            is_clean: false,
            held_for_ms: None,
            fenced_until_ms: (!fenced_for.is_zero())
                .then(|| store_ms + fenced_for.as_millis() as u64),
            hosts: HOSTS as u32,
            strong_hosts: HOSTS as u32,
            standbys: Vec::new(),
        };
        rows.lease = Some((rows.version, row));
        if let Some(map) = owners {
            rows.owners = Some((rows.version, map.clone()));
            leader.owners_version = rows.version;
        }
        run.floor.record_term(term);
        run.led_term = run.led_term.max(term);
        true
    }

    /// Tells most hosts of the leader's term and owners.
    fn announce(&mut self, host: usize) {
        let Some(leader) = &self.hosts[host].leader else {
            return;
        };
        let (term, map) = (leader.term, leader.ledger.map().clone());
        for other in 0..HOSTS {
            if self.rng.u8(..4) == 0 || self.hosts[other].down_until > self.now {
                continue;
            }
            let run = &mut self.hosts[other];
            if term < run.told_term {
                continue;
            }
            run.told_term = term;
            run.floor.record_term(term);
            run.leader_heard_at = self.now;
            let known = run.told_owners.as_ref().map_or(0, OwnerMap::greatest_epoch);
            if map.greatest_epoch() >= known && map.is_complete() {
                let mut told = map.clone();
                told.clear_previous_holders();
                run.told_owners = Some(told);
            }
        }
    }

    fn candidates(&self) -> Vec<OwnerCandidate> {
        let listed = self.upstreams.iter().filter(|upstream| upstream.is_listed);
        listed
            .map(|upstream| {
                let holder = &upstream.holder;
                OwnerCandidate::new(holder.upstream.as_str(), holder.run, 4.0)
            })
            .collect()
    }

    fn lead(&mut self, host: usize) {
        let candidates = self.candidates();
        let now = self.now;
        let reaches_store = self.reaches_store(host);
        let Some(leader) = &mut self.hosts[host].leader else {
            return;
        };
        let lease_end = leader.lease.valid_until().unwrap_or(now);
        if !reaches_store && lease_end - now < FINAL_RENEWAL_WINDOW {
            leader.ledger.set_extended(now, true);
        }
        let step = leader.ledger.step(now, &candidates, &KeyLoads::default());
        let is_due = now >= leader.renewed_at + self.timing.leader_renew_interval;
        for call in step.calls {
            self.send(host, call);
        }
        if step.commit.is_none() && !is_due {
            return;
        }
        let is_written = reaches_store && self.write_or_resume(host, step.commit.as_ref());
        if let Some(leader) = &mut self.hosts[host].leader {
            leader.ledger.record_commit(now, is_written);
        }
        if is_written {
            self.announce(host);
        }
    }

    fn write_or_resume(&mut self, host: usize, owners: Option<&OwnerMap>) -> bool {
        let Some(leader) = &self.hosts[host].leader else {
            return false;
        };
        let fenced_until = self.now + leader.ledger.fence_remaining(self.now);
        if self.write(host, leader.term, owners, fenced_until) {
            return true;
        }
        self.read_era(host);
        let name = format!("front-{host}");
        let run = &mut self.hosts[host];
        let claimant = LeaseClaimant {
            host: &name,
            address: &name,
            run: run.run,
        };
        let row = self.rows.lease.as_ref().map(|(_, row)| row);
        let may_resume = RestoreGuard::may_resume(row, run.led_term, &claimant);
        let Some(leader) = run.leader.as_mut().filter(|_| may_resume) else {
            run.leader = None;
            return false;
        };
        leader.era = self.era;
        leader.lease_version = self.rows.lease.as_ref().map_or(0, |(version, _)| *version);
        leader.owners_version = self.rows.owners.as_ref().map_or(0, |(version, _)| *version);
        let map = leader.ledger.map().clone();
        let owners = Some(&map).filter(|map| map.is_complete());
        let term = run.floor.next_term();
        let is_written = self.write(host, term, owners, fenced_until);
        assert!(is_written, "the rows were read in the same step");
        if let Some(leader) = &mut self.hosts[host].leader {
            leader.ledger.raise_term(term);
        }
        self.resumptions += 1;
        self.announce(host);
        // The rows have been written, but not those that were to be committed.
        false
    }

    fn send(&mut self, host: usize, call: GrantCall) {
        let is_lost = self.happens(self.rates.lost_call);
        let delay = if is_lost {
            self.rng.u64(0..MAX_ARRIVAL_DELAY.as_millis() as u64)
        } else {
            self.rng.u64(0..60)
        };
        let never_arrives = is_lost && self.rng.bool();
        let arrives_at = self.now + Duration::from_millis(delay);
        self.calls.push(CallOnItsWay {
            call,
            host,
            run: self.hosts[host].run,
            sent_at: self.now,
            arrives_at: (!never_arrives).then_some(arrives_at),
            reply: None,
        });
    }

    fn deliver_calls(&mut self) {
        for mut on_way in std::mem::take(&mut self.calls) {
            if on_way.arrives_at.is_some_and(|at| at <= self.now) {
                on_way.arrives_at = None;
                on_way.reply = Some(self.apply_call(&on_way.call));
            }
            let is_late = self.now >= on_way.sent_at + CALL_TIMEOUT;
            let is_lost = self.happens(self.rates.lost_call);
            let reply = match on_way.reply.take() {
                _ if is_late => Some(CallReply::Unanswered),
                Some(_) if is_lost => None,
                other => other,
            };
            let Some(reply) = reply else {
                self.calls.push(on_way);
                continue;
            };
            let run = &mut self.hosts[on_way.host];
            if run.run == on_way.run
                && let Some(leader) = &mut run.leader
            {
                if reply == CallReply::Superseded {
                    run.floor.record_superseded(on_way.call.epoch);
                }
                leader.ledger.record_reply(self.now, &on_way.call, reply);
            }
            if is_late && on_way.arrives_at.is_some() {
                // Its bytes may still arrive, but no reply to it does.
                on_way.run = 0;
                self.calls.push(on_way);
            }
        }
    }

    fn apply_call(&mut self, call: &GrantCall) -> CallReply {
        let index = self
            .upstreams
            .iter()
            .position(|upstream| upstream.holder == call.holder);
        let Some(index) = index else {
            return CallReply::Ended;
        };
        let keys: Vec<usize> = (0..CHECKED_KEYS)
            .filter(|index| (call.first..=call.last).contains(&checked_key(*index)))
            .collect();
        match &call.kind {
            CallKind::Probe => CallReply::Reached,
            CallKind::Release => {
                for key in keys {
                    self.upstreams[index].keys[key].held_until = Moment::ZERO;
                }
                CallReply::Released(None)
            }
            CallKind::Grant { duration, .. } => {
                let states = &self.upstreams[index].keys;
                if keys.iter().any(|key| states[*key].epoch > call.epoch) {
                    return CallReply::Superseded;
                }
                // The upstream's clock runs slow by 2%.
                let held_until = self.now + *duration * 102 / 100;
                for key in keys {
                    let others = self.upstreams.iter().enumerate();
                    let others = others.filter(|(other, _)| *other != index);
                    for (_, other) in others {
                        let state = other.keys[key];
                        self.shared_keys += u32::from(state.held_until > self.now);
                        self.old_epochs += u32::from(state.epoch >= call.epoch);
                    }
                    self.upstreams[index].keys[key] = KeyState {
                        epoch: call.epoch,
                        held_until,
                    };
                }
                CallReply::Granted
            }
        }
    }

    fn count_holders(&mut self) {
        for key in 0..CHECKED_KEYS {
            let mut states = self.upstreams.iter().map(|upstream| upstream.keys[key]);
            if states.any(|state| state.held_until > self.now) {
                self.held_steps += 1;
            } else {
                self.unheld_steps += 1;
            }
        }
    }
}

/// Guards against keys that are given out anew, or renewed at an earlier holder, while
/// another upstream holds them.
#[rstest]
#[case::all_faults(ALL_FAULTS)]
#[case::hosts_stay(FaultRates { host_loss: 0, loss_of_all: 0, ..ALL_FAULTS })]
#[case::all_hosts_forget(FaultRates { host_loss: 0, loss_of_all: 50, ..ALL_FAULTS })]
#[case::frequent_restores(FaultRates { restore: 20, ..ALL_FAULTS })]
fn take_over_after_restores_shares_no_key(
    #[case] rates: FaultRates,
    #[values(0, 1_000, 2_000, 3_000)] first_seed: u64,
) {
    let (mut restores, mut resumptions, mut takeovers) = (0, 0, 0);
    for seed in first_seed..first_seed + PART_SEEDS {
        let play = Play::new(seed, Missing::Nothing, rates).run();
        assert_eq!((play.shared_keys, play.old_epochs), (0, 0), "seed {seed}");
        restores += play.restores;
        resumptions += play.resumptions;
        takeovers += play.takeovers;
    }
    assert!(
        restores > 200 && resumptions > 100 && takeovers > 100,
        "{restores} {resumptions} {takeovers}"
    );
}

/// Shows that the plays reach the faults: without one of these protections, keys have two
/// holders.
#[rstest]
fn take_over_without_a_protection_shares_keys(
    #[values(Missing::Era, Missing::Fence)] missing: Missing,
) {
    let rates = FaultRates {
        upstream_change: 15,
        store_cut: 15,
        ..ALL_FAULTS
    };
    let plays = (0..4 * PART_SEEDS).map(|seed| Play::new(seed, missing, rates).run());
    let broken = plays.filter(|play| play.shared_keys > 0).count();
    assert!(broken > 5, "{broken} plays");
}

/// A leader that does not reach the store grants keys for as long as its lease allows. A
/// host that has forgotten it, and finds a lease from before, must not lead meanwhile.
#[rstest]
#[case::protected(Missing::Nothing)]
#[case::unprotected(Missing::LeaseEnd)]
fn take_lease_that_has_gone_back_waits_for_the_earlier_one(#[case] missing: Missing) {
    let mut shared_keys = 0;
    for seed in 0..PART_SEEDS {
        let mut play = Play::new(seed, missing, NO_FAULTS);
        play.run_for(Duration::from_secs(4));
        play.add_upstream();
        play.run_for(Duration::from_secs(5));
        let leader = (0..HOSTS).find(|host| play.is_leading(*host));
        let leader = leader.expect("a host leads");
        // Before the upstream joined, and the lease has expired since.
        play.restore(60);
        play.hosts[leader].cut_until = play.now + Duration::from_secs(4);
        // Some of its last grants arrive late.
        play.rates.lost_call = 3;
        let other = (leader + 1) % HOSTS;
        play.restart(other);
        play.hosts[other].down_until = play.now;
        play.run_for(Duration::from_secs(20));
        shared_keys += play.shared_keys;
    }
    assert_eq!(
        shared_keys > 0,
        missing != Missing::Nothing,
        "{shared_keys}"
    );
}

/// A leader that lives on knows all owners, so that a restore costs callers nothing.
#[test]
fn resume_after_restores_leaves_keys_with_their_holders() {
    let rates = FaultRates {
        restore: 60,
        ..NO_FAULTS
    };
    let (mut restores, mut held, mut unheld) = (0, 0, 0);
    for seed in 0..PART_SEEDS {
        let play = Play::new(seed, Missing::Nothing, rates).run();
        restores += play.restores;
        held += play.held_steps;
        unheld += play.unheld_steps;
        assert_eq!(play.takeovers, 1, "seed {seed}");
    }
    // Until the first grants, which take less than a second of 40, no key has a holder.
    let max_unheld = (held + unheld) / 40;
    assert!(
        restores > 200 && unheld < max_unheld,
        "{restores} {held} {unheld}"
    );
}
