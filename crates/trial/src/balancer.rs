//! The platform's balancer, as callers see it: some open host.

use indexmap::IndexMap;
use parking_lot::RwLock;
use std::sync::Arc;

/// Chooses entry hosts for callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balancer {
    open: Arc<RwLock<IndexMap<String, String>>>,
}

/// A host that a caller was sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChosenHost {
    pub name: String,
    pub address: String,
}

impl Balancer {
    /// Sends callers to a host from now on.
    pub fn open(&self, name: &str, address: &str) {
        self.open
            .write()
            .insert(name.to_owned(), address.to_owned());
    }

    /// Sends no more callers to a host.
    pub fn close(&self, name: &str) {
        self.open.write().swap_remove(name);
    }

    /// Chooses a host at random.
    pub fn choose(&self, rng: &mut fastrand::Rng) -> Option<ChosenHost> {
        let open = self.open.read();
        if open.is_empty() {
            return None;
        }
        let (name, address) = open.get_index(rng.usize(..open.len()))?;
        Some(ChosenHost {
            name: name.clone(),
            address: address.clone(),
        })
    }
}
