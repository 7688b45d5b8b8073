//! External events and faults that can be applied to a world.

use owner::Timing;
use serde::{Deserialize, Serialize};

/// An external event or fault to apply to a world.
///
/// Hosts, upstreams and domains are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorldStep {
    /// Ends a host's process.
    CrashHost(u32),
    /// Starts a new run of a host, unless one is running.
    StartHost(u32),
    /// Pauses a host; messages to it are queued.
    PauseHost(u32),
    /// Resumes a paused host.
    ResumeHost(u32),
    /// Asks a host to leave.
    LeaveHost(u32),
    /// Ends an upstream's process.
    CrashUpstream(u32),
    /// Starts a new run of an upstream.
    StartUpstream(u32),
    /// Pauses an upstream; requests to it are queued.
    FreezeUpstream(u32),
    /// Resumes a paused upstream.
    ThawUpstream(u32),
    /// Lists an upstream as leaving.
    LeaveUpstream(u32),
    /// Lists a leaving upstream as live again.
    ReturnUpstream(u32),
    /// An operator declares a domain lost: the host that is asked, and the domain.
    DeclareLost(u32, u32),
    /// An operator declares a domain back: the host that is asked, and the domain.
    DeclareBack(u32, u32),
    /// Cuts the network between two hosts.
    CutHosts(u32, u32),
    /// Cuts the network between the hosts whose bits are set and the others.
    CutSides(u32),
    /// Cuts the network between a host and an upstream.
    CutUpstream(u32, u32),
    /// Cuts the network between a host and the table.
    CutTable(u32),
    /// Reverts all cuts.
    HealCuts,
    /// Makes the table unavailable.
    TableDown,
    /// Makes the table available again.
    TableUp,
    /// Sets whether the table's answers are lost after a write has taken effect.
    LoseAnswers(bool),
    /// Sets the protocol intervals of one host, to simulate a misconfiguration.
    SetTiming(u32, Timing),
    /// Makes a host believe that all others know its rows, without asking them.
    ForgeWitnesses(u32),
}
