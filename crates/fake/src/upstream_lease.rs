//! Grants and leases as an upstream keeps them.

use indexmap::IndexMap;
use kernel::{Epoch, ShardId};
use owner::{LeaseRequest, ShardGrant};

/// What an upstream holds.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    epoch: Epoch,
    sequence: u64,
    until_us: Option<u64>,
    tag: Option<u64>,
    grants: IndexMap<ShardId, Epoch>,
}

/// Why work or an order is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRefusal {
    /// A newer epoch has been accepted.
    Superseded(Epoch),
    /// A later order has been accepted.
    Late,
    /// The lease has lapsed.
    Lapsed,
    /// The shard is not granted under that epoch.
    NotGranted,
}

impl LeaseRefusal {
    /// Returns the text used in answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Superseded(_) => "stale-epoch",
            Self::Late => "late-order",
            Self::Lapsed => "lease-lapsed",
            Self::NotGranted => "not-granted",
        }
    }
}

impl HeldLease {
    /// Takes an order in.
    ///
    /// # Errors
    ///
    /// Refuses an order under an older epoch, or one that a later order overtook.
    pub fn accept(&mut self, boot: u64, order: &LeaseRequest) -> Result<(), LeaseRefusal> {
        if order.epoch < self.epoch {
            return Err(LeaseRefusal::Superseded(self.epoch));
        }
        if order.epoch > self.epoch {
            self.epoch = order.epoch;
            self.sequence = 0;
        }
        if order.sequence <= self.sequence {
            return Err(LeaseRefusal::Late);
        }
        self.sequence = order.sequence;
        if order.boot != Some(boot) {
            return Ok(());
        }
        self.until_us = self.until_us.max(order.until_us);
        if let Some(grants) = &order.grants {
            let pairs = grants
                .iter()
                .map(|ShardGrant { shard, epoch }| (*shard, *epoch));
            self.grants = pairs.collect();
            self.tag = Some(order.tag);
        }
        Ok(())
    }

    /// Checks whether work may run now.
    ///
    /// # Errors
    ///
    /// Refuses work under an older epoch, a lapsed lease or an unknown grant.
    pub fn check(
        &self,
        clock_us: u64,
        epoch: Epoch,
        shard: Option<(ShardId, Epoch)>,
    ) -> Result<(), LeaseRefusal> {
        if epoch < self.epoch {
            return Err(LeaseRefusal::Superseded(self.epoch));
        }
        if self.until_us.is_none_or(|until| clock_us >= until) {
            return Err(LeaseRefusal::Lapsed);
        }
        let Some((shard, shard_epoch)) = shard else {
            return Ok(());
        };
        if self.grants.get(&shard) != Some(&shard_epoch) {
            return Err(LeaseRefusal::NotGranted);
        }
        Ok(())
    }

    /// Returns the lease's end on the upstream's clock, in microseconds.
    pub fn until_us(&self) -> Option<u64> {
        self.until_us
    }

    /// Returns the tag of the held grants.
    pub fn tag(&self) -> Option<u64> {
        self.tag
    }

    /// Iterates over the granted shards.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> {
        self.grants.keys().copied()
    }

    /// Returns whether a shard is granted.
    pub fn holds(&self, shard: ShardId) -> bool {
        self.grants.contains_key(&shard)
    }
}
