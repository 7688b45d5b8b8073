//! Budgets, journal decisions and quarantine.

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
#[case::absent(None, StartDecision::Start { base: 0 })]
#[case::released(Some(JournalState::Released), StartDecision::Start { base: 4 })]
#[case::started(Some(JournalState::Started), StartDecision::OutcomeUnknown)]
#[case::finished(
    Some(JournalState::Finished(Some(answer()))),
    StartDecision::Replay(answer())
)]
#[case::finished_unkept(Some(JournalState::Finished(None)), StartDecision::OutcomeUnknown)]
fn start_decision(#[case] state: Option<JournalState>, #[case] expected: StartDecision) {
    let present = state.map(|state| entry("first", state));
    let found = present.as_ref().map(|entry| (4, entry));
    assert_eq!(decide_start(found, 7, "second"), expected);
}

#[test]
fn start_decision_own_attempt() {
    let own = entry("own", JournalState::Started);
    assert_eq!(
        decide_start(Some((4, &own)), 7, "own"),
        StartDecision::AlreadyOwn
    );
}

#[test]
fn start_decision_other_body() {
    let other = entry("first", JournalState::Released);
    assert_eq!(
        decide_start(Some((4, &other)), 8, "second"),
        StartDecision::KeyReused
    );
}

#[test]
fn journal_key_keeps_customers_apart() {
    assert_ne!(journal_key("s", "a", "b/c"), journal_key("s", "a/b", "c"));
    assert_ne!(journal_key("s", "a", "x,y"), journal_key("s", "a", "x~2cy"));
    assert!(!journal_key("s", "a", "x,y/z").contains(','));
}

#[test]
fn budget_bounds_retries_to_share() {
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
fn jitter_stays_below_ceiling() {
    let mut rng = fastrand::Rng::with_seed(1);
    let (base, most) = (Duration::from_millis(10), Duration::from_millis(80));
    for tries in 0..40 {
        let pause = full_jitter(&mut rng, base, most, tries);
        assert!(pause <= most);
        assert!(pause <= base * 2_u32.saturating_pow(tries.min(10)));
    }
}

#[test]
fn quarantine_after_two_losses() {
    let mut book = QuarantineList::new(Duration::from_mins(1));
    let now = Moment::from_millis(1_000);
    book.record_loss(now, 1);
    assert!(book.is_suspect(now, 1));
    assert_eq!(book.quarantine_remaining(now, 1), None);
    book.record_loss(now, 1);
    assert_eq!(
        book.quarantine_remaining(now, 1),
        Some(Duration::from_mins(1))
    );
    assert_eq!(book.quarantine_remaining(now, 2), None);
    let later = now + Duration::from_secs(61);
    assert_eq!(book.quarantine_remaining(later, 1), None);
}

#[test]
fn quarantine_clears_neighbour_that_completes() {
    let mut book = QuarantineList::new(Duration::from_mins(1));
    let now = Moment::from_millis(1_000);
    book.record_loss(now, 1);
    book.record_completion(now, 1);
    book.record_loss(now, 1);
    assert_eq!(book.quarantine_remaining(now, 1), None);
}

#[test]
fn quarantine_leaves_a_request_alone_that_completes_for_others() {
    // Many clients ask for one chart while upstreams are lost for another reason.
    let mut book = QuarantineList::new(Duration::from_mins(1));
    let mut now = Moment::from_millis(1_000);
    for _ in 0..40 {
        now = now + Duration::from_millis(250);
        book.record_completion(now, 1);
        book.record_loss(now, 1);
        book.merge(now, 1, 5, Duration::from_mins(1));
    }
    assert_eq!(book.quarantine_remaining(now, 1), None);
    // Once nobody is served any more, it is blamed again.
    let later = now + Duration::from_secs(31);
    book.record_loss(later, 1);
    book.record_loss(later, 1);
    assert!(book.quarantine_remaining(later, 1).is_some());
}

#[test]
fn quarantine_spreads_by_merge() {
    let mut here = QuarantineList::new(Duration::from_mins(1));
    let mut there = QuarantineList::new(Duration::from_mins(1));
    let now = Moment::from_millis(1_000);
    here.record_loss(now, 9);
    here.record_loss(now, 9);
    for (fingerprint, losses, left) in here.iter(now) {
        there.merge(now, fingerprint, losses, left);
    }
    assert!(there.quarantine_remaining(now, 9).is_some());
}

#[test]
fn quarantine_bounds_memory() {
    let mut book = QuarantineList::new(Duration::from_mins(1));
    for number in 0..5_000 {
        book.record_loss(Moment::from_millis(number), number);
    }
    assert!(book.iter(Moment::ZERO).count() <= 1_024);
}

#[test]
fn fingerprint_separates_parts() {
    assert_ne!(fingerprint(&[b"ab", b"c"]), fingerprint(&[b"a", b"bc"]));
}
