//! Relays that fail, refuse or stop: what the sender does, what it tells its client, and
//! how often a request runs.

use fastrand::Rng;
use h1::HeaderList;
use kernel::{Cause, DomainName, Moment, RequestId, UpstreamId, Verdict};
use place::RequestOutcome;
use relay::{
    AvoidedRelays, DirectReason, HostList, ListIssuer, ListVersion, NextStep, RelayAdmission,
    RelayCall, RelayEnd, RelayHost, RelayMode, RelayRefusal, RelayReply, SendWay, WayFacts,
    choose_way, next_step,
};
use rstest::rstest;
use std::time::Duration;

fn host(name: &str) -> RelayHost {
    RelayHost {
        name: name.to_owned(),
        address: "127.0.0.1:7201".parse().expect("an address"),
        program: 1,
    }
}

fn facts(hosts: Option<&[RelayHost]>) -> WayFacts<'_> {
    WayFacts {
        mode: RelayMode::On,
        host: "a",
        program: 1,
        upstream: "u-1",
        has_own_connection: false,
        is_repeat: false,
        may_have_run: false,
        hosts,
        reuse_probability: 0.0,
        may_need_token: false,
    }
}

/// Guards against relaying what must not be relayed, and against a hop that an own
/// connection makes needless.
#[test]
fn choose_way_by_facts() {
    let hosts = [host("b")];
    let base = facts(Some(&hosts));
    let way = |facts: WayFacts<'_>| match choose_way(&facts, |_| false) {
        SendWay::Own => "own",
        SendWay::Relayed(_) => "relayed",
        SendWay::Direct(reason) => reason.as_str(),
    };
    assert_eq!(way(base), "relayed");
    let own = WayFacts {
        has_own_connection: true,
        ..base
    };
    assert_eq!(way(own), "own");
    let repeat = WayFacts {
        is_repeat: true,
        ..own
    };
    assert_eq!(way(repeat), "repeat");
    let uncertain = WayFacts {
        may_have_run: true,
        ..base
    };
    assert_eq!(way(uncertain), "uncertain");
    let cold = WayFacts {
        may_need_token: true,
        ..base
    };
    assert_eq!(way(cold), "cold");
    let itself = WayFacts { host: "b", ..base };
    assert_eq!(way(itself), "own-upstream");
    let off = WayFacts {
        mode: RelayMode::Off,
        ..own
    };
    assert_eq!(way(off), "off");
    assert_eq!(way(facts(None)), "no-list");
    assert_eq!(way(facts(Some(&[]))), "no-list");
    let frequent = WayFacts {
        reuse_probability: 0.95,
        ..base
    };
    assert_eq!(way(frequent), "relayed");
    let auto = WayFacts {
        mode: RelayMode::Auto,
        ..frequent
    };
    assert_eq!(way(auto), "frequent");
    let avoided = choose_way(&base, |name| name == "b");
    assert_eq!(avoided, SendWay::Direct(DirectReason::Avoided));
}

/// Guards against a relay that is down being tried by every request, and against a period
/// that grows with the number of requests that failed together.
#[test]
fn record_failure_avoids_for_a_period_that_doubles() {
    let mut avoided = AvoidedRelays::default();
    let mut now = Moment::from_millis(1_000);
    let mut periods = Vec::new();
    for _ in 0..8 {
        avoided.record_failure(now, "b");
        avoided.record_failure(now, "b");
        let from = now;
        while avoided.is_avoided(now, "b") {
            now = now + Duration::from_millis(100);
        }
        periods.push((now - from).as_secs());
    }
    assert_eq!(periods, [1, 2, 4, 8, 16, 32, 32, 32]);
    avoided.record_success(now, "b");
    avoided.record_failure(now, "b");
    assert!(!avoided.is_avoided(now + Duration::from_secs(1), "b"));
    assert!(!avoided.is_avoided(now, "c"));
}

