//! Lists of the hosts that relay: offers in reports, and lists in the leader's replies.

use crate::message::{HostReport, LeaderReply};
use crate::reports::ReportChannel;
use arc_swap::ArcSwap;
use kernel::{Clock, DomainName};
use log::info;
use parking_lot::Mutex;
use relay::{HostList, ListIssuer, ListVersion, RelayHost};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A host's offer to relay, in its report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireRelayOffer {
    /// Port at which the host takes requests; `None` while it is stopping.
    port: Option<u16>,
    program: u32,
    /// Term and number of the list that the host knows.
    known: (u64, u64),
}

/// The hosts of a failure domain that relay: term and number of the list, and the name,
/// address and program version of each host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireHostList((u64, u64), Vec<(String, SocketAddr, u32)>);

impl WireRelayOffer {
    pub(crate) fn new(port: Option<u16>, program: u32, known: ListVersion) -> Self {
        Self {
            port,
            program,
            known: (known.term, known.number),
        }
    }

    /// Returns the host that made the offer in a report from `address`.
    pub(crate) fn host(&self, name: &str, address: SocketAddr) -> Option<RelayHost> {
        self.port.map(|port| RelayHost {
            name: name.to_owned(),
            address: SocketAddr::new(address.ip(), port),
            program: self.program,
        })
    }
}

impl From<&HostList> for WireHostList {
    fn from(list: &HostList) -> Self {
        let hosts = list.hosts.iter();
        let hosts = hosts.map(|host| (host.name.clone(), host.address, host.program));
        Self((list.version.term, list.version.number), hosts.collect())
    }
}

impl From<WireHostList> for HostList {
    fn from(WireHostList((term, number), hosts): WireHostList) -> Self {
        let hosts = hosts.into_iter();
        let hosts = hosts.map(|(name, address, program)| RelayHost {
            name,
            address,
            program,
        });
        Self {
            version: ListVersion { term, number },
            hosts: hosts.collect(),
        }
    }
}

/// The list that this host uses and, while it leads, those that it issues.
#[derive(Debug, Default)]
pub(crate) struct RelayLists {
    current: ArcSwap<HostList>,
    issuer: Mutex<ListIssuer>,
}

impl RelayLists {
    /// Returns the newest list that this host was told.
    pub(crate) fn current(&self) -> Arc<HostList> {
        self.current.load_full()
    }

    /// Uses a list that the leader sent, if it is newer.
    pub(crate) fn apply(&self, list: Option<WireHostList>) {
        let Some(list) = list else {
            return;
        };
        let mut current = HostList::clone(&self.current.load());
        if !current.update(list.into()) {
            return;
        }
        info!(
            target: "relay",
            "term={} list={} hosts={}",
            current.version.term, current.version.number, current.hosts.len(),
        );
        self.current.store(Arc::new(current));
    }

    /// Returns the list of a domain whose live hosts are `hosts` for a host that knows the
    /// list `known`, unless it knows this one.
    fn next_for(
        &self,
        clock: &dyn Clock,
        term: u64,
        domain: &DomainName,
        hosts: Vec<RelayHost>,
        known: (u64, u64),
    ) -> Option<WireHostList> {
        let mut issuer = self.issuer.lock();
        let list = issuer.issue(clock.now(), term, domain, hosts)?;
        (known != (list.version.term, list.version.number)).then(|| list.into())
    }
}

impl ReportChannel {
    /// Returns the list of the hosts of the sender's domain that relay, if the sender
    /// relays and does not know it.
    pub(crate) fn relay_list_for(&self, term: u64, report: &HostReport) -> Option<WireHostList> {
        let offer = report.relay.as_ref()?;
        let hosts = self.peers.relay_hosts(&report.domain);
        let lists = &self.peers.relay_lists;
        let clock = &*self.dispatcher.state.clock;
        lists.next_for(clock, term, &report.domain, hosts, offer.known)
    }

    /// Uses the list that this host issues itself while it leads.
    pub(crate) fn update_own_relay_list(&self, report: &HostReport) {
        if let Some(term) = self.peers.leading_term() {
            let list = self.relay_list_for(term, report);
            self.peers.relay_lists.apply(list);
        }
    }
}

/// Appends a message with a list of hosts. The others may be full of owners and entries,
/// and a message that does not fit a datagram is not sent at all.
pub(crate) fn push_relay_list(replies: &mut Vec<LeaderReply>, list: Option<WireHostList>) {
    let Some(previous) = replies.last().filter(|_| list.is_some()) else {
        return;
    };
    let mut reply = previous.continued(previous.entries_end(), Vec::new());
    reply.relay_hosts = list;
    replies.push(reply);
}
