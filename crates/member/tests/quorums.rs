//! Intersection of consecutive quorums, and validity of confirmations.

use kernel::{HostId, Moment, Version};
use member::{Heartbeat, MAX_WITNESSES, PeerTable, quorum_size, witness_set};
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
    /// Adding or removing one host changes a witness set by at most one member, and
    /// any quorum of one set intersects any quorum of the other.
    #[test]
    fn witness_set_quorums_intersect_after_change(count in 2_usize..40, subject in 0_usize..40, changed in 0_usize..40) {
        let all = hosts(count + 1);
        let subject = &all[subject % count];
        let removed = &all[changed % (count + 1)];
        prop_assume!(removed != subject);
        let before = witness_set(subject, all.iter());
        let after = witness_set(subject, all.iter().filter(|host| *host != removed));
        let common = before.iter().filter(|host| after.contains(host)).count();
        let difference = before.len().max(after.len()) - common;
        prop_assert!(difference <= 1);
        if after.is_empty() {
            return Ok(());
        }
        // Minimum number of common hosts in a quorum of each set.
        let min_before = quorum_size(before.len()).saturating_sub(before.len() - common);
        let min_after = quorum_size(after.len()).saturating_sub(after.len() - common);
        prop_assert!(min_before + min_after > common, "{} and {}", before.len(), after.len());
    }

    /// A restarted host replaces its previous run in witness sets.
    #[test]
    fn witness_set_is_unchanged_by_restart(count in 2_usize..20, restarted in 0_usize..20) {
        let all = hosts(count);
        let mut after_restart = all.clone();
        let restarted = restarted % count;
        after_restart[restarted] = HostId::of_run(all[restarted].name(), "2");
        let before = witness_set(&all[0], all.iter());
        let after = witness_set(&after_restart[0], after_restart.iter());
        let names = |set: &[&HostId]| set.iter().map(|host| host.name().to_owned()).collect::<Vec<_>>();
        prop_assert_eq!(names(&before), names(&after));
        prop_assert!(before.len() <= MAX_WITNESSES);
    }
}

#[test]
fn confirmed_at_needs_quorum() {
    let all = hosts(4);
    let witnesses = witness_set(&all[0], all.iter());
    let mut peers = PeerTable::new(Duration::from_millis(200));
    let sent_at = Moment::from_millis(1_000);
    let now = Moment::from_millis(1_002);
    peers.record_acknowledgement(now, sent_at, &heartbeat(witnesses[0], 5), Version(5));
    assert_eq!(peers.confirmed_at(&witnesses), None);
    peers.record_acknowledgement(now, sent_at, &heartbeat(witnesses[1], 4), Version(5));
    assert_eq!(peers.confirmed_at(&witnesses), Some(sent_at));
}

#[test]
fn confirmed_at_ignores_witness_with_newer_row() {
    let all = hosts(2);
    let witnesses = witness_set(&all[0], all.iter());
    let mut peers = PeerTable::new(Duration::from_millis(200));
    let now = Moment::from_millis(1_000);
    peers.record_acknowledgement(now, now, &heartbeat(witnesses[0], 6), Version(5));
    assert_eq!(peers.confirmed_at(&witnesses), None);
}

#[test]
fn confirmed_at_is_oldest_of_latest_quorum() {
    let all = hosts(4);
    let witnesses = witness_set(&all[0], all.iter());
    let mut peers = PeerTable::new(Duration::from_millis(200));
    for (index, witness) in witnesses.iter().enumerate() {
        let sent_at = Moment::from_millis(1_000 + 100 * index as u64);
        peers.record_acknowledgement(sent_at, sent_at, &heartbeat(witness, 1), Version(1));
    }
    // The quorum is two of three, so the second latest send time is returned.
    assert_eq!(
        peers.confirmed_at(&witnesses),
        Some(Moment::from_millis(1_100))
    );
}

#[test]
fn is_available_ends_with_silence_or_leaving() {
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
