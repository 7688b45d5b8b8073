//! Retry budgets, journal decisions and quarantine.

use kernel::Moment;
use retry::{
    JournalEntry, JournalState, QuarantineList, RetryBudget, StartDecision, StoredAnswer,
    decide_start, fingerprint, full_jitter, journal_key,
};
use rstest::rstest;
use std::time::Duration;

fn entry(attempt: &str, state: JournalState) -> JournalEntry {
    JournalEntry {
        fingerprint: 7,
        attempt: attempt.to_owned(),
        state,
        expires_at_ms: 0,
    }
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: None,
        body: "paid".to_owned(),
    }
}

#[rstest]
#[case::absent(None, StartDecision::Start { base_version: 0 })]
#[case::released(Some(JournalState::Released), StartDecision::Start { base_version: 4 })]
#[case::started(Some(JournalState::Started), StartDecision::OutcomeUnknown)]
#[case::finished(
    Some(JournalState::Finished(Some(answer()))),
    StartDecision::Replay(answer())
)]
#[case::finished_unkept(Some(JournalState::Finished(None)), StartDecision::OutcomeUnknown)]
fn decide_start_by_journal_state(
    #[case] state: Option<JournalState>,
    #[case] expected: StartDecision,
) {
    let current = state.map(|state| entry("first", state));
    let found = current.as_ref().map(|entry| (4, entry));
    assert_eq!(decide_start(found, 7, "second"), expected);
}

#[test]
fn decide_start_entry_of_own_attempt() {
    let own = entry("own", JournalState::Started);
    assert_eq!(
        decide_start(Some((4, &own)), 7, "own"),
        StartDecision::OwnEntry
    );
}

#[test]
fn decide_start_entry_of_another_request() {
    let other = entry("first", JournalState::Released);
    assert_eq!(
        decide_start(Some((4, &other)), 8, "second"),
        StartDecision::KeyReused
    );
}

#[test]
fn journal_key_is_unique_per_customer_and_key() {
    assert_ne!(journal_key("s", "a", "b/c"), journal_key("s", "a/b", "c"));
    assert_ne!(journal_key("s", "a", "x,y"), journal_key("s", "a", "x~2cy"));
    assert!(!journal_key("s", "a", "x,y/z").contains(','));
}

#[test]
fn try_spend_limits_retries_to_a_fraction() {
    let mut budget = RetryBudget::new(0.1, 5.0);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_first_attempt();
        retries += u32::from(budget.try_spend());
    }
    assert!(retries <= 1_005, "{retries}");
    assert!(retries >= 990, "{retries}");
}

#[test]
fn full_jitter_stays_below_ceiling() {
    let mut rng = fastrand::Rng::with_seed(1);
    let (base, max) = (Duration::from_millis(10), Duration::from_millis(80));
    for retries in 0..40 {
        let delay = full_jitter(&mut rng, base, max, retries);
        assert!(delay <= max);
        assert!(delay <= base * 2_u32.saturating_pow(retries.min(10)));
    }
}

#[test]
fn record_loss_twice_quarantines() {
    let mut list = QuarantineList::new(Duration::from_mins(1));
    let now = Moment::from_millis(1_000);
    list.record_loss(now, 1);
    assert!(list.is_suspect(now, 1));
    assert_eq!(list.quarantine_remaining(now, 1), None);
    list.record_loss(now, 1);
    assert_eq!(
        list.quarantine_remaining(now, 1),
        Some(Duration::from_mins(1))
    );
    assert_eq!(list.quarantine_remaining(now, 2), None);
    let later = now + Duration::from_secs(61);
    assert_eq!(list.quarantine_remaining(later, 1), None);
}

#[test]
fn record_completion_clears_a_suspect() {
    let mut list = QuarantineList::new(Duration::from_mins(1));
    let now = Moment::from_millis(1_000);
    list.record_loss(now, 1);
    list.record_completion(now, 1);
    list.record_loss(now, 1);
    assert_eq!(list.quarantine_remaining(now, 1), None);
}

#[test]
fn record_completion_protects_a_frequent_request() {
    // Many clients send the same request while upstreams are lost for another reason.
    let mut list = QuarantineList::new(Duration::from_mins(1));
    let mut now = Moment::from_millis(1_000);
    for _ in 0..40 {
        now = now + Duration::from_millis(250);
        list.record_completion(now, 1);
        list.record_loss(now, 1);
        list.merge(now, 1, 5, Duration::from_mins(1));
    }
    assert_eq!(list.quarantine_remaining(now, 1), None);
    // Without a recent completion it is blamed again.
    let later = now + Duration::from_secs(31);
    list.record_loss(later, 1);
    list.record_loss(later, 1);
    assert!(list.quarantine_remaining(later, 1).is_some());
}

#[test]
fn merge_shares_quarantine() {
    let mut here = QuarantineList::new(Duration::from_mins(1));
    let mut there = QuarantineList::new(Duration::from_mins(1));
    let now = Moment::from_millis(1_000);
    here.record_loss(now, 9);
    here.record_loss(now, 9);
    for (fingerprint, losses, remaining) in here.iter(now) {
        there.merge(now, fingerprint, losses, remaining);
    }
    assert!(there.quarantine_remaining(now, 9).is_some());
}

#[test]
fn record_loss_limits_the_number_of_suspects() {
    let mut list = QuarantineList::new(Duration::from_mins(1));
    for number in 0..5_000 {
        list.record_loss(Moment::from_millis(number), number);
    }
    assert!(list.iter(Moment::ZERO).count() <= 1_024);
}

#[test]
fn fingerprint_distinguishes_parts() {
    assert_ne!(fingerprint(&[b"ab", b"c"]), fingerprint(&[b"a", b"bc"]));
}

/// What was spent before a budget's share was known is not saved up again.
#[rstest]
#[case::raised(1, 5.0, 4)]
#[case::unspent(0, 5.0, 5)]
#[case::lowered(0, 0.5, 1)]
fn raise_capacity_saves_the_difference(
    #[case] spent: u32,
    #[case] capacity: f64,
    #[case] expected: u32,
) {
    let mut budget = RetryBudget::new(0.1, 1.0);
    for _ in 0..spent {
        assert!(budget.try_spend());
    }
    budget.raise_capacity(capacity);
    let mut left = 0;
    while budget.try_spend() {
        left += 1;
    }
    assert_eq!(left, expected);
}
