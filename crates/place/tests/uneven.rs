//! Upstreams whose machines are shared: noise of three times the speed every 400 ms.

#[allow(dead_code, reason = "other tests use more of it")]
mod common;
#[allow(dead_code, reason = "other tests use more of it")]
mod fleet;

use fleet::{Noise, Policy, Shape, play};
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

#[test]
#[ignore = "prints a table"]
fn choose_under_noise_table() {
    let keyless = Shape { speeds: vec![0.7, 0.85, 1.0, 1.3, 1.6], ..small() };
    let shapes = [
        ("18/6", Shape { upstreams: 10, ..keyless.clone() }),
        ("60/60 1 slot", Shape { hosts: 60, upstreams: 60, slots: 1, queue: 6, work_ms: 90.0, target_ms: 400.0, ..keyless.clone() }),
        ("135/120 2 slots", Shape { hosts: 135, upstreams: 120, slots: 2, queue: 6, work_ms: 90.0, target_ms: 400.0, ..keyless.clone() }),
        ("135/120 160ms", Shape { hosts: 135, upstreams: 120, slots: 2, queue: 6, work_ms: 160.0, target_ms: 800.0, ..keyless.clone() }),
    ];
    for (name, shape) in shapes {
        for load in [0.5, 0.8, 1.0] {
            let noise = |is_reported, passed_on_after_ms| Noise { factor: 3.0, is_reported, passed_on_after_ms, silence: (0, 0) };
            let variants = [
                ("no noise", Noise::default(), Policy::Selector),
                ("3 figures", noise(false, None), Policy::Selector),
                ("4 figures", noise(true, None), Policy::Selector),
                ("passed 50", noise(true, Some(50)), Policy::Selector),
                ("passed 100", noise(true, Some(100)), Policy::Selector),
                ("passed 200", noise(true, Some(200)), Policy::Selector),
                ("passed 700", noise(true, Some(700)), Policy::Selector),
                ("oracle", noise(false, None), Policy::Oracle),
                ("random", noise(false, None), Policy::Random),
            ];
            for (variant, noise, policy) in variants {
                let mut sum = [0.0; 4];
                for seed in [3, 4, 5] {
                    let o = play(&Shape { load, noise, ..shape.clone() }, policy, seed);
                    for (s, v) in sum.iter_mut().zip([o.in_time, o.late, o.refused, o.rejected]) { *s += v / 3.0; }
                }
                println!("{name:16} {load} {variant:10} in_time {:.3} late {:.3} refused {:.3} rejected {:.3}", sum[0], sum[1], sum[2], sum[3]);
            }
        }
    }
}
