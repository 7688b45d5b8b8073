//! Upstreams whose machines are shared: noise of three times the speed every 400 ms.

#[allow(dead_code, reason = "other tests use more of it")]
mod common;
#[allow(dead_code, reason = "other tests use more of it")]
mod fleet;

use fleet::{Policy, Shape, play};
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
