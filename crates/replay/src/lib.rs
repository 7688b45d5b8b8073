//! Deterministic simulation and model checking of the control state machine.
//!
//! A [`World`] simulates a few hosts, each with the production
//! [`owner::ControlCore`], a table, the leases of a few upstreams and the messages
//! between them, all in virtual time. The same seed and steps give the same run.
//! After every step it checks that no shard has two owners.
//!
//! - [`run_trace`] plays a trace and checks the outcomes that it states;
//! - [`run_seeded`] injects random faults, reverts them and reports on the recovery;
//! - [`explore`] tries every schedule of faults up to a depth.
//!
//! ```
//! use replay::{World, WorldSetup};
//!
//! let mut world = World::new(&WorldSetup::default());
//! world.run_until_ms(4_000);
//! assert_eq!(world.violations(), &[] as &[String]);
//! assert_eq!(world.unowned_shards(), 0);
//! ```

mod explore;
mod message;
mod network;
mod random;
mod script;
mod setup;
mod trace;
mod upstream;
mod world;

pub use explore::{ExploreReport, ExploreSetup, explore};
pub use random::{RandomReport, describe_seeded, run_seeded};
pub use script::WorldStep;
pub use setup::WorldSetup;
pub use trace::{TraceError, run_trace};
pub use world::World;