/// Guards against a list that names only the first hosts that have reported to a new
/// leader, and against old lists that arrive late.
#[test]
fn issue_new_leader_waits_and_numbers_only_changes() {
    let mut issuer = ListIssuer::default();
    let domain = DomainName::from("north");
    let start = Moment::from_millis(1_000);
    assert!(issuer.issue(start, 4, &domain, vec![host("a")]).is_none());
    let now = start + Duration::from_secs(2);
    let first = issuer.issue(now, 4, &domain, vec![host("b"), host("a")]);
    let first = first.expect("settled").clone();
    let same = issuer.issue(now, 4, &domain, vec![host("a"), host("b")]);
    assert_eq!(same, Some(&first));
    let second = issuer.issue(now, 4, &domain, vec![host("a")]);
    let second = second.expect("settled").clone();
    assert!(second.version > first.version);
    let other = issuer.issue(now, 4, &DomainName::from("south"), Vec::new());
    assert!(other.expect("settled").version > second.version);
    let mut known = HostList::default();
    assert!(known.update(second.clone()));
    assert!(!known.update(first));
    assert!(!known.update(second));
    assert!(issuer.issue(now, 5, &domain, vec![host("a")]).is_none());
    let later = now + Duration::from_secs(2);
    let next_term = issuer.issue(later, 5, &domain, vec![host("a")]);
    assert!(known.update(next_term.expect("settled").clone()));
    assert_eq!(known.version, ListVersion { term: 5, number: 1 });
}

/// Guards against an end of the process with a request in it, and against one that is never
/// reached because a single request came late.
#[test]
fn try_end_with_and_without_requests() {
    let admission = RelayAdmission::new(2);
    let guard = admission.begin();
    assert!(!admission.try_end());
    assert!(admission.begin().is_some(), "it reads further requests");
    drop(guard);
    assert!(admission.try_end());
    assert!(admission.begin().is_none());
    assert_eq!((admission.begun(), admission.in_flight()), (3, 0));
    admission.undo_end();
    assert!(admission.begin().is_some());
}

/// Guards against a relay that accepts without limit, or new work while it stops.
#[test]
fn check_full_or_stopping_relay_refuses() {
    let admission = RelayAdmission::new(2);
    let first = admission.begin();
    let _second = admission.begin();
    assert_eq!(admission.check(), Ok(()));
    let _third = admission.begin();
    assert_eq!(admission.check(), Err(RelayRefusal::Full));
    drop(first);
    assert_eq!(admission.check(), Ok(()));
    admission.stop();
    assert_eq!(admission.check(), Err(RelayRefusal::Stopping));
    assert_eq!(admission.in_flight(), 2);
}

fn call() -> RelayCall {
    RelayCall {
        program: 1,
        request: RequestId::from("r-1"),
        upstream: UpstreamId::from("u-1"),
        run: 1_700_000_000_000,
        time_left: Duration::from_millis(800),
        is_repeatable: false,
    }
}

/// Guards against a field that is lost on the way, and against calls that lack one.
#[test]
fn relay_call_headers_round_trip() {
    let call = call();
    let headers = HeaderList::from(&call);
    assert_eq!(RelayCall::try_from(&headers), Ok(call));
    for (name, _) in headers.iter() {
        let mut incomplete = headers.clone();
        incomplete.remove_where(|other| other == name);
        RelayCall::try_from(&incomplete).expect_err(name);
    }
}

/// Guards against a reply that is taken for one to another request, or whose verdict and
/// reason contradict each other.
#[test]
fn relay_reply_headers_round_trip() {
    let id = RequestId::from("r-1");
    let replies = [
        RelayReply::Answered {
            keep_alive: Some("timeout=10".to_owned()),
        },
        RelayReply::Failed {
            cause: Cause::UpstreamUnreachable,
            outcome: RequestOutcome::Unreachable,
        },
        RelayReply::Failed {
            cause: Cause::UpstreamLost,
            outcome: RequestOutcome::Reset,
        },
        RelayReply::Refused(RelayRefusal::Full),
    ];
    for reply in replies {
        let headers = reply.headers(&id);
        assert_eq!(RelayReply::parse(&headers, &id), Ok(reply));
        let other = RelayReply::parse(&headers, &RequestId::from("r-2"));
        other.expect_err("a reply to another request");
    }
    let mut false_verdict = HeaderList::new();
    for (name, value) in RelayReply::Refused(RelayRefusal::Full).headers(&id).iter() {
        let is_verdict = value == Verdict::NotRun.as_str();
        let value = if is_verdict { "may-have-run" } else { value };
        false_verdict.push(name, value);
    }
    let parsed = RelayReply::parse(&false_verdict, &id);
    parsed.expect_err("a reason that contradicts its verdict");
}

