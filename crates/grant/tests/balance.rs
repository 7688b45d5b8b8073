//! Keys follow the load, and ranges stay few.

use grant::{
    CallKind, CallReply, GrantLedger, GrantTiming, KeyLoads, LeaderLease, LeaseClaimant, LeaseRow,
    OwnerCandidate, OwnerMap, PreviousTerm,
};
use indexmap::IndexMap;
use kernel::Moment;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(50);

/// A ledger whose calls are all answered at once.
struct Deal {
    ledger: GrantLedger,
    now: Moment,
    moved: u32,
}

impl Deal {
    fn new() -> Self {
        let mut ledger = GrantLedger::new(GrantTiming::default(), 1);
        let now = Moment::from_millis(10_000);
        ledger.adopt(now, OwnerMap::default(), PreviousTerm::default());
        Self {
            ledger,
            now,
            moved: 0,
        }
    }

    fn run(&mut self, candidates: &[OwnerCandidate], loads: &KeyLoads, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            let step = self.ledger.step(self.now, candidates, loads);
            for call in step.calls {
                let reply = match call.kind {
                    CallKind::Grant { .. } => CallReply::Granted,
                    CallKind::Release => {
                        self.moved += 1;
                        CallReply::Released(None)
                    }
                    CallKind::Probe => CallReply::Reached,
                };
                self.ledger.record_reply(self.now, &call, reply);
            }
            if step.commit.is_some() {
                self.ledger.record_commit(self.now, true);
            }
        }
    }

    /// Returns the load of each upstream as a multiple of its fair share.
    fn excess(&self, candidates: &[OwnerCandidate], loads: &KeyLoads) -> IndexMap<String, f64> {
        let whole: f64 = candidates.iter().map(|candidate| candidate.capacity).sum();
        let mut shares = IndexMap::new();
        for candidate in candidates {
            let mut share = 0.0;
            for range in &self.ledger.map().ranges {
                if range.owner.as_ref() == Some(&candidate.holder) {
                    share += loads.share(range.first, range.last);
                }
            }
            let name = candidate.holder.upstream.as_str().to_owned();
            shares.insert(name, share * whole / candidate.capacity);
        }
        shares
    }
}

fn candidates(speeds: &[f64]) -> Vec<OwnerCandidate> {
    let numbered = speeds.iter().enumerate();
    numbered
        .map(|(index, speed)| OwnerCandidate::new(&format!("i-{index}"), 1, 4.0 * speed))
        .collect()
}

/// Busy keys close to one another, as on the users' sheets.
fn skewed() -> KeyLoads {
    let mut loads = KeyLoads::default();
    for key in 0..=u16::MAX {
        let distance = (i32::from(key) - 64_800).unsigned_abs();
        loads.record(key, 1.0 / (1.0 + distance as f32 / 40.0).powf(0.7));
    }
    loads
}

#[test]
fn step_skewed_load_on_unequal_upstreams_is_evened_out() {
    let upstreams = candidates(&[0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 1.0, 1.0, 1.0]);
    let loads = skewed();
    let mut deal = Deal::new();
    deal.run(&upstreams, &KeyLoads::default(), Duration::from_secs(1));
    let before = deal.excess(&upstreams, &loads);
    deal.run(&upstreams, &loads, Duration::from_secs(6));
    let after = deal.excess(&upstreams, &loads);
    let worst = |excess: &IndexMap<String, f64>| excess.values().copied().fold(0.0, f64::max);
    assert!(worst(&before) > 2.0, "{before:?}");
    assert!(worst(&after) < 1.35, "{after:?}");
}

#[test]
fn step_hot_key_goes_to_the_strongest_and_the_rest_is_evened_out() {
    let upstreams = candidates(&[0.7, 0.7, 1.6, 0.7, 0.7, 1.0]);
    let mut loads = KeyLoads::default();
    for key in 0..=u16::MAX {
        loads.record(key, 1.0);
    }
    loads.record(1_000, 65_536.0);
    let mut deal = Deal::new();
    deal.run(&upstreams, &KeyLoads::default(), Duration::from_secs(1));
    deal.run(&upstreams, &loads, Duration::from_secs(8));
    let map = deal.ledger.map();
    let owner = map
        .find(1_000)
        .and_then(|range| range.owner.clone())
        .expect("owned");
    assert_eq!(owner.upstream.as_str(), "i-2");
    let rest: f64 = map
        .ranges
        .iter()
        .filter(|range| range.owner.as_ref() == Some(&owner) && range.first > 1_100)
        .map(|range| loads.share(range.first, range.last))
        .sum();
    assert!(rest < 0.05, "{rest}");
    let excess = deal.excess(&upstreams, &loads);
    let others = excess.iter().filter(|(name, _)| *name != "i-2");
    let others: Vec<f64> = others.map(|(_, excess)| *excess).collect();
    let (least, most) = others
        .iter()
        .fold((f64::MAX, 0.0), |(least, most): (f64, f64), one| {
            (least.min(*one), most.max(*one))
        });
    assert!(most < least * 2.0, "{excess:?}");
}

