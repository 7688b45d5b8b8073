//! Balancing of keys by load, the number of ranges, and the leader's lease.

use grant::{
    CallKind, CallReply, GrantLedger, GrantTiming, KeyLoads, LeaderLease, LeaseClaimant, LeaseRow,
    OwnerCandidate, OwnerMap, PreviousTerm,
};
use indexmap::IndexMap;
use kernel::Moment;
use rstest::rstest;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(50);

/// Drives a ledger whose calls and writes all succeed at once.
struct LedgerDriver {
    ledger: GrantLedger,
    now: Moment,
    release_count: u32,
}

impl LedgerDriver {
    fn new() -> Self {
        let mut ledger = GrantLedger::new(GrantTiming::default(), 1);
        let now = Moment::from_millis(10_000);
        ledger.adopt(now, OwnerMap::default(), PreviousTerm::default());
        Self {
            ledger,
            now,
            release_count: 0,
        }
    }

    fn run(&mut self, candidates: &[OwnerCandidate], loads: &KeyLoads, duration: Duration) {
        let ends_at = self.now + duration;
        while self.now < ends_at {
            self.now = self.now + STEP;
            let step = self.ledger.step(self.now, candidates, loads);
            for call in step.calls {
                let reply = match call.kind {
                    CallKind::Grant { .. } => CallReply::Granted,
                    CallKind::Release => {
                        self.release_count += 1;
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
    fn load_ratios(
        &self,
        candidates: &[OwnerCandidate],
        loads: &KeyLoads,
    ) -> IndexMap<String, f64> {
        let total_capacity: f64 = candidates.iter().map(|candidate| candidate.capacity).sum();
        let mut shares = IndexMap::new();
        for candidate in candidates {
            let mut share = 0.0;
            for range in &self.ledger.map().ranges {
                if range.owner.as_ref() == Some(&candidate.holder) {
                    share += loads.share(range.first, range.last);
                }
            }
            let name = candidate.holder.upstream.as_str().to_owned();
            shares.insert(name, share * total_capacity / candidate.capacity);
        }
        shares
    }
}

fn candidates(speeds: &[f64]) -> Vec<OwnerCandidate> {
    let indexed = speeds.iter().enumerate();
    indexed
        .map(|(index, speed)| OwnerCandidate::new(&format!("i-{index}"), 1, 4.0 * speed))
        .collect()
}

/// Builds candidates that can each do `rate` requests a second at speed 1.
fn candidates_with_rate(speeds: &[f64], rate: f64) -> Vec<OwnerCandidate> {
    let mut candidates = candidates(speeds);
    for (candidate, speed) in candidates.iter_mut().zip(speeds) {
        candidate.max_rate = Some(rate * speed);
    }
    candidates
}

/// Builds loads of `rate` requests a second, spread evenly over all keys.
fn even_loads(rate: f32) -> KeyLoads {
    let mut loads = KeyLoads::default();
    add_requests(&mut loads, (0, u16::MAX), rate);
    // The counts of a steady rate in which half of each counts after a second.
    loads.decay(Duration::ZERO, Duration::from_secs(1));
    loads
}

/// Adds `rate` requests a second for some adjacent keys.
fn add_requests(loads: &mut KeyLoads, (first, last): (u16, u16), rate: f32) {
    let keys = f32::from(last) - f32::from(first) + 1.0;
    for key in first..=last {
        loads.record(key, rate / keys / std::f32::consts::LN_2);
    }
}

/// Returns the greatest utilization of any upstream.
fn max_utilization(map: &OwnerMap, candidates: &[OwnerCandidate], loads: &KeyLoads) -> f64 {
    let rate = loads.rate().expect("the loads decay");
    let mut max = 0.0_f64;
    for candidate in candidates {
        let ranges = map.ranges.iter();
        let own = ranges.filter(|range| range.owner.as_ref() == Some(&candidate.holder));
        let share: f64 = own.map(|range| loads.share(range.first, range.last)).sum();
        max = max.max(share * rate / candidate.max_rate.expect("known"));
    }
    max
}

/// Busy keys close to one another, as in the users' sheets.
fn skewed_loads() -> KeyLoads {
    let mut loads = KeyLoads::default();
    for key in 0..=u16::MAX {
        let distance = (i32::from(key) - 64_800).unsigned_abs();
        loads.record(key, 1.0 / (1.0 + distance as f32 / 40.0).powf(0.7));
    }
    loads
}

#[test]
fn step_skewed_load_on_unequal_upstreams_is_balanced() {
    let upstreams = candidates(&[0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 1.0, 1.0, 1.0]);
    let loads = skewed_loads();
    let mut driver = LedgerDriver::new();
    driver.run(&upstreams, &KeyLoads::default(), Duration::from_secs(1));
    let before = driver.load_ratios(&upstreams, &loads);
    driver.run(&upstreams, &loads, Duration::from_secs(6));
    let after = driver.load_ratios(&upstreams, &loads);
    let worst =
        |load_ratios: &IndexMap<String, f64>| load_ratios.values().copied().fold(0.0, f64::max);
    assert!(worst(&before) > 2.0, "{before:?}");
    assert!(worst(&after) < 1.35, "{after:?}");
}

#[test]
fn step_hot_key_goes_to_the_strongest_upstream_and_the_rest_is_balanced() {
    let upstreams = candidates(&[0.7, 0.7, 1.6, 0.7, 0.7, 1.0]);
    let mut loads = KeyLoads::default();
    for key in 0..=u16::MAX {
        loads.record(key, 1.0);
    }
    loads.record(1_000, 65_536.0);
    let mut driver = LedgerDriver::new();
    driver.run(&upstreams, &KeyLoads::default(), Duration::from_secs(1));
    driver.run(&upstreams, &loads, Duration::from_secs(8));
    let map = driver.ledger.map();
    let owner = map
        .range_of(1_000)
        .and_then(|range| range.owner.clone())
        .expect("owned");
    assert_eq!(owner.upstream.as_str(), "i-2");
    let other_share: f64 = map
        .ranges
        .iter()
        .filter(|range| range.owner.as_ref() == Some(&owner) && range.first > 1_100)
        .map(|range| loads.share(range.first, range.last))
        .sum();
    assert!(other_share < 0.05, "{other_share}");
    let load_ratios = driver.load_ratios(&upstreams, &loads);
    let others = load_ratios.iter().filter(|(name, _)| *name != "i-2");
    let others: Vec<f64> = others.map(|(_, ratio)| *ratio).collect();
    let (min, max) = others
        .iter()
        .fold((f64::MAX, 0.0), |(min, max): (f64, f64), ratio| {
            (min.min(*ratio), max.max(*ratio))
        });
    assert!(max < min * 2.0, "{load_ratios:?}");
}

/// Adjacent keys become popular in a large service that has room for them: within two
/// seconds they are spread so that no upstream has more than it can do.
#[rstest]
#[case::many_keys((30_000, 30_199), 455.0)]
#[case::few_keys((30_000, 30_059), 320.0)]
#[case::small_service((30_000, 30_039), 40.0)]
fn step_popular_adjacent_keys_are_spread_until_they_fit(
    #[case] keys: (u16, u16),
    #[case] rate: f32,
) {
    let upstreams = if rate < 100.0 { 15 } else { 300 };
    let speeds: Vec<f64> = [0.5, 1.0, 1.0, 1.5]
        .into_iter()
        .cycle()
        .take(upstreams)
        .collect();
    let upstreams = candidates_with_rate(&speeds, 9.3);
    let calm_rate = 2.0 * speeds.len() as f32;
    let mut loads = even_loads(calm_rate);
    let mut driver = LedgerDriver::new();
    driver.run(&upstreams, &loads, Duration::from_secs(2));
    add_requests(&mut loads, keys, rate);
    let before = max_utilization(driver.ledger.map(), &upstreams, &loads);
    driver.run(&upstreams, &loads, Duration::from_secs(2));
    let after = max_utilization(driver.ledger.map(), &upstreams, &loads);
    assert!(before > 1.5, "{before}");
    assert!(after < 1.0, "{before} {after}");
}

/// An uneven load that fits moves no keys.
#[test]
fn step_uneven_load_with_room_moves_nothing() {
    let upstreams = candidates_with_rate(&[1.0; 15], 33.0);
    let mut loads = even_loads(100.0);
    let mut driver = LedgerDriver::new();
    driver.run(&upstreams, &loads, Duration::from_secs(2));
    add_requests(&mut loads, (10_000, 12_000), 10.0);
    add_requests(&mut loads, (50_000, 50_003), 6.0);
    driver.release_count = 0;
    driver.run(&upstreams, &loads, Duration::from_secs(10));
    assert_eq!(driver.release_count, 0);
}

#[test]
fn step_changing_load_keeps_the_number_of_ranges_low() {
    let upstreams = candidates(&[1.0; 20]);
    let mut driver = LedgerDriver::new();
    driver.run(&upstreams, &KeyLoads::default(), Duration::from_secs(1));
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..40 {
        let mut loads = KeyLoads::default();
        for _ in 0..30 {
            loads.record(rng.u16(..), 1_000.0);
        }
        driver.run(&upstreams, &loads, Duration::from_secs(3));
        let count = driver.ledger.map().ranges.len();
        assert!(count <= 20 * 3 + 21 * 2 + 4, "{count} ranges");
        assert!(driver.ledger.map().is_complete());
    }
    assert!(driver.release_count > 40);
}

#[test]
fn step_new_upstream_soon_gets_its_share() {
    let mut upstreams = candidates(&[1.0; 5]);
    let loads = KeyLoads::default();
    let mut driver = LedgerDriver::new();
    driver.run(&upstreams, &loads, Duration::from_secs(2));
    upstreams.push(OwnerCandidate::new("i-new", 1, 4.0));
    driver.run(&upstreams, &loads, Duration::from_secs(3));
    let load_ratios = driver.load_ratios(&upstreams, &loads);
    assert!(load_ratios["i-new"] > 0.5, "{load_ratios:?}");
}

#[test]
fn step_upstream_losses_in_a_large_service_keep_the_row_small() {
    // The store's limit of 64 KB applies to the base64 of the row.
    const MAX_ROW_BYTES: usize = 48 << 10;
    let mut upstreams = candidates(&[1.0; 254]);
    let mut driver = LedgerDriver::new();
    let mut rng = fastrand::Rng::with_seed(9);
    for round in 0..30 {
        let mut loads = KeyLoads::default();
        for _ in 0..200 {
            loads.record(rng.u16(..), 1_000.0);
        }
        driver.run(&upstreams, &loads, Duration::from_secs(2));
        for number in 0..30 {
            let index = rng.usize(..upstreams.len());
            upstreams[index] = {
                let name = format!("i-{round:04x}{number:06x}");
                OwnerCandidate::new(&name, 1_796_382_157_487, 4.0)
            };
        }
        driver.run(&upstreams, &loads, Duration::from_millis(100));
        let row = driver.ledger.map().to_row();
        assert!(
            row.len() < MAX_ROW_BYTES,
            "{} bytes in round {round}",
            row.len()
        );
    }
}

#[test]
fn with_changes_restores_the_later_map() {
    let upstreams = candidates(&[0.7, 1.6, 1.0, 1.0]);
    let mut driver = LedgerDriver::new();
    driver.run(&upstreams, &KeyLoads::default(), Duration::from_secs(1));
    let mut previous = driver.ledger.map().clone();
    for _ in 0..20 {
        driver.run(&upstreams, &skewed_loads(), Duration::from_millis(300));
        let current = driver.ledger.map();
        let changes = current.changes_since(&previous);
        assert_eq!(previous.with_changes(&changes), *current);
        previous = current.clone();
    }
}

#[test]
fn owner_map_row_round_trip() {
    let upstreams = candidates(&[0.7, 1.6, 1.0]);
    let mut driver = LedgerDriver::new();
    driver.run(&upstreams, &skewed_loads(), Duration::from_secs(2));
    let row = driver.ledger.map().to_row();
    let decoded = OwnerMap::from_row(&row).expect("decoded");
    assert_eq!(decoded, *driver.ledger.map());
}

fn lease_row(expires_ms: u64) -> LeaseRow {
    LeaseRow {
        term: 3,
        host: "front-1".to_owned(),
        run: 7,
        address: "127.0.0.1:7200".to_owned(),
        expires_ms,
        is_clean: false,
        held_for_ms: None,
        fenced_until_ms: None,
        hosts: 2,
        strong_hosts: 2,
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
fn is_available_to_another_host_once_the_lease_has_expired() {
    let other = claimant("front-2", 9);
    assert!(!lease_row(5_000).is_available_to(&other, 4_999));
    assert!(lease_row(5_000).is_available_to(&other, 5_000));
}

#[test]
fn is_available_to_a_later_run_of_the_same_host_at_once() {
    assert!(lease_row(5_000).is_available_to(&claimant("front-1", 8), 1_000));
    assert!(!lease_row(5_000).is_available_to(&claimant("front-1", 7), 1_000));
}

#[test]
fn belongs_to_distinguishes_hosts_with_the_same_run() {
    assert!(lease_row(5_000).belongs_to(&claimant("front-1", 7)));
    assert!(!lease_row(5_000).belongs_to(&claimant("front-1", 8)));
    let other = claimant("front-2", 7);
    assert!(!lease_row(5_000).belongs_to(&other));
    assert!(!lease_row(5_000).is_available_to(&other, 4_999));
}

#[test]
fn expiry_ms_is_not_before_the_end_of_the_leaders_lease() {
    // The call that read the clock took 900 ms; the store read it at the very end.
    let mut lease = LeaderLease::default();
    let read_sent_at = Moment::from_millis(1_000);
    let store_ms_at_answer = 50_900;
    lease.record_store_time(read_sent_at, store_ms_at_answer);
    let requested_at = Moment::from_millis(2_000);
    let duration = Duration::from_secs(2);
    let expiry_ms = lease.expiry_ms(requested_at, duration).expect("read");
    lease.record_acquired(requested_at, duration);
    let ends_at = lease.valid_until().expect("acquired");
    // The store's clock showed 50,900 when this host's clock showed 1,900.
    let store_ms_at_end = 50_900 + (ends_at - Moment::from_millis(1_900)).as_millis() as u64;
    assert!(
        store_ms_at_end <= expiry_ms,
        "{store_ms_at_end} {expiry_ms}"
    );
    assert!(!lease.is_valid(ends_at));
}

/// Guards against a cold upstream that is given more requests than it tolerates, or the
/// busiest keys, and against one that stays without keys once it is warm.
#[test]
fn step_cold_upstream_gets_keys_step_by_step() {
    const RATE: f32 = 200.0;
    let mut upstreams = candidates(&[1.0; 5]);
    let mut loads = KeyLoads::default();
    add_requests(&mut loads, (0, u16::MAX), RATE * 0.8);
    add_requests(&mut loads, (7, 7), RATE * 0.2);
    loads.decay(Duration::ZERO, Duration::from_secs(1));
    let mut driver = LedgerDriver::new();
    driver.run(&upstreams, &loads, Duration::from_secs(2));
    let mut cold = OwnerCandidate::new("i-cold", 1, 4.0);
    cold.cold_rate = Some(3.8);
    upstreams.push(cold);
    let fair_rate = f64::from(RATE) / 6.0;
    driver.run(&upstreams, &loads, Duration::from_secs(3));
    let while_cold = driver.load_ratios(&upstreams, &loads)["i-cold"] * fair_rate;
    assert!((2.0..=3.8 * 1.1).contains(&while_cold), "{while_cold}");
    let holder = driver.ledger.map().range_of(7).expect("complete");
    assert_ne!(holder.owner.as_ref(), Some(&upstreams[5].holder));
    upstreams[5].cold_rate = Some(15.2);
    driver.run(&upstreams, &loads, Duration::from_secs(1));
    let warming = driver.load_ratios(&upstreams, &loads)["i-cold"] * fair_rate;
    assert!((while_cold..=15.2 * 1.1).contains(&warming), "{warming}");
    upstreams[5].cold_rate = None;
    driver.run(&upstreams, &loads, Duration::from_secs(3));
    let warm = driver.load_ratios(&upstreams, &loads)["i-cold"] * fair_rate;
    assert!(warm > 15.0, "{warm}");
}

/// Guards against one upstream that is given nearly all keys where all of them are cold.
#[test]
fn step_all_cold_upstreams_share_the_keys() {
    let mut upstreams = candidates(&[1.0; 6]);
    for upstream in &mut upstreams {
        upstream.cold_rate = Some(3.8);
    }
    let loads = even_loads(200.0);
    let mut driver = LedgerDriver::new();
    driver.run(&upstreams, &loads, Duration::from_secs(3));
    let load_ratios = driver.load_ratios(&upstreams, &loads);
    let is_even = load_ratios.values().all(|ratio| (0.7..1.4).contains(ratio));
    assert!(is_even, "{load_ratios:?}");
}