/// The point at which a fault ends the first attempt, in the order of the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FaultPoint {
    BeforeConnect,
    DuringWrite,
    AfterWrite,
    RelayRefuses(u8),
    RelayCannotConnect,
    RelayLostAfterForward,
    RelayLostAfterRun,
    UpstreamLostAfterRun,
    Frozen,
    WrongReply,
    None,
}

impl FaultPoint {
    fn random(random: &mut Rng) -> Self {
        match random.u8(0..11) {
            0 => Self::BeforeConnect,
            1 => Self::DuringWrite,
            2 => Self::AfterWrite,
            3 => Self::RelayRefuses(random.u8(0..4)),
            4 => Self::RelayCannotConnect,
            5 => Self::RelayLostAfterForward,
            6 => Self::RelayLostAfterRun,
            7 => Self::UpstreamLostAfterRun,
            8 => Self::Frozen,
            9 => Self::WrongReply,
            _ => Self::None,
        }
    }
}

/// An upstream that counts runs.
#[derive(Default)]
struct CountingUpstream {
    runs: u32,
}

/// Plays one use of the relay up to a fault.
fn play_relay(
    call: &RelayCall,
    fault: FaultPoint,
    upstream: &mut CountingUpstream,
    random: &mut Rng,
) -> RelayEnd {
    match fault {
        FaultPoint::BeforeConnect | FaultPoint::DuringWrite => return RelayEnd::NotWritten,
        FaultPoint::AfterWrite => return RelayEnd::Lost,
        FaultPoint::Frozen => {
            // The relay resumes after the sender has left, and may still forward it.
            upstream.runs += u32::from(random.bool());
            let end = if call.is_repeatable {
                RelayEnd::Silent
            } else {
                RelayEnd::TimedOut
            };
            return end;
        }
        _ => {}
    }
    let received = RelayCall::try_from(&HeaderList::from(call)).expect("complete");
    let admission = RelayAdmission::new(u64::from(fault != FaultPoint::RelayRefuses(0)));
    if fault == FaultPoint::RelayRefuses(1) {
        admission.stop();
    }
    let _guard = admission.begin();
    let run = call.run + u64::from(fault == FaultPoint::RelayRefuses(2));
    let program = call.program + u32::from(fault == FaultPoint::RelayRefuses(3));
    let refusal = if received.program != program {
        Some(RelayRefusal::OtherProgram)
    } else if let Err(refusal) = admission.check() {
        Some(refusal)
    } else {
        (received.run != run).then_some(RelayRefusal::WrongRun)
    };
    let reply = if let Some(refusal) = refusal {
        RelayReply::Refused(refusal)
    } else if fault == FaultPoint::RelayCannotConnect {
        RelayReply::Failed {
            cause: Cause::UpstreamUnreachable,
            outcome: RequestOutcome::Unreachable,
        }
    } else {
        if fault == FaultPoint::RelayLostAfterForward {
            upstream.runs += u32::from(random.bool());
            return RelayEnd::Lost;
        }
        upstream.runs += 1;
        match fault {
            FaultPoint::RelayLostAfterRun => return RelayEnd::Lost,
            FaultPoint::UpstreamLostAfterRun => RelayReply::Failed {
                cause: Cause::UpstreamLost,
                outcome: RequestOutcome::Lost,
            },
            _ => RelayReply::Answered { keep_alive: None },
        }
    };
    let sent_id = match fault {
        FaultPoint::WrongReply => RequestId::from("r-other"),
        _ => call.request.clone(),
    };
    match RelayReply::parse(&reply.headers(&sent_id), &call.request) {
        Ok(reply) => RelayEnd::Replied(reply),
        Err(_invalid) => RelayEnd::Unintelligible,
    }
}

