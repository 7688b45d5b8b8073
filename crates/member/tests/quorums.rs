//! Quorums of consecutive memberships, and what a confirmation is worth.

use kernel::{HostId, Moment, Version};
use member::{Heartbeat, PeerTable, WITNESS_LIMIT, quorum_size, witness_set};
use proptest::prelude::*;
use std::time::Duration;

fn hosts(count: usize) -> Vec<HostId> {
    (0..count)
        .map(|n| HostId::of_run(&format!("h{n}"), "1"))
        .collect()
}

fn heartbeat(from: &HostId, row_version: u64) -> Heartbeat {
    Heartbeat {
        from: from.clone(),
        domain: "d".into(),
        is_leaving: false,
        row_version: Version(row_version),
        fingerprint: 0,
        sheet_version: Version(0),
        loads: None,
        suspects: Vec::new(),
    }
}

proptest! {
    /// Adding or removing one host changes a witness set by one member at most,
    /// and any two quorums of the two sets share a host.
    #[test]
    fn quorums_of_consecutive_sets_intersect(count in 2_usize..40, subject in 0_usize..40, changed in 0_usize..40) {
        let all = hosts(count + 1);
        let subject = &all[subject % count];
        let removed = &all[changed % (count + 1)];
        prop_assume!(removed != subject);
        let before = witness_set(subject, all.iter());
        let after = witness_set(subject, all.iter().filter(|host| *host != removed));
        let common = before.iter().filter(|host| after.contains(host)).count();
        let differing = before.len().max(after.len()) - common;
        prop_assert!(differing <= 1);
        if after.is_empty() {
            return Ok(());
        }
        // Each quorum takes at least so many of the common hosts.
        let from_before = quorum_size(before.len()).saturating_sub(before.len() - common);
        let from_after = quorum_size(after.len()).saturating_sub(after.len() - common);
        prop_assert!(from_before + from_after > common, "{} and {}", before.len(), after.len());
    }

    /// A restarted host takes its earlier run's place.
    #[test]
    fn witness_set_survives_restart(count in 2_usize..20, restarted in 0_usize..20) {
        let all = hosts(count);
        let mut renewed = all.clone();
        let restarted = restarted % count;
        renewed[restarted] = HostId::of_run(all[restarted].name(), "2");
        let before = witness_set(&all[0], all.iter());
        let after = witness_set(&renewed[0], renewed.iter());
        let names = |set: &[&HostId]| set.iter().map(|host| host.name().to_owned()).collect::<Vec<_>>();
        prop_assert_eq!(names(&before), names(&after));
        prop_assert!(before.len() <= WITNESS_LIMIT);
    }
}

#[test]
fn confirmation_needs_quorum() {
    let all = hosts(4);
    let witnesses = witness_set(&all[0], all.iter());
    let mut peers = PeerTable::new(Duration::from_millis(200));
    let sent = Moment::from_millis(1_000);
    let now = Moment::from_millis(1_002);
    peers.record_acknowledgement(now, sent, &heartbeat(witnesses[0], 5), Version(5));
    assert_eq!(peers.confirmed_at(&witnesses), None);
    peers.record_acknowledgement(now, sent, &heartbeat(witnesses[1], 4), Version(5));
    assert_eq!(peers.confirmed_at(&witnesses), Some(sent));
}

#[test]
fn confirmation_not_from_witness_that_knows_more() {
    let all = hosts(2);
    let witnesses = witness_set(&all[0], all.iter());
    let mut peers = PeerTable::new(Duration::from_millis(200));
    let now = Moment::from_millis(1_000);
    peers.record_acknowledgement(now, now, &heartbeat(witnesses[0], 6), Version(5));
    assert_eq!(peers.confirmed_at(&witnesses), None);
}

#[test]
fn confirmation_dates_from_oldest_in_quorum() {
    let all = hosts(4);
    let witnesses = witness_set(&all[0], all.iter());
    let mut peers = PeerTable::new(Duration::from_millis(200));
    for (index, witness) in witnesses.iter().enumerate() {
        let sent = Moment::from_millis(1_000 + 100 * index as u64);
        peers.record_acknowledgement(sent, sent, &heartbeat(witness, 1), Version(1));
    }
    // Two of three: the second latest counts.
    assert_eq!(
        peers.confirmed_at(&witnesses),
        Some(Moment::from_millis(1_100))
    );
}

#[test]
fn silence_ends_availability() {
    let all = hosts(2);
    let mut peers = PeerTable::new(Duration::from_millis(200));
    let now = Moment::from_millis(1_000);
    peers.record_heartbeat(now, &heartbeat(&all[1], 1));
    assert!(peers.is_available(now + Duration::from_millis(200), &all[1]));
    assert!(!peers.is_available(now + Duration::from_millis(201), &all[1]));
    let mut leaving = heartbeat(&all[1], 1);
    leaving.is_leaving = true;
    peers.record_heartbeat(now, &leaving);
    assert!(!peers.is_available(now, &all[1]));
    assert!(peers.is_live(now, &all[1]));
}
