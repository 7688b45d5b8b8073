//! No epoch is used twice, and no term is taken twice, whatever happens to the store, the
//! leaders and the hosts: a store that is restored from a copy issues its versions again,
//! and with them the row that tells the last term.

use fastrand::Rng;
use grant::{
    CallKind, CallReply, GrantCall, GrantLedger, GrantTiming, Holder, KeyLoads, OwnerCandidate,
    OwnerMap, PreviousTerm, TermFloor,
};
use indexmap::IndexMap;
use kernel::Moment;
use rstest::rstest;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(100);
/// Steps of one play, 15 s.
const STEPS: usize = 150;
const HOSTS: usize = 4;
/// Seeds of one part of a test; four parts run beside each other.
const PART_SEEDS: u64 = 250;
/// Maximum age of the copy from which the store is restored, in steps.
const MAX_COPY_AGE: usize = 60;

/// The knowledge that a play has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Knowledge {
    /// The store tells its era, and all hosts may restart at once.
    Era,
    /// The store tells no era; some host always remembers the terms.
    Messages,
    /// Hosts know only what the store's rows tell, as before there was a floor.
    Rows,
}

/// The rows of the store.
#[derive(Clone, Debug, Default)]
struct StoredRows {
    version: u64,
    term: u64,
    owners: OwnerMap,
}

struct Leader {
    host: usize,
    term: u64,
    version: u64,
    era: u64,
    ledger: GrantLedger,
}

struct Play {
    rng: Rng,
    knowledge: Knowledge,
    now: Moment,
    rows: StoredRows,
    era: u64,
    copies: Vec<StoredRows>,
    floors: Vec<TermFloor>,
    leader: Option<Leader>,
    candidates: Vec<OwnerCandidate>,
    next_run: u64,
    /// Keys and epochs of the grants that each upstream has seen.
    seen_grants: Vec<(Holder, u16, u16, u64)>,
    /// The holder to which each epoch was granted.
    epoch_holders: IndexMap<u64, Holder>,
    taken_terms: Vec<u64>,
    restores: u32,
    reused_epochs: u32,
    reused_terms: u32,
}

impl Play {
    fn new(seed: u64, knowledge: Knowledge) -> Self {
        let mut play = Self {
            rng: Rng::with_seed(seed),
            knowledge,
            now: Moment::from_millis(10_000),
            rows: StoredRows::default(),
            era: 1,
            copies: Vec::new(),
            floors: vec![TermFloor::default(); HOSTS],
            leader: None,
            candidates: Vec::new(),
            next_run: 0,
            seen_grants: Vec::new(),
            epoch_holders: IndexMap::new(),
            taken_terms: Vec::new(),
            restores: 0,
            reused_epochs: 0,
            reused_terms: 0,
        };
        for _ in 0..4 {
            play.add_upstream();
        }
        play
    }

    fn add_upstream(&mut self) {
        self.next_run += 1;
        let name = format!("i-{}", self.next_run);
        let candidate = OwnerCandidate::new(&name, self.next_run, 4.0);
        self.candidates.push(candidate);
    }

    fn run(mut self) -> Self {
        for _ in 0..STEPS {
            self.now = self.now + STEP;
            if self.copies.len() == MAX_COPY_AGE {
                self.copies.remove(0);
            }
            self.copies.push(self.rows.clone());
            self.inject_faults();
            self.exchange_reports();
            if self.leader.is_none() && self.rng.u8(..4) == 0 {
                self.take_lease();
            }
            self.step_leader();
        }
        self
    }

    fn inject_faults(&mut self) {
        match self.rng.u32(..200) {
            0..20 => {
                let index = self.rng.usize(..self.candidates.len());
                self.candidates.remove(index);
                self.add_upstream();
            }
            20..26 => self.leader = None,
            26..32 => {
                let host = self.rng.usize(..HOSTS);
                self.restart(host);
            }
            32..35 if self.knowledge != Knowledge::Messages => {
                (0..HOSTS).for_each(|host| self.restart(host));
            }
            35..43 => {
                let age = self.rng.usize(1..=MAX_COPY_AGE).min(self.copies.len());
                self.rows = self.copies[self.copies.len() - age].clone();
                self.era += 1;
                self.restores += 1;
            }
            _ => {}
        }
    }

