//! Choice of the host that keeps the connections to an upstream.

use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Version of the messages between two hosts; raised whenever their headers change.
const PROTOCOL: &str = "1";

/// A live host that relays requests for the hosts of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayHost {
    /// Name of the host.
    pub name: String,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Version of its program; see [`program_version`].
    pub program: u32,
}

/// Returns the version of a program, from the version of its package and that of the
/// messages. Hosts with different ones do not relay to each other.
pub fn program_version(package_version: &str) -> u32 {
    xxh3_64(format!("{package_version}/{PROTOCOL}").as_bytes()) as u32
}

/// Returns the relay for an upstream by rendezvous hashing (Thaler and Ravishankar,
/// 1998) over the hosts that run the version `program`.
///
/// A host that joins or leaves changes only the upstreams that it gains or had.
pub fn choose_relay<'a>(
    hosts: &'a [RelayHost],
    program: u32,
    upstream: &str,
) -> Option<&'a RelayHost> {
    let seed = xxh3_64(upstream.as_bytes());
    let candidates = hosts.iter().filter(|host| host.program == program);
    candidates.max_by_key(|host| {
        let weight = xxh3_64_with_seed(host.name.as_bytes(), seed);
        (weight, &host.name)
    })
}
