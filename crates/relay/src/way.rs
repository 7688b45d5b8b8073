//! The decision between an own connection, the relay and a new connection.

use crate::choice::{RelayHost, choose_relay};
use std::fmt;
use std::str::FromStr;

/// Probability of reuse from which a host keeps a connection of its own in the mode
/// `auto`: the share of requests over used connections that relaying is to reach.
const MIN_OWN_REUSE: f64 = 0.9;

/// Whether a host relays requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayMode {
    /// It neither relays nor uses relays.
    #[default]
    Off,
    /// It uses the relay for every request that no connection of its own can serve.
    On,
    /// Like `On`, except for upstreams that it uses often enough for connections of its
    /// own.
    Auto,
}

/// A relay mode that does not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownMode(String);

impl fmt::Display for UnknownMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown relay mode `{}`: off, on or auto", self.0)
    }
}

impl std::error::Error for UnknownMode {}

impl FromStr for RelayMode {
    type Err = UnknownMode;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "off" => Ok(Self::Off),
            "on" => Ok(Self::On),
            "auto" => Ok(Self::Auto),
            other => Err(UnknownMode(other.to_owned())),
        }
    }
}

/// What a host knows when it chooses the way of a request.
#[derive(Clone, Copy, Debug)]
pub struct WayFacts<'a> {
    /// The host's mode.
    pub mode: RelayMode,
    /// The host's name.
    pub host: &'a str,
    /// Version of the host's program.
    pub program: u32,
    /// Id of the upstream.
    pub upstream: &'a str,
    /// Whether the host has a warm connection of its own that the request may use.
    pub has_own_connection: bool,
    /// Whether the upstream may have answered an earlier attempt of the request.
    pub is_repeat: bool,
    /// Whether an earlier attempt of the request may have run.
    pub may_have_run: bool,
    /// The hosts of the failure domain; `None` without a list, if it is out of date, or if
    /// no relay can read the request.
    pub hosts: Option<&'a [RelayHost]>,
    /// Probability that a connection of the host's own would be used again.
    pub reuse_probability: f64,
    /// Whether the request holds a token for a cold upstream, or may need one.
    pub may_need_token: bool,
}

/// Why a request goes over a new connection of the host's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectReason {
    /// The host uses no relays.
    Off,
    /// A late copy of an earlier answer can arrive on any used connection, also on the
    /// relay's.
    Repeat,
    /// An earlier attempt may have run; no further relay may fail it.
    Uncertain,
    /// The upstream is cold or may return cold; a token counts only for a write by the host
    /// that holds it.
    Cold,
    /// There is no current list of hosts, or no host in it that runs this version.
    NoList,
    /// This host keeps the connections to the upstream itself.
    OwnUpstream,
    /// The host uses the upstream often.
    Frequent,
    /// The relay has failed and is avoided.
    Avoided,
}

impl DirectReason {
    /// Returns the text used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::Repeat => "repeat",
            Self::Uncertain => "uncertain",
            Self::Cold => "cold",
            Self::NoList => "no-list",
            Self::OwnUpstream => "own-upstream",
            Self::Frequent => "frequent",
            Self::Avoided => "avoided",
        }
    }
}

/// The way of a request to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendWay<'a> {
    /// Over the host's own warm connection.
    Own,
    /// Through a relay.
    Relayed(&'a RelayHost),
    /// Over a new connection.
    Direct(DirectReason),
}

/// Chooses the way of a request; `is_avoided` says whether a relay is avoided.
pub fn choose_way<'a>(facts: &WayFacts<'a>, is_avoided: impl Fn(&str) -> bool) -> SendWay<'a> {
    if facts.mode == RelayMode::Off {
        return SendWay::Direct(DirectReason::Off);
    }
    if facts.is_repeat {
        return SendWay::Direct(DirectReason::Repeat);
    }
    if facts.has_own_connection {
        return SendWay::Own;
    }
    if facts.may_have_run {
        return SendWay::Direct(DirectReason::Uncertain);
    }
    if facts.may_need_token {
        return SendWay::Direct(DirectReason::Cold);
    }
    let hosts = facts.hosts.unwrap_or_default();
    let Some(relay) = choose_relay(hosts, facts.program, facts.upstream) else {
        return SendWay::Direct(DirectReason::NoList);
    };
    if relay.name == facts.host {
        return SendWay::Direct(DirectReason::OwnUpstream);
    }
    if facts.mode == RelayMode::Auto && facts.reuse_probability >= MIN_OWN_REUSE {
        return SendWay::Direct(DirectReason::Frequent);
    }
    if is_avoided(&relay.name) {
        return SendWay::Direct(DirectReason::Avoided);
    }
    SendWay::Relayed(relay)
}