/// Plays a direct exchange.
fn play_direct(upstream: &mut CountingUpstream, random: &mut Rng) -> Result<(), Cause> {
    match random.u8(0..6) {
        0 => Err(Cause::UpstreamUnreachable),
        1 => {
            upstream.runs += u32::from(random.bool());
            Err(Cause::UpstreamLost)
        }
        _ => {
            upstream.runs += 1;
            Ok(())
        }
    }
}

/// Guards against a request that runs twice although it must not, against a refusal that
/// says "not run" of a request that ran, and against a second use of the relay after an
/// uncertain one.
#[test]
fn next_step_seeded_schedules_run_at_most_once_and_tell_the_truth() {
    let hosts = [host("b")];
    let mut verdicts = [0_u32; 3];
    for seed in 0..1_000 {
        let mut random = Rng::with_seed(seed);
        let mut upstream = CountingUpstream::default();
        let call = RelayCall {
            is_repeatable: random.bool(),
            ..call()
        };
        let mut uncertain_cause = None;
        let mut outcome = Err(Cause::Overloaded);
        let mut relay_uses = Vec::new();
        for _attempt in 0..random.u8(1..4) {
            let facts = WayFacts {
                may_have_run: uncertain_cause.is_some(),
                ..facts(Some(&hosts))
            };
            outcome = match choose_way(&facts, |_| false) {
                SendWay::Relayed(_) => {
                    assert!(uncertain_cause.is_none(), "seed {seed}: {relay_uses:?}");
                    let fault = FaultPoint::random(&mut random);
                    relay_uses.push(fault);
                    let end = play_relay(&call, fault, &mut upstream, &mut random);
                    match next_step(&end) {
                        NextStep::UseAnswer => Ok(()),
                        NextStep::SendDirectly => play_direct(&mut upstream, &mut random),
                        NextStep::Fail { cause, .. } => Err(cause),
                    }
                }
                _ => play_direct(&mut upstream, &mut random),
            };
            let Err(cause) = outcome else {
                break;
            };
            if cause.verdict() == Verdict::MayHaveRun {
                uncertain_cause = Some(cause);
            }
            let may_repeat = cause.verdict() == Verdict::NotRun || call.is_repeatable;
            if !may_repeat || !cause.is_retryable() {
                break;
            }
        }
        let verdict = match outcome {
            Ok(()) => Verdict::Ran,
            Err(cause) => uncertain_cause.unwrap_or(cause).verdict(),
        };
        let runs = upstream.runs;
        let text = format!("seed {seed}: {relay_uses:?} {verdict} runs={runs}");
        assert!(call.is_repeatable || runs <= 1, "{text}");
        match verdict {
            Verdict::Ran => assert!(runs >= 1, "{text}"),
            Verdict::NotRun => assert_eq!(runs, 0, "{text}"),
            Verdict::MayHaveRun => {}
        }
        verdicts[verdict as usize] += 1;
    }
    println!("ran, not run, may have run: {verdicts:?}");
    assert!(verdicts.iter().all(|count| *count > 5), "{verdicts:?}");
}

/// Guards against a healthy relay that is avoided because an upstream is slow or was lost.
#[rstest]
#[case::lost(RelayEnd::Lost, true)]
#[case::not_written(RelayEnd::NotWritten, true)]
#[case::silent(RelayEnd::Silent, true)]
#[case::stopping(RelayEnd::Replied(RelayReply::Refused(RelayRefusal::Stopping)), true)]
#[case::timed_out(RelayEnd::TimedOut, false)]
#[case::wrong_run(RelayEnd::Replied(RelayReply::Refused(RelayRefusal::WrongRun)), false)]
#[case::upstream_lost(
    RelayEnd::Replied(RelayReply::Failed {
        cause: Cause::UpstreamLost,
        outcome: RequestOutcome::Lost,
    }),
    false
)]
fn is_relay_at_fault_by_end(#[case] end: RelayEnd, #[case] expected: bool) {
    assert_eq!(end.is_relay_at_fault(), expected);
}
