//! Upstreams that are found cold without an entry that says so.

use cold::{ColdStates, UpstreamRun};
use kernel::Moment;
use std::time::Duration;

const RUN: UpstreamRun = UpstreamRun {
    upstream: 7,
    run: 1,
};
const COLD_START: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Moment {
    Moment::from_millis(10_000 + ms)
}

/// Guards against full load on an upstream that crashed and started again before its entry
/// arrived, and against a cold upstream for each connection that times out.
#[test]
fn record_reached_after_silence_makes_cold() {
    let mut states = ColdStates::default();
    assert!(!states.record_reached(at(0), RUN, COLD_START));
    let fail = |states: &mut ColdStates, times: &[u64]| {
        for ms in times {
            states.record_unreachable(at(*ms), RUN, false);
        }
    };
    fail(&mut states, &[0, 300]);
    assert!(!states.record_reached(at(1_500), RUN, COLD_START));
    fail(&mut states, &[1_600, 1_700, 1_800]);
    states.record_alive(7);
    assert!(!states.record_reached(at(2_500), RUN, COLD_START));
    fail(&mut states, &[3_000, 3_300, 4_000]);
    assert!(states.record_reached(at(4_100), RUN, COLD_START));
    assert_eq!(states.cold_until(RUN), Some(at(7_100)));
    states.record_unreachable(at(8_000), RUN, true);
    states.record_alive(7);
    assert!(states.record_reached(at(8_100), RUN, COLD_START));
    assert_eq!(states.cold_until(RUN), Some(at(11_100)));
    // A host that rarely uses the upstream learns nothing of its return.
    states.record_unreachable(at(20_000), RUN, true);
    assert!(!states.record_reached(at(60_000), RUN, COLD_START));
}

/// Guards against a warm upstream that passes for cold, as an entry that arrived after the
/// failed connection said that it is warm.
#[test]
fn record_entry_after_a_failure_says_how_cold_the_upstream_is() {
    for (entry_after, run, is_cold) in [(500, 1, true), (1_000, 1, false), (100, 2, false)] {
        let mut states = ColdStates::default();
        states.record_unreachable(at(0), RUN, true);
        let run = UpstreamRun { run, ..RUN };
        states.record_entry(at(entry_after), run);
        assert_eq!(states.record_reached(at(2_000), run, COLD_START), is_cold);
    }
}

/// Guards against an entry from before the silence that ends what the return made cold.
#[test]
fn record_entry_ends_an_assumption_only_some_time_after_the_return() {
    let mut states = ColdStates::default();
    states.record_unreachable(at(0), RUN, true);
    states.record_reached(at(100), RUN, COLD_START);
    states.record_entry(at(300), RUN);
    assert_eq!(states.cold_until(RUN), Some(at(3_100)));
    states.record_entry(at(1_100), RUN);
    assert_eq!(states.cold_until(RUN), None);
}

/// Guards against hosts that prolong a cold time by telling each other of it.
#[test]
fn remaining_of_own_leaves_out_what_peers_told() {
    let mut states = ColdStates::default();
    states.record_peer(at(0), RUN, COLD_START);
    assert!(states.remaining(at(1_000), true).is_empty());
    let told = states.remaining(at(1_000), false);
    assert_eq!(told, [(RUN, Duration::from_secs(2))]);
    assert!(!states.record_peer(at(1_000), RUN, Duration::from_secs(1)));
    states.record_response(at(1_000), RUN, Duration::from_secs(5));
    assert_eq!(states.remaining(at(1_000), true).len(), 1);
    states.record_response(at(2_000), RUN, Duration::ZERO);
    assert_eq!(states.cold_until(RUN), Some(at(6_000)));
}
