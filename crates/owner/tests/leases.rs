//! Lease bounds, row keys and contents, shard hashing and interval checks.

use kernel::{Epoch, Moment, ShardId};
use owner::{
    AssignRow, LeaseReply, LeaseState, RowKey, ShardEntry, ShardGrant, Timing, grant_tag,
    shard_of_key,
};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn reply(boot: u64, clock_ms: u64, until_ms: Option<u64>) -> LeaseReply {
    LeaseReply {
        boot,
        clock_us: clock_ms * 1_000,
        lease_until_us: until_ms.map(|until| until * 1_000),
        held_tag: None,
        busy: Vec::new(),
        running: 0,
    }
}

#[test]
fn usable_until_counts_from_send_time() {
    let timing = Timing::default();
    let mut lease = LeaseState::new(at(1_000), Epoch(1));
    assert_eq!(
        lease.request_lease_end(at(1_000), &timing),
        None,
        "no reading is known yet"
    );
    lease.record_reply(at(1_040), at(1_000), &reply(1, 500, None));
    let until = lease
        .request_lease_end(at(1_040), &timing)
        .expect("a reading is known");
    assert_eq!(until, (500 + timing.lease_ms) * 1_000);
    lease.record_reply(
        at(1_050),
        at(1_040),
        &reply(1, 545, Some(500 + timing.lease_ms)),
    );
    let left = timing.lease_ms - 45;
    assert_eq!(lease.usable_until(), Some(at(1_040 + left)));
    let lapsed_by = lease.lapsed_by(&timing);
    assert!(lapsed_by >= at(1_040 + timing.lease_ms), "{lapsed_by:?}");
}

#[test]
fn lease_of_previous_primary_delays_lapse() {
    let timing = Timing::default();
    let mut lease = LeaseState::new(at(1_000), Epoch(2));
    lease.request_lease_end(at(1_000), &timing);
    lease.record_reply(at(1_010), at(1_000), &reply(1, 500, Some(800)));
    assert!(lease.has_fenced_older_epochs());
    assert!(lease.lapsed_by(&timing) >= at(1_310));
}

#[test]
fn lease_ends_with_upstream_run() {
    let timing = Timing::default();
    let mut lease = LeaseState::new(at(1_000), Epoch(1));
    lease.record_reply(at(1_010), at(1_000), &reply(1, 500, None));
    lease.request_lease_end(at(1_010), &timing);
    lease.record_reply(at(1_030), at(1_020), &reply(2, 10, None));
    assert_eq!(lease.boot(), Some(2));
    assert!(lease.lapsed_by(&timing) <= at(1_030));
}

proptest! {
    /// Whatever the message delays, work is never sent after the upstream's lease has
    /// ended, and the wait for the lease to lapse never ends before the lease does.
    #[test]
    fn lease_bounds_hold_under_delay(
        delays in prop::collection::vec((0_u64..200, 0_u64..200, 1_u64..150), 1..20),
        offset_ms in 0_u64..10_000,
    ) {
        let timing = Timing::default();
        let mut lease = LeaseState::new(at(1_000), Epoch(1));
        let mut now = 1_000;
        let mut upstream_until = None;
        for (request_ms, reply_ms, idle_ms) in delays {
            let requested = lease.request_lease_end(at(now), &timing);
            let received = now + request_ms;
            let clock_ms = received + offset_ms;
            if let Some(until_us) = requested {
                upstream_until = upstream_until.max(Some(until_us / 1_000));
            }
            let answer = reply(1, clock_ms, upstream_until);
            let sent_at = at(now);
            now = received + reply_ms;
            lease.record_reply(at(now), sent_at, &answer);
            if let Some(until_ms) = upstream_until {
                let ends_at = at(until_ms - offset_ms);
                prop_assert!(lease.lapsed_by(&timing) >= ends_at);
                if let Some(usable) = lease.usable_until() {
                    prop_assert!(usable <= ends_at);
                }
            }
            now += idle_ms;
        }
    }

    /// A key's shard is within the count and never changes.
    #[test]
    fn shard_of_key_stays_within_count(key in ".{0,40}", shards in 1_u32..70_000) {
        let shard = shard_of_key(&key, shards);
        prop_assert!(shard.0 < shards);
        prop_assert_eq!(shard, shard_of_key(&key, shards));
    }
}

#[test]
fn shard_of_key_distributes_evenly() {
    let mut counts = [0_u32; 64];
    for number in 0..64_000 {
        counts[shard_of_key(&format!("key-{number}"), 64).0 as usize] += 1;
    }
    let (min, max) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(*min > 850 && *max < 1_150, "{min} to {max}");
}

#[rstest]
#[case::config("config")]
#[case::service("service/mapview")]
#[case::domain("domain/ar-south-a")]
#[case::assign("assign/mapview/ar-south-a")]
fn row_key_round_trips_as_text(#[case] text: &str) {
    assert_eq!(
        RowKey::parse(text).map(|key| key.to_string()),
        Some(text.to_owned())
    );
}

#[rstest]
#[case::unknown("other/x")]
#[case::short("assign/mapview")]
#[case::empty("")]
fn row_key_parse_rejects_invalid_text(#[case] text: &str) {
    assert_eq!(RowKey::parse(text), None);
}

#[test]
fn assign_row_round_trips_as_json() {
    let mut row = AssignRow::default();
    for number in 0..50 {
        let entry = ShardEntry {
            upstream: format!("u{}", number % 3).into(),
            epoch: Epoch(u64::from(number)),
        };
        row.shards.insert(ShardId(number), entry);
    }
    let text = serde_json::to_string(&row).unwrap();
    assert_eq!(serde_json::from_str::<AssignRow>(&text).unwrap(), row);
}

#[test]
fn grant_tag_differs_between_lists() {
    let grant = |shard, epoch| ShardGrant {
        shard: ShardId(shard),
        epoch: Epoch(epoch),
    };
    let service = "mapview".into();
    let one = grant_tag(&service, &[grant(1, 1)]);
    assert_ne!(one, grant_tag(&service, &[grant(1, 2)]));
    assert_ne!(one, grant_tag(&service, &[grant(1, 1), grant(2, 1)]));
    assert_ne!(one, grant_tag(&"other".into(), &[grant(1, 1)]));
}

#[rstest]
#[case::recovery(Timing { silence_ms: 500, ..Timing::default() }, "silence_ms + confirm_ms")]
#[case::heartbeats(Timing { heartbeat_ms: 200, ..Timing::default() }, "silence_ms")]
#[case::lease(Timing { renew_ms: 200, ..Timing::default() }, "lease_ms")]
#[case::margin(Timing { margin_ms: 0, ..Timing::default() }, "margin_ms")]
fn timing_rejects_inconsistent_intervals(#[case] timing: Timing, #[case] field: &str) {
    let errors = timing.validate().unwrap_err();
    assert!(
        errors.iter().any(|error| error.to_string().contains(field)),
        "{errors:?}"
    );
    assert_eq!(Timing::default().validate(), Ok(()));
    assert!(
        Timing::default().lease_duration() > 2 * Duration::from_millis(Timing::default().renew_ms)
    );
}
