//! Seeded soak test of the program in separate processes under external faults:
//! signals, relays that discard or delay bytes, and store failures.
//!
//! The guarantees are checked during and after a run, from what clients and upstreams
//! observe. A short run is part of the test suite; more seeds are run by hand:
//!
//!     SOAK_SEEDS=100..150 SOAK_SECONDS=20 SOAK_RELAY=on cargo test -p ebonytrestle --test soak -- --ignored

mod checks;
mod clients;
mod faults;
mod fleet;
#[allow(
    dead_code,
    reason = "shared with the tests of the platform crate, which use more of it"
)]
#[path = "../../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use async_std::task::block_on;
use checks::Findings;
use fleet::{Fleet, FleetSize};
use rstest::rstest;
use std::time::Duration;

/// Time during which faults are injected in the run of the test suite.
const SHORT_RUN: Duration = Duration::from_secs(10);
/// Number of concurrent runs when many seeds are run by hand.
const MAX_CONCURRENT_RUNS: usize = 3;
/// Seeds that are run by hand if `SOAK_SEEDS` is not set.
const DEFAULT_SEEDS: std::ops::Range<u64> = 1..51;

async fn soak(
    seed: u64,
    duration: Duration,
    size: FleetSize,
    relay_mode: &'static str,
) -> Findings {
    let fleet = Fleet::start(seed, size, relay_mode).await;
    fleet.wait_until_serving().await;
    let clients = clients::start(&fleet);
    let ownership_watch = checks::watch_owners(&fleet);
    faults::inject_faults(&fleet, seed, duration).await;
    fleet.end_faults();
    let served_share = checks::measure_recovery(&fleet).await;
    let records = clients.stop().await;
    let ownership_overlaps = ownership_watch.stop().await;
    let findings = checks::check_run(&fleet, records, ownership_overlaps, served_share);
    fleet.stop(findings.is_clean());
    println!("seed={seed} {findings}");
    findings
}

#[rstest]
// The first seed, and seeds that have failed before, each named after its cause.
#[case::first(1, "off")]
#[case::relaying(2, "on")]
fn soak_short_run_has_no_violation(#[case] seed: u64, #[case] relay_mode: &'static str) {
    let findings = block_on(soak(seed, SHORT_RUN, FleetSize::SMALL, relay_mode));
    assert!(findings.is_clean(), "{findings}");
}

#[rstest]
#[case::with_signal(true)]
#[case::without_signal(false)]
fn reload_applies_changed_settings(#[case] sends_signal: bool) {
    block_on(async {
        let size = FleetSize {
            hosts: 1,
            sharded: 1,
            plain: 1,
        };
        let fleet = Fleet::start(1_000 + u64::from(sends_signal), size, "off").await;
        fleet.wait_until_serving().await;
        let host = &fleet.hosts[0];
        host.change_settings(|settings| settings["terms"]["bounds"]["drain_ms"] = 900.into());
        if sends_signal {
            host.signal(rustix::process::Signal::HUP);
        }
        let changed = "state=reloaded changed=true bounds=FrontBounds { drain: 900ms";
        host.wait_for_line(changed, Duration::from_secs(5)).await;
        // An invalid file changes nothing and is logged.
        host.break_settings();
        host.wait_for_line("reload refused", Duration::from_secs(5))
            .await;
        assert!(host.is_ready().await);
        fleet.stop(true);
    });
}

#[test]
#[ignore = "takes minutes; run by hand with SOAK_SEEDS and SOAK_SECONDS"]
fn soak_many_seeds_have_no_violation() {
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
    let relay_mode = match std::env::var("SOAK_RELAY").as_deref() {
        Ok("on") => "on",
        Ok("auto") => "auto",
        _ => "off",
    };
    let (sender, remaining_seeds) = async_channel::unbounded();
    for seed in seeds.unwrap_or(DEFAULT_SEEDS) {
        sender.try_send(seed).expect("unbounded");
    }
    sender.close();
    let run_worker = || async {
        let mut failed = Vec::new();
        while let Ok(seed) = remaining_seeds.recv().await {
            let findings = soak(seed, Duration::from_secs(seconds), size, relay_mode).await;
            if !findings.is_clean() {
                failed.push(seed);
            }
        }
        failed
    };
    let workers = (0..MAX_CONCURRENT_RUNS).map(|_| run_worker());
    let failed: Vec<u64> = block_on(futures::future::join_all(workers)).concat();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
