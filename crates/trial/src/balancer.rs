//! Simulated load balancer, which sends clients to random available hosts.

use indexmap::IndexMap;
use parking_lot::RwLock;
use std::sync::Arc;

/// Chooses entry hosts for clients; clones share the set of available hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadBalancer {
    /// Addresses of the available hosts, by name.
    hosts: Arc<RwLock<IndexMap<String, String>>>,
}

/// The entry host chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChosenHost {
    pub name: String,
    pub address: String,
}

impl LoadBalancer {
    /// Makes a host available, replacing one with the same name.
    pub fn add(&self, name: &str, address: &str) {
        self.hosts
            .write()
            .insert(name.to_owned(), address.to_owned());
    }

    /// Makes a host unavailable for further requests.
    pub fn remove(&self, name: &str) {
        self.hosts.write().swap_remove(name);
    }

    /// Chooses a random available host; `None` if there is none.
    pub fn choose(&self, rng: &mut fastrand::Rng) -> Option<ChosenHost> {
        let hosts = self.hosts.read();
        if hosts.is_empty() {
            return None;
        }
        let (name, address) = hosts.get_index(rng.usize(..hosts.len()))?;
        Some(ChosenHost {
            name: name.clone(),
            address: address.clone(),
        })
    }
}
