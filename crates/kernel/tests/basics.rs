//! Identifiers, time, verdicts, timers and task scopes.

use async_std::task::block_on;
use kernel::{
    Cause, Clock, HostId, ManualClock, Moment, Refusal, SystemClock, TaskScope, TimerService,
    Verdict,
};
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

#[test]
fn cause_text_round_trip() {
    for cause in Cause::ALL {
        assert_eq!(Cause::parse(cause.as_str()), Some(*cause));
    }
    assert_eq!(Cause::parse("surprise"), None);
}

#[test]
fn cause_status_matches_verdict() {
    for cause in Cause::ALL {
        let may_have_run = matches!(cause.status(), 502 | 504);
        assert_eq!(
            may_have_run,
            cause.verdict() == Verdict::MayHaveRun,
            "{cause}"
        );
    }
}

#[rstest]
#[case::ran(Verdict::Ran)]
#[case::not_run(Verdict::NotRun)]
#[case::may_have_run(Verdict::MayHaveRun)]
fn verdict_round_trip(#[case] verdict: Verdict) {
    assert_eq!(Verdict::parse(verdict.as_str()), Some(verdict));
}

#[test]
fn refusal_display_has_verdict_and_cause() {
    let refusal = Refusal::new(Cause::QueueFull).with_retry_after(Duration::from_secs(1));
    assert_eq!(refusal.to_string(), "not-run: queue-full");
}

#[test]
fn moment_subtraction_saturates() {
    let early = Moment::from_millis(1);
    let late = Moment::from_millis(5);
    assert_eq!(early - late, Duration::ZERO);
    assert_eq!(early.saturating_sub(Duration::from_secs(1)), Moment::ZERO);
    assert_eq!(late - early, Duration::from_millis(4));
}

#[test]
fn host_id_name_is_shared_by_runs() {
    let (first, second) = (
        HostId::of_run("entry-1", "aa"),
        HostId::of_run("entry-1", "bb"),
    );
    assert_ne!(first, second);
    assert_eq!(first.name(), second.name());
}

#[test]
fn timer_service_wakes_subscribers() {
    block_on(async {
        let timers = TimerService::start(Arc::new(SystemClock::new()));
        let subscription = timers.subscribe(Duration::from_millis(10));
        let first = subscription.next().await.unwrap();
        let second = subscription.next().await.unwrap();
        assert!(second > first);
        drop(timers);
        assert_eq!(subscription.next().await, None);
    });
}

#[test]
fn manual_clock_returns_set_time() {
    let clock = ManualClock::default();
    clock.set(Moment::from_millis(7));
    assert_eq!(clock.now(), Moment::from_millis(7));
}

#[test]
fn task_scope_drops_tasks_when_closed() {
    struct DropFlag(Arc<AtomicBool>);
    impl Drop for DropFlag {
        fn drop(&mut self) {
            self.0.store(true, Ordering::SeqCst);
        }
    }
    block_on(async {
        let scope = TaskScope::new();
        let dropped = Arc::new(AtomicBool::new(false));
        let flag = DropFlag(Arc::clone(&dropped));
        scope.spawn(async move {
            let _flag = flag;
            futures::future::pending::<()>().await;
        });
        scope.close();
        scope.closed().await;
        for _ in 0..100 {
            if dropped.load(Ordering::SeqCst) {
                return;
            }
            async_std::task::sleep(Duration::from_millis(5)).await;
        }
        panic!("the task outlives its scope");
    });
}

#[test]
fn spawn_task_that_panics_ends_alone() {
    block_on(async {
        let scope = TaskScope::new();
        let has_run = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&has_run);
        scope.spawn(async { panic!("on purpose") });
        scope.spawn(async move {
            async_std::task::sleep(Duration::from_millis(50)).await;
            flag.store(true, Ordering::SeqCst);
        });
        async_std::task::sleep(Duration::from_millis(200)).await;
        assert!(has_run.load(Ordering::SeqCst));
        assert!(!scope.is_closed());
    });
}

#[test]
fn spawn_restarting_task_runs_again_after_a_panic() {
    block_on(async {
        let scope = TaskScope::new();
        let starts = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&starts);
        scope.spawn_restarting("test", move || {
            let counter = Arc::clone(&counter);
            async move {
                let start = counter.fetch_add(1, Ordering::SeqCst);
                assert!(start >= 2, "on purpose");
                std::future::pending::<()>().await;
            }
        });
        async_std::task::sleep(Duration::from_millis(600)).await;
        assert_eq!(starts.load(Ordering::SeqCst), 3);
    });
}
