//! Estimates of service times: nothing is assumed about a deployment's scale, and no
//! estimate keeps an upstream from being used.

#[allow(dead_code, reason = "other tests use more of it")]
mod common;

use common::Work;
use kernel::Moment;
use place::{
    LoadReport, RequestOutcome, Selection, SelectionLimits, UpstreamCandidate, UpstreamSelector,
};
use proptest::prelude::*;
use std::time::Duration;

/// A deployment of any scale: one service with routes of different work.
#[derive(Clone, Debug)]
struct Deployment {
    upstreams: usize,
    slots: u32,
    /// Work of each route, in milliseconds.
    work_ms: Vec<u64>,
    /// Target latency as a multiple of the work.
    target_factor: f64,
    seed: u64,
}

fn deployments() -> impl Strategy<Value = Deployment> {
    let work_ms = prop::collection::vec(1_u64..5_000, 1..4);
    (
        1_usize..300,
        1_u32..64,
        work_ms,
        1.05_f64..8.0,
        any::<u64>(),
    )
        .prop_map(
            |(upstreams, slots, work_ms, target_factor, seed)| Deployment {
                upstreams,
                slots,
                work_ms,
                target_factor,
                seed,
            },
        )
}

/// Plays one request after the other against upstreams without any other load.
struct Play<'a> {
    deployment: &'a Deployment,
    selector: UpstreamSelector,
    candidates: Vec<UpstreamCandidate>,
    works: Vec<Work>,
    now: Moment,
    refused: u32,
}

impl<'a> Play<'a> {
    fn new(deployment: &'a Deployment) -> Self {
        let candidate = |index| UpstreamCandidate {
            id: format!("i-{index}").into(),
            slots: deployment.slots,
            is_local: index % 2 == 0,
            is_cold: false,
            max_requests: 64,
        };
        let routes = 0..deployment.work_ms.len();
        Self {
            deployment,
            selector: UpstreamSelector::new(deployment.seed),
            candidates: (0..deployment.upstreams).map(candidate).collect(),
            works: routes
                .map(|route| Work::new("charts", &format!("route-{route}")))
                .collect(),
            now: Moment::from_millis(10_000),
            refused: 0,
        }
    }

    /// Sends one request of a route to one of the first `upstreams`, which take
    /// `slowness` times the usual work and report `waiting` other requests.
    fn ask(&mut self, route: usize, upstreams: usize, slowness: f64, waiting: u32) {
        let work_ms = self.deployment.work_ms[route] as f64;
        let target = Duration::from_secs_f64(work_ms * self.deployment.target_factor / 1_000.0);
        let limits = SelectionLimits {
            target_left: target,
            time_left: target * 4,
            cross_domain_cost: Duration::from_millis(3),
        };
        let work = self.works[route].get();
        let candidates = &self.candidates[..upstreams];
        let selection = self.selector.choose(self.now, work, candidates, &limits);
        let Selection::Send { id, .. } = selection else {
            self.refused += 1;
            self.now = self.now + target;
            return;
        };
        let slots = self.deployment.slots;
        let sent = self.selector.record_sent(self.now, work, &id, slots);
        self.now = self.now + Duration::from_secs_f64(work_ms * slowness / 1_000.0);
        let report = LoadReport {
            running: if waiting > 0 { slots } else { 0 },
            waiting,
            slots,
            work_percent: None,
        };
        self.selector.record_outcome(
            self.now,
            work,
            &sent,
            RequestOutcome::Answered,
            Some(report),
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// An idle service refuses nobody for load, whatever its work and targets are.
    #[test]
    fn choose_at_idle_service_refuses_nobody(deployment in deployments()) {
        let mut play = Play::new(&deployment);
        for turn in 0..60 {
            play.ask(turn % deployment.work_ms.len(), deployment.upstreams, 1.0, 0);
        }
        prop_assert_eq!(play.refused, 0);
    }

    /// After a spell in which the only upstream for a key was slow and full, it is in
    /// use again as soon as its queue can have drained.
    #[test]
    fn choose_after_slow_spell_refuses_nobody(
        deployment in deployments(),
        slowness in 2.0_f64..20.0,
    ) {
        let mut play = Play::new(&deployment);
        let routes = deployment.work_ms.len();
        for turn in 0..10 {
            play.ask(turn % routes, 1, 1.0, 0);
        }
        for turn in 0..30 {
            play.ask(turn % routes, 1, slowness, deployment.slots * 4);
        }
        let longest_ms = *deployment.work_ms.iter().max().expect("there are routes");
        // The queue that was reported last is worth four service times at that speed,
        // and a mean that a spell has raised is kept for twenty of them.
        let drain_time = Duration::from_millis(longest_ms).mul_f64(20.0 * slowness);
        play.now = play.now + drain_time;
        play.refused = 0;
        for turn in 0..20 {
            play.ask(turn % routes, 1, 1.0, 0);
        }
        prop_assert_eq!(play.refused, 0);
    }
}

#[test]
fn choose_first_request_of_route_is_sent_without_measurement() {
    let mut selector = UpstreamSelector::new(1);
    let work = Work::new("rushboard", "rush-status");
    let candidates = [UpstreamCandidate {
        id: "i-1".into(),
        slots: 2,
        is_local: true,
        is_cold: true,
        max_requests: 64,
    }];
    let limits = SelectionLimits {
        target_left: Duration::from_millis(90),
        time_left: Duration::from_millis(600),
        cross_domain_cost: Duration::ZERO,
    };
    let now = Moment::from_millis(1_000);
    let selection = selector.choose(now, work.get(), &candidates, &limits);
    assert!(matches!(selection, Selection::Send { .. }));
}

#[test]
fn choose_short_route_is_not_judged_by_long_one() {
    let mut selector = UpstreamSelector::new(1);
    let long = Work::new("ledger", "confirm");
    let short = Work::new("ledger", "status");
    let candidates = [UpstreamCandidate {
        id: "i-1".into(),
        slots: 2,
        is_local: true,
        is_cold: false,
        max_requests: 64,
    }];
    let mut now = Moment::from_millis(1_000);
    for turn in 0..40 {
        let (work, duration_ms) = if turn % 2 == 0 {
            (&long, 800)
        } else {
            (&short, 20)
        };
        let sent = selector.record_sent(now, work.get(), &candidates[0].id, 2);
        now = now + Duration::from_millis(duration_ms);
        selector.record_outcome(now, work.get(), &sent, RequestOutcome::Answered, None);
    }
    let limits = SelectionLimits {
        target_left: Duration::from_millis(90),
        time_left: Duration::from_millis(600),
        cross_domain_cost: Duration::ZERO,
    };
    let Selection::Send { expected, .. } = selector.choose(now, short.get(), &candidates, &limits)
    else {
        panic!("a free upstream refused a request");
    };
    assert!(expected < Duration::from_millis(60), "{expected:?}");
}
