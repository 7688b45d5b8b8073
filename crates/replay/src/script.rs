//! Things that happen to a world from outside.

use owner::Timing;
use serde::{Deserialize, Serialize};

/// Something that happens to a world.
///
/// Hosts, upstreams and domains are named by their numbers from 0.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorldStep {
    /// A host ends at once.
    CrashHost(u32),
    /// A host starts anew.
    StartHost(u32),
    /// A host stands still; messages to it wait.
    PauseHost(u32),
    /// A paused host goes on.
    ResumeHost(u32),
    /// A host leaves as planned.
    LeaveHost(u32),
    /// An upstream ends at once.
    CrashUpstream(u32),
    /// An upstream starts anew.
    StartUpstream(u32),
    /// An upstream stands still; orders to it wait.
    FreezeUpstream(u32),
    /// A frozen upstream goes on.
    ThawUpstream(u32),
    /// An upstream is listed as leaving.
    LeaveUpstream(u32),
    /// A leaving upstream is listed as live again.
    ReturnUpstream(u32),
    /// An operator declares a domain lost, at a host.
    DeclareLost(u32, u32),
    /// An operator declares a domain back, at a host.
    DeclareBack(u32, u32),
    /// Two hosts can't reach each other.
    CutHosts(u32, u32),
    /// Hosts whose bits are set can't reach the others.
    CutSides(u32),
    /// A host can't reach an upstream.
    CutUpstream(u32, u32),
    /// A host can't reach the table.
    CutTable(u32),
    /// All cuts are healed.
    HealCuts,
    /// The table answers nobody.
    TableDown,
    /// The table answers again.
    TableUp,
    /// Answers of the table are lost after the write has taken effect.
    LoseAnswers(bool),
    /// A host uses other intervals from now on, as a misconfigured one would.
    SetTiming(u32, Timing),
    /// A host is told that all others know every row, as if it had not asked.
    ForgeWitnesses(u32),
}
