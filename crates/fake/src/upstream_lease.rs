//! Grants and leases as an upstream keeps them.

use kernel::{Epoch, ShardId};
use indexmap::IndexMap;
use owner::{LeaseOrder, ShardGrant};

/// What an upstream holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldLease {
    epoch: Epoch,
    sequence: u64,
    until_us: Option<u64>,
    tag: Option<u64>,
    grants: IndexMap<ShardId, Epoch>,
}

/// Why work or an order is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseRefusal {
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
    pub fn accept(&mut self, boot: u64, order: &LeaseOrder) -> Result<(), LeaseRefusal> {
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
            let pairs = grants.iter().map(|ShardGrant { shard, epoch }| (*shard, *epoch));
            self.grants = pairs.collect();
            self.tag = Some(order.tag);
        }
        Ok(())
    }

    /// Checks whether work may run now.
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

    pub fn until_us(&self) -> Option<u64> {
        self.until_us
    }

    pub fn tag(&self) -> Option<u64> {
        self.tag
    }

    pub fn shards(&self) -> impl Iterator<Item = ShardId> {
        self.grants.keys().copied()
    }

    pub fn holds(&self, shard: ShardId) -> bool {
        self.grants.contains_key(&shard)
    }
}
