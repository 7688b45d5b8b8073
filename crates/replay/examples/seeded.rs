//! Executes one seeded run and prints its final state.
//!
//! `cargo run -p replay --example seeded -- SEED HOSTS DOMAINS STEPS LOSS DELAY`
//!
//! The number of upstreams may follow as a seventh argument.

use replay::{WorldSetup, describe_seeded};

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let number = |index: usize, default: u64| numbers.get(index).copied().unwrap_or(default);
    let setup = WorldSetup {
        hosts: number(1, 4) as u32,
        domains: number(2, 1) as u32,
        upstreams: number(6, 3) as u32,
        loss_percent: number(4, 0) as u8,
        delay_ms: number(5, 3),
        ..WorldSetup::default()
    };
    println!(
        "{}",
        describe_seeded(&setup, number(0, 1), number(3, 40) as u32)
    );
}
