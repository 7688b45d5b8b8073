//! Versioned lists of the hosts that relay, by failure domain.

use crate::choice::RelayHost;
use indexmap::IndexMap;
use kernel::{DomainName, Moment};
use std::time::Duration;

/// Time for which a new leader issues no lists: by then every live host has reported to
/// it, also if one of its reports was lost. Hosts use their last list until then.
const SETTLE_DURATION: Duration = Duration::from_secs(2);

/// Version of a list: the term of the leader that issued it, and a count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListVersion {
    /// Term of the leader.
    pub term: u64,
    /// Number of the list in the term.
    pub number: u64,
}

/// The live hosts of a failure domain that relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostList {
    /// Version of the list; the default one precedes all others.
    pub version: ListVersion,
    /// The hosts, by name.
    pub hosts: Vec<RelayHost>,
}

impl HostList {
    /// Replaces the list by a newer one; returns whether it was newer. Datagrams may
    /// arrive twice or out of order.
    pub fn update(&mut self, list: Self) -> bool {
        if list.version <= self.version {
            return false;
        }
        *self = list;
        true
    }
}

/// Numbers the lists that a leader issues.
#[derive(Clone, Debug, Default)]
pub struct ListIssuer {
    term: u64,
    settled_at: Moment,
    last_number: u64,
    lists: IndexMap<DomainName, HostList>,
}

impl ListIssuer {
    /// Returns the list of a domain whose live hosts are `hosts`, or `None` while the
    /// leader of `term` may not know all of them yet.
    pub fn issue(
        &mut self,
        now: Moment,
        term: u64,
        domain: &DomainName,
        mut hosts: Vec<RelayHost>,
    ) -> Option<&HostList> {
        if term != self.term {
            *self = Self {
                term,
                settled_at: now + SETTLE_DURATION,
                ..Self::default()
            };
        }
        if now < self.settled_at {
            return None;
        }
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        let list = self.lists.entry(domain.clone()).or_default();
        if list.version.number == 0 || list.hosts != hosts {
            self.last_number += 1;
            let number = self.last_number;
            list.version = ListVersion { term, number };
            list.hosts = hosts;
        }
        Some(list)
    }
}
