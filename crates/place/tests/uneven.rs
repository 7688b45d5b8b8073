//! Upstreams whose machines are shared: noise of three times the speed every 400 ms.

#[allow(dead_code, reason = "other tests use more of it")]
mod common;
#[allow(dead_code, reason = "other tests use more of it")]
mod fleet;

use fleet::{Noise, Policy, REPORT_INTERVAL_US, Shape, play};
use place::LoadReport;
use rstest::rstest;

fn small() -> Shape {
    Shape {
        hosts: 18,
        upstreams: 6,
        slots: 4,
        queue: 16,
        speeds: vec![0.6, 1.0, 1.4],
        work_ms: 160.0,
        spread: 0.8,
        target_ms: 1_000.0,
        load: 0.8,
        seconds: 20,
        noise: Noise::default(),
        report_interval_us: REPORT_INTERVAL_US,
    }
}

/// Upstreams that send three figures are chosen and refused exactly as before the fourth
/// was read; the hashes are of the choices at commit 1c8aed5.
#[rstest]
#[case::some_room(0.8, 1_059_479_492_358_376_291)]
#[case::overload(1.3, 17_044_584_567_917_787_864)]
fn choose_three_figures_chooses_as_before(#[case] load: f64, #[case] expected: u64) {
    let shape = Shape { load, ..small() };
    let outcome = play(&shape, Policy::Selector, 3);
    assert_eq!(outcome.choices, expected, "{outcome:?}");
}

/// 135 hosts and 120 upstreams of unequal persistent speed under noise of 3x.
fn noisy(is_reported: bool) -> Shape {
    Shape {
        hosts: 135,
        upstreams: 120,
        slots: 2,
        queue: 6,
        speeds: vec![0.7, 0.85, 1.0, 1.3, 1.6],
        work_ms: 90.0,
        target_ms: 400.0,
        seconds: 10,
        noise: Noise {
            factor: 3.0,
            is_reported,
            ..Noise::default()
        },
        ..small()
    }
}

/// Guards against mistaking momentary noise for the speed of an upstream: then fewer
/// requests are answered in time, and more go to upstreams that have no room.
#[rstest]
#[case::some_room(0.5, 0.02)]
#[case::little_room(0.8, 0.06)]
fn choose_under_noise_serves_more_with_the_momentary_figure(
    #[case] load: f64,
    #[case] min_gain: f64,
) {
    let play = |is_reported| {
        let shape = Shape {
            load,
            ..noisy(is_reported)
        };
        play(&shape, Policy::Selector, 3)
    };
    let (without, with) = (play(false), play(true));
    assert!(
        with.in_time > without.in_time + min_gain && with.rejected < without.rejected * 0.5,
        "{without:?} {with:?}"
    );
}

/// Guards against a choice that needs what other hosts observed lately: loads that are
/// 2 s old, or lost for 5 s, do no harm under noise.
#[rstest]
#[case::old(2_100_000, (0, 0))]
#[case::lost(REPORT_INTERVAL_US, (10, 15))]
fn choose_under_noise_without_recent_reports_serves_as_much(
    #[case] report_interval_us: u64,
    #[case] silence: (u64, u64),
) {
    let shape = Shape {
        report_interval_us,
        ..noisy(true)
    };
    let noise = Noise {
        silence,
        ..shape.noise
    };
    let with = play(&noisy(true), Policy::Selector, 3);
    let without = play(&Shape { noise, ..shape }, Policy::Selector, 3);
    assert!(
        without.in_time > with.in_time - 0.02,
        "{without:?} {with:?}"
    );
}

/// Guards against losing the first three figures to an invalid fourth, and against
/// figures that would distort every estimate.
#[rstest]
#[case::three_figures("1,2,4", None)]
#[case::four_figures("1,2,4,300", Some(300))]
#[case::spaces(" 1, 2 ,4 , 33 ", Some(33))]
#[case::fraction("1,2,4,33.4", Some(33))]
#[case::zero("1,2,4,0", None)]
#[case::negative("1,2,4,-300", None)]
#[case::huge("1,2,4,99999999999999999999999", None)]
#[case::not_a_number("1,2,4,NaN", None)]
#[case::infinite("1,2,4,inf", None)]
#[case::text("1,2,4,slow", None)]
#[case::empty("1,2,4,", None)]
#[case::further_figures("1,2,4,50,7,x", Some(50))]
#[case::further_after_invalid("1,2,4,x,50", None)]
fn parse_fourth_figure_leaves_the_others_valid(
    #[case] text: &str,
    #[case] work_percent: Option<u32>,
) {
    let expected = LoadReport {
        running: 1,
        waiting: 2,
        slots: 4,
        work_percent,
    };
    assert_eq!(LoadReport::parse(text), Some(expected));
}

#[rstest]
fn parse_without_three_figures_is_no_report(
    #[values("", "1,2", "1,x,4,100", "-1,2,4", "1,2,4294967296,100")] text: &str,
) {
    assert_eq!(LoadReport::parse(text), None);
}