#[test]
fn step_moving_load_keeps_ranges_few() {
    let upstreams = candidates(&[1.0; 20]);
    let mut deal = Deal::new();
    deal.run(&upstreams, &KeyLoads::default(), Duration::from_secs(1));
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..40 {
        let mut loads = KeyLoads::default();
        for _ in 0..30 {
            loads.record(rng.u16(..), 1_000.0);
        }
        deal.run(&upstreams, &loads, Duration::from_secs(3));
        let count = deal.ledger.map().ranges.len();
        assert!(count <= 20 * 3 + 21 * 2 + 4, "{count} ranges");
        assert!(deal.ledger.map().is_complete());
    }
    assert!(deal.moved > 40);
}

#[test]
fn step_joining_upstream_soon_gets_its_share() {
    let mut upstreams = candidates(&[1.0; 5]);
    let loads = KeyLoads::default();
    let mut deal = Deal::new();
    deal.run(&upstreams, &loads, Duration::from_secs(2));
    upstreams.push(OwnerCandidate::new("i-new", 1, 4.0));
    deal.run(&upstreams, &loads, Duration::from_secs(3));
    let excess = deal.excess(&upstreams, &loads);
    assert!(excess["i-new"] > 0.5, "{excess:?}");
}

#[test]
fn step_losses_in_a_large_service_keep_the_row_small() {
    // The store's limit of 64 KB is on the base64 of the row.
    const MOST_ROW_BYTES: usize = 48 << 10;
    let mut upstreams = candidates(&[1.0; 254]);
    let mut deal = Deal::new();
    let mut rng = fastrand::Rng::with_seed(9);
    for round in 0..30 {
        let mut loads = KeyLoads::default();
        for _ in 0..200 {
            loads.record(rng.u16(..), 1_000.0);
        }
        deal.run(&upstreams, &loads, Duration::from_secs(2));
        for number in 0..30 {
            let index = rng.usize(..upstreams.len());
            upstreams[index] = {
                let name = format!("i-{round:04x}{number:06x}");
                OwnerCandidate::new(&name, 1_796_382_157_487, 4.0)
            };
        }
        deal.run(&upstreams, &loads, Duration::from_millis(100));
        let row = deal.ledger.map().to_row();
        assert!(
            row.len() < MOST_ROW_BYTES,
            "{} bytes in round {round}",
            row.len()
        );
    }
}

#[test]
fn with_changes_rebuilds_every_later_map() {
    let upstreams = candidates(&[0.7, 1.6, 1.0, 1.0]);
    let mut deal = Deal::new();
    deal.run(&upstreams, &KeyLoads::default(), Duration::from_secs(1));
    let mut earlier = deal.ledger.map().clone();
    for _ in 0..20 {
        deal.run(&upstreams, &skewed(), Duration::from_millis(300));
        let present = deal.ledger.map();
        let changes = present.changes_since(&earlier);
        assert_eq!(earlier.with_changes(&changes), *present);
        earlier = present.clone();
    }
}

#[test]
fn owner_map_survives_its_row() {
    let upstreams = candidates(&[0.7, 1.6, 1.0]);
    let mut deal = Deal::new();
    deal.run(&upstreams, &skewed(), Duration::from_secs(2));
    let row = deal.ledger.map().to_row();
    let decoded = OwnerMap::from_row(&row).expect("decoded");
    assert_eq!(decoded, *deal.ledger.map());
}

fn row(expires_ms: u64) -> LeaseRow {
    LeaseRow {
        term: 3,
        host: "front-1".to_owned(),
        run: 7,
        address: "127.0.0.1:7200".to_owned(),
        expires_ms,
        is_clean: false,
        held_for_ms: None,
        hosts: 2,
        standbys: Vec::new(),
    }
}

fn claimant(host: &str, run: u64) -> LeaseClaimant<'_> {
    LeaseClaimant {
        host,
        address: "127.0.0.1:7200",
        run,
    }
}

#[test]
fn may_be_taken_waits_for_the_lease_of_another_host() {
    let other = claimant("front-2", 9);
    assert!(!row(5_000).is_available_to(&other, 4_999));
    assert!(row(5_000).is_available_to(&other, 5_000));
}

#[test]
fn may_be_taken_at_once_by_a_later_run_of_the_same_host() {
    assert!(row(5_000).is_available_to(&claimant("front-1", 8), 1_000));
    assert!(!row(5_000).is_available_to(&claimant("front-1", 7), 1_000));
}

#[test]
fn is_of_tells_hosts_apart_that_drew_the_same_run() {
    assert!(row(5_000).belongs_to(&claimant("front-1", 7)));
    assert!(!row(5_000).belongs_to(&claimant("front-1", 8)));
    let other = claimant("front-2", 7);
    assert!(!row(5_000).belongs_to(&other));
    assert!(!row(5_000).is_available_to(&other, 4_999));
}

#[test]
fn expiry_is_never_before_the_leader_has_given_up() {
    // The call that read the clock took 900 ms; the store read it at the very end.
    let mut term = LeaderLease::default();
    let read_sent = Moment::from_millis(1_000);
    let store_at_answer = 50_900;
    term.record_store_time(read_sent, store_at_answer);
    let asked_at = Moment::from_millis(2_000);
    let lease = Duration::from_secs(2);
    let expiry_ms = term.expiry_ms(asked_at, lease).expect("read");
    term.record_acquired(asked_at, lease);
    let until = term.valid_until().expect("taken");
    // The store's clock stood at 50,900 when this host's stood at 1,900.
    let store_at_end = 50_900 + (until - Moment::from_millis(1_900)).as_millis() as u64;
    assert!(store_at_end <= expiry_ms, "{store_at_end} {expiry_ms}");
    assert!(!term.is_valid(until));
}
