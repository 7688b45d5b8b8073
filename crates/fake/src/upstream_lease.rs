//! Lease and shard grants as an upstream stores and checks them.

use indexmap::IndexMap;
use kernel::{Epoch, ShardId};
use owner::{LeaseRequest, ShardGrant};

/// The lease and the shard grants that an upstream holds.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    epoch: Epoch,
    sequence: u64,
    until_us: Option<u64>,
    tag: Option<u64>,
    grants: IndexMap<ShardId, Epoch>,
}

/// Reason why an upstream refuses a client request or a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRefusal {
    /// A newer epoch, which this variant carries, has been accepted.
    Superseded(Epoch),
    /// This or a later lease request of the same epoch has been accepted before.
    Late,
    /// The lease has expired.
    Lapsed,
    /// The shard is not granted under the given epoch.
    NotGranted,
}

impl LeaseRefusal {
    /// Returns the text that is sent in responses.
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
    /// Applies a lease request of the primary; `boot` is the number of the current run
    /// of the upstream's process.
    ///
    /// A request for another run updates the epoch and sequence only.
    ///
    /// # Errors
    ///
    /// Refuses a request of an older epoch, and one whose sequence number is not
    /// greater than that of the last accepted request.
    pub fn accept(&mut self, boot: u64, request: &LeaseRequest) -> Result<(), LeaseRefusal> {
        if request.epoch < self.epoch {
            return Err(LeaseRefusal::Superseded(self.epoch));
        }
        if request.epoch > self.epoch {
            self.epoch = request.epoch;
            self.sequence = 0;
        }
        if request.sequence <= self.sequence {
            return Err(LeaseRefusal::Late);
        }
        self.sequence = request.sequence;
        if request.boot != Some(boot) {
            return Ok(());
        }
        self.until_us = self.until_us.max(request.until_us);
        if let Some(grants) = &request.grants {
            let pairs = grants
                .iter()
                .map(|ShardGrant { shard, epoch }| (*shard, *epoch));
            self.grants = pairs.collect();
            self.tag = Some(request.tag);
        }
        Ok(())
    }

    /// Checks whether a client request may run at `clock_us`.
    ///
    /// # Errors
    ///
    /// Refuses a request of an older epoch, under an expired lease, or for a shard
    /// that is not granted under the given shard epoch.
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

    /// Returns when the lease expires, in microseconds of the upstream's clock.
    pub fn until_us(&self) -> Option<u64> {
        self.until_us
    }

    /// Returns the tag of the lease request that set the current grants.
    pub fn tag(&self) -> Option<u64> {
        self.tag
    }

    /// Iterates over the granted shards.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> {
        self.grants.keys().copied()
    }

    /// Returns whether a shard is granted under any epoch.
    pub fn holds(&self, shard: ShardId) -> bool {
        self.grants.contains_key(&shard)
    }
}
