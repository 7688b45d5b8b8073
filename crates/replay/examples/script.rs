//! Applies steps given as JSON and prints the resulting state.
//!
//! `cargo run -p replay --example script -- WORLD_JSON STEP_JSON|MILLISECONDS...`
//!
//! A number runs the world for that many milliseconds and prints the state.

use replay::{World, WorldSetup, WorldStep};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let setup: WorldSetup =
        serde_json::from_str(&arguments[0]).expect("the first argument is a world setup");
    let mut world = World::new(&setup);
    world.run_until_ms(4_000);
    println!("{}", world.describe());
    for argument in &arguments[1..] {
        if let Ok(millis) = argument.parse::<u64>() {
            world.run_until_ms(world.now_ms() + millis);
            println!("{}", world.describe());
            continue;
        }
        let step: WorldStep = serde_json::from_str(argument)
            .expect("the argument is a step or a number of milliseconds");
        world.apply(step);
    }
}
