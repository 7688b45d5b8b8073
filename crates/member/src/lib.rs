//! Membership: live hosts, their witnesses, and confirmations by quorums of witnesses.
//!
//! Every host sends heartbeats to its [witnesses](witness_set), a bounded set of
//! hosts of its own domain chosen by rendezvous hashing, and to a few hosts of
//! each other domain. An acknowledged heartbeat confirms the sender's authority
//! unless the witness knows a newer version of the domain's row; see
//! [`PeerTable::confirmed_at`].
//!
//! ```
//! use kernel::HostId;
//! use member::{quorum_size, witness_set};
//!
//! let hosts: Vec<HostId> = (0..4).map(|n| HostId::from(format!("h{n}"))).collect();
//! let witnesses = witness_set(&hosts[0], hosts.iter());
//! assert_eq!(witnesses.len(), 3);
//! assert_eq!(quorum_size(witnesses.len()), 2);
//! ```

mod heartbeat;
mod peers;
mod rendezvous;
mod witness;

pub use heartbeat::{Heartbeat, Suspect, UpstreamLoad};
pub use peers::{PeerState, PeerTable};
pub use rendezvous::{rank_by_weight, weight};
pub use witness::{MAX_WITNESSES, quorum_size, witness_set};