    fn restart(&mut self, host: usize) {
        self.floors[host] = TermFloor::default();
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.host == host)
        {
            self.leader = None;
        }
        // The others report to the next leader, or tell the host, before it may lead.
        if self.knowledge == Knowledge::Messages {
            let known = self.floors.iter().map(TermFloor::greatest);
            let known = known.max().unwrap_or_default();
            self.floors[host].record_term(known);
        }
    }

    /// Hosts and the leader tell each other the greatest terms. A leader announces its term
    /// before it grants keys.
    fn exchange_reports(&mut self) {
        let Some(leader) = self
            .leader
            .as_ref()
            .filter(|_| self.knowledge != Knowledge::Rows)
        else {
            return;
        };
        for host in 0..HOSTS {
            let greatest = self.floors[host].greatest();
            self.floors[leader.host].record_term(greatest);
            let greatest = self.floors[leader.host].greatest();
            self.floors[host].record_term(greatest);
        }
    }

    fn era_header(&self) -> u64 {
        if self.knowledge == Knowledge::Era {
            self.era
        } else {
            0
        }
    }

    fn take_lease(&mut self) {
        let host = self.rng.usize(..HOSTS);
        let era = self.era_header();
        if self.knowledge == Knowledge::Rows {
            self.floors[host] = TermFloor::default();
        }
        let floor = &mut self.floors[host];
        floor.record_term(self.rows.term);
        floor.record_epoch(self.rows.owners.greatest_epoch());
        floor.record_era(era);
        let term = floor.next_term();
        floor.record_term(term);
        self.record_taken(term);
        self.rows.version += 1;
        self.rows.term = term;
        let mut ledger = GrantLedger::new(GrantTiming::default(), term);
        ledger.adopt(self.now, self.rows.owners.clone(), PreviousTerm::default());
        self.leader = Some(Leader {
            host,
            term,
            version: self.rows.version,
            era,
            ledger,
        });
        self.exchange_reports();
    }

    fn record_taken(&mut self, term: u64) {
        self.reused_terms += u32::from(self.taken_terms.contains(&term));
        self.taken_terms.push(term);
    }

    fn step_leader(&mut self) {
        let Some(mut leader) = self.leader.take() else {
            return;
        };
        // A write whose answer comes from another era, or that meets another version, ends
        // the term.
        let is_current = leader.version == self.rows.version && leader.era == self.era_header();
        if !is_current && self.rng.bool() {
            return;
        }
        let floor = self.floors[leader.host];
        if is_current && floor.greatest() > leader.term && self.knowledge != Knowledge::Rows {
            leader.term = floor.next_term();
            self.record_taken(leader.term);
            self.floors[leader.host].record_term(leader.term);
            self.rows.term = leader.term;
            self.rows.version += 1;
            leader.version = self.rows.version;
            leader.ledger.raise_term(leader.term);
            for floor in &mut self.floors {
                floor.record_term(leader.term);
            }
        }
        let step = leader
            .ledger
            .step(self.now, &self.candidates, &KeyLoads::default());
        for call in step.calls {
            let reply = self.apply_call(&call);
            if reply == CallReply::Superseded {
                self.floors[leader.host].record_superseded(call.epoch);
            }
            leader.ledger.record_reply(self.now, &call, reply);
        }
        if let Some(map) = step.commit {
            if is_current {
                self.rows.owners = map;
                self.rows.version += 1;
                leader.version = self.rows.version;
            }
            leader.ledger.record_commit(self.now, is_current);
        }
        self.leader = Some(leader);
    }

    fn apply_call(&mut self, call: &GrantCall) -> CallReply {
        if !matches!(call.kind, CallKind::Grant { .. }) {
            return match call.kind {
                CallKind::Release => CallReply::Released(None),
                _ => CallReply::Reached,
            };
        }
        let known = self.epoch_holders.entry(call.epoch);
        let holder = known.or_insert_with(|| call.holder.clone());
        self.reused_epochs += u32::from(*holder != call.holder);
        let is_superseded = self.seen_grants.iter().any(|(holder, first, last, epoch)| {
            let overlaps = *first <= call.last && call.first <= *last;
            *holder == call.holder && overlaps && *epoch > call.epoch
        });
        if is_superseded {
            return CallReply::Superseded;
        }
        let seen = (call.holder.clone(), call.first, call.last, call.epoch);
        if !self.seen_grants.contains(&seen) {
            self.seen_grants.push(seen);
        }
        CallReply::Granted
    }
}

/// Guards against epochs that two holders of a key have: the older one's requests would
/// pass for the newer one's.
#[rstest]
fn next_term_under_restores_uses_no_epoch_twice(
    #[values(Knowledge::Era, Knowledge::Messages)] knowledge: Knowledge,
    #[values(0, 1_000, 2_000, 3_000)] first_seed: u64,
) {
    let (mut restores, mut leaders, mut epochs) = (0, 0, 0);
    for seed in first_seed..first_seed + PART_SEEDS {
        let play = Play::new(seed, knowledge).run();
        assert_eq!(
            (play.reused_epochs, play.reused_terms),
            (0, 0),
            "seed {seed}"
        );
        restores += play.restores;
        leaders += play.taken_terms.len();
        epochs += play.epoch_holders.len();
    }
    assert!(
        restores > 1_000 && leaders > 1_200 && epochs > 1_200,
        "{restores} {leaders} {epochs}"
    );
}

/// Shows that the plays reach the fault: without the floor, terms and epochs are used
/// again.
#[test]
fn next_term_from_the_rows_alone_uses_epochs_twice() {
    let plays = (0..PART_SEEDS).map(|seed| Play::new(seed, Knowledge::Rows).run());
    let (mut epochs, mut terms) = (0, 0);
    for play in plays {
        epochs += play.reused_epochs;
        terms += play.reused_terms;
    }
    assert!(epochs > 25 && terms > 125, "{epochs} {terms}");
}

#[test]
fn next_term_is_above_everything_that_is_known() {
    let mut floor = TermFloor::default();
    assert_eq!(floor.next_term(), 1);
    floor.record_term(7);
    floor.record_term(3);
    assert_eq!(floor.next_term(), 8);
    floor.record_epoch((9 << 24) + 5);
    assert_eq!(floor.next_term(), 10);
    floor.record_superseded((9 << 24) + 5);
    assert_eq!(floor.next_term(), 11);
    floor.record_era(2);
    assert_eq!(floor.next_term(), (2 << 20) + 1);
}
