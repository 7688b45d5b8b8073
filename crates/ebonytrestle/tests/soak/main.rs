//! A seeded soak of the real program as separate processes, under faults that come
//! from outside: signals, relays that lose or delay bytes, a store that misbehaves.
//!
//! The promises are checked while it runs, from what clients and upstreams see. A
//! short run is part of the tests; more seeds are run by hand:
//!
//!     SOAK_SEEDS=100..150 SOAK_SECONDS=20 cargo test -p ebonytrestle --test soak -- --ignored

mod checks;
mod clients;
mod faults;
mod fleet;
#[allow(dead_code, reason = "the platform's own tests use more of it")]
#[path = "../../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use async_std::task::block_on;
use checks::Findings;
use fleet::{FleetSize, SoakFleet};
use rstest::rstest;
use std::time::Duration;

/// For which faults come in the run that is part of the tests.
const SHORT: Duration = Duration::from_secs(10);
/// Runs that go on at a time when many are run by hand.
const AT_A_TIME: usize = 3;
/// Seeds that are run by hand when none are named.
const USUAL_SEEDS: std::ops::Range<u64> = 1..51;

async fn soak(seed: u64, span: Duration, size: FleetSize) -> Findings {
    let fleet = SoakFleet::start(seed, size).await;
    fleet.wait_until_serving().await;
    let clients = clients::start(&fleet);
    let watch = checks::watch_owners(&fleet);
    faults::play(&fleet, seed, span).await;
    fleet.heal();
    let served = checks::measure_recovery(&fleet).await;
    let records = clients.stop().await;
    let overlaps = watch.stop().await;
    let findings = checks::judge(&fleet, records, overlaps, served);
    fleet.stop(findings.is_clean());
    println!("seed={seed} {findings}");
    findings
}

#[rstest]
// The first seed, and those that have failed, each with its cause.
#[case::first(1)]
fn soak_short_run_keeps_every_promise(#[case] seed: u64) {
    let findings = block_on(soak(seed, SHORT, FleetSize::SMALL));
    assert!(findings.is_clean(), "{findings}");
}

#[rstest]
#[case::with_a_signal(true)]
#[case::without_a_signal(false)]
fn reload_puts_changed_settings_in_force(#[case] is_signalled: bool) {
    block_on(async {
        let size = FleetSize {
            hosts: 1,
            keyed: 1,
            plain: 1,
        };
        let fleet = SoakFleet::start(1_000 + u64::from(is_signalled), size).await;
        fleet.wait_until_serving().await;
        let host = &fleet.hosts[0];
        host.change_settings(|settings| settings["terms"]["bounds"]["drain_ms"] = 900.into());
        if is_signalled {
            host.signal(rustix::process::Signal::HUP);
        }
        let changed = "state=reloaded changed=true bounds=FrontBounds { drain: 900ms";
        host.wait_for_line(changed, Duration::from_secs(5)).await;
        // A file that can't be read changes nothing and is told of.
        host.break_settings();
        host.wait_for_line("reload refused", Duration::from_secs(5))
            .await;
        assert!(host.is_ready().await);
        fleet.stop(true);
    });
}

#[test]
#[ignore = "takes minutes; run by hand with SOAK_SEEDS and SOAK_SECONDS"]
fn soak_many_seeds_keep_every_promise() {
    let seeds = std::env::var("SOAK_SEEDS").ok().and_then(|text| {
        let (first, end) = text.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    });
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds.and_then(|text| text.parse().ok()).unwrap_or(20);
    let size = match std::env::var("SOAK_SIZE").as_deref() {
        Ok("large") => FleetSize::LARGE,
        _ => FleetSize::SMALL,
    };
    let (sender, seeds_left) = async_channel::unbounded();
    for seed in seeds.unwrap_or(USUAL_SEEDS) {
        sender.try_send(seed).expect("unbounded");
    }
    sender.close();
    let run_some = || async {
        let mut failed = Vec::new();
        while let Ok(seed) = seeds_left.recv().await {
            let findings = soak(seed, Duration::from_secs(seconds), size).await;
            if !findings.is_clean() {
                failed.push(seed);
            }
        }
        failed
    };
    let lanes = (0..AT_A_TIME).map(|_| run_some());
    let failed: Vec<u64> = block_on(futures::future::join_all(lanes)).concat();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
