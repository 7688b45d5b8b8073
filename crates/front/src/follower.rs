//! Followers of the store's tables.

use crate::adapter::SharedBounds;
use crate::peers::{LeaseAtStart, PeerRegistry};
use crate::random::RandomSource;
use crate::replica::{FollowedTable, StoreReplica};
use async_std::future::timeout;
use futures::future::{Either, select};
use kernel::Clock;
use log::{info, warn};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use store::{FeedReply, RowStore, StoreError};

/// Feed wait at the leader and its standbys. It is short because a
/// connection that is silently broken keeps changes from all hosts until the wait ends.
const LEADER_FEED_WAIT: Duration = Duration::from_secs(2);
/// Initial delay after a failed call; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum delay after failed calls. A store counts as steady 3 s after its return, and
/// hosts must have noticed the return by then: a call that got no answer and the longest
/// delay take 2.9 s.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);
/// Timeout of the calls that check whether the store is back.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which changes are batched before the next call of a busy feed; a third of
/// the time within which a sheet or a leaving upstream must be known.
const BATCH_INTERVAL: Duration = Duration::from_millis(700);
/// Batch interval of the leader, which passes changes on to all other hosts.
const LEADER_BATCH_INTERVAL: Duration = Duration::from_millis(80);
/// Fraction of the drain bound for which the leader may be silent before a host follows
/// the store itself, so that it learns of a leaving upstream in time. A single lost reply
/// takes less.
const MAX_SILENCE_FRACTION: f64 = 0.55;
/// Fraction of the bound on evacuations for which the leader may be silent at most. Once
/// a host knows of an order, it uses holders of keys for 0.55 of the bound.
const MAX_EVACUATION_SILENCE_FRACTION: f64 = 0.3;
/// Time for which a leader that has lost the store may take to leave the lease to another
/// host, before hosts follow the store themselves.
const FEED_LOSS_GRACE: Duration = Duration::from_millis(600);
/// Feed wait of a host that follows the store while the leader is silent.
const NO_LEADER_FEED_WAIT: Duration = Duration::from_secs(2);
/// Time for which a host that starts waits for its first read of the lease.
const LEASE_READ_DELAY: Duration = Duration::from_millis(150);
/// Time for which a host that starts waits for a live leader's messages before it reads
/// the store itself.
const LEADER_REPLY_DELAY: Duration = Duration::from_millis(400);
/// Maximum time for which a host waits for the leader's messages at the first start of a
/// deployment, before which there is no traffic. Strong hosts do not wait, so that one
/// of them soon leads; the waits of the others differ, as there may be no strong one.
const MAX_FIRST_START_DELAY: Duration = Duration::from_millis(1_500);
/// Interval at which a host that follows the leader checks that it may go on doing so.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(80);
/// Interval at which a host that starts checks what it has been told.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the follower of the entries checks whether that of the sheet has
/// reached the store again.
const REGAIN_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Poll interval of the owners while the leader is silent. A new leader sends them to
/// most hosts itself.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(2_500);

/// Follows a table for as long as the process runs.
///
/// The leader and its standbys follow the store; other hosts receive the changes from
/// the leader, unless it is silent.
#[derive(Debug)]
pub(crate) struct TableFollower {
    pub replica: Arc<StoreReplica>,
    pub store: Arc<dyn RowStore>,
    pub peers: Arc<PeerRegistry>,
    pub clock: Arc<dyn Clock>,
    pub random: Arc<RandomSource>,
    pub bounds: SharedBounds,
    /// Whether the host leads without waiting for a stronger one.
    pub is_strong: bool,
    pub table: FollowedTable,
    /// Name of the table in the store.
    pub name: String,
}

/// Next step of a follower.
enum FollowStep {
    /// Read the whole table.
    List,
    /// Wait for changes after a version of the store.
    Feed(u64),
}

impl TableFollower {
    /// Runs until its scope closes.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut backoff = MIN_BACKOFF;
        let mut is_failing = false;
        let mut step = self.start().await;
        loop {
            if matches!(step, FollowStep::Feed(_)) && self.is_told_by_leader() {
                if self.wait_for_refetch(LEADER_CHECK_INTERVAL).await {
                    step = FollowStep::List;
                }
                continue;
            }
            let taken = if is_failing {
                self.check_store(&step).await
            } else {
                self.take_step(&step).await
            };
            match taken {
                Ok(next) => {
                    if is_failing {
                        info!(target: "store", "table={} state=regained", self.name);
                    }
                    is_failing = false;
                    self.set_feed_live(true);
                    step = next;
                    backoff = MIN_BACKOFF;
                    async_std::task::sleep(self.batch_interval()).await;
                }
                Err(error) => {
                    self.replica.record_outage(&error);
                    if !is_failing {
                        warn!(target: "store", "table={} state=lost error=\"{error}\"", self.name);
                    }
                    is_failing = true;
                    self.set_feed_live(false);
                    let random_factor = 0.75 + 0.5 * self.random.fraction();
                    self.wait_after_failure(backoff.mul_f64(random_factor))
                        .await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Waits for the leader's messages at the start; returns the first step.
    async fn start(&self) -> FollowStep {
        let started_at = self.clock.now();
        let first_start_delay = if self.is_strong {
            Duration::ZERO
        } else {
            MAX_FIRST_START_DELAY.mul_f64(self.random.fraction())
        };
        loop {
            if self.replica.has_table(self.table) {
                // No version of the store is known; it answers that there is no history
                // after the first one, and the table is read.
                return FollowStep::Feed(0);
            }
            let delay = match self.peers.lease_at_start() {
                LeaseAtStart::Unknown => LEASE_READ_DELAY,
                LeaseAtStart::Absent => first_start_delay,
                LeaseAtStart::Held => LEADER_REPLY_DELAY,
                LeaseAtStart::Expired => Duration::ZERO,
            };
            if self.clock.now() - started_at >= delay {
                return FollowStep::List;
            }
            async_std::task::sleep(START_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether the leader tells this host of changes.
    fn is_told_by_leader(&self) -> bool {
        let bounds = self.bounds.load();
        let mut max_silence = bounds.drain.mul_f64(MAX_SILENCE_FRACTION);
        if let Some(evacuate) = bounds.evacuate {
            max_silence = max_silence.min(evacuate.mul_f64(MAX_EVACUATION_SILENCE_FRACTION));
        }
        !self.is_store_reader() && self.peers.receives_changes(max_silence, FEED_LOSS_GRACE)
    }

    fn is_store_reader(&self) -> bool {
        self.peers.is_leading() || self.peers.is_standby()
    }

    /// Takes a step after a failure. The table is read instead of its feed, which holds
    /// calls open: a call to a store that is silent would go on for seconds after its
    /// return.
    async fn check_store(&self, step: &FollowStep) -> Result<FollowStep, StoreError> {
        if self.table != FollowedTable::Sheet {
            return self.take_step(step).await;
        }
        match timeout(CHECK_TIMEOUT, self.take_step(&FollowStep::List)).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => Err(StoreError::Unavailable(
                "no answer to a check in time".to_owned(),
            )),
        }
    }

    async fn take_step(&self, step: &FollowStep) -> Result<FollowStep, StoreError> {
        let FollowStep::Feed(version) = *step else {
            let page = self.store.list(&self.name).await?;
            self.replica.apply_table(self.table, &page);
            return Ok(FollowStep::Feed(page.version));
        };
        let version = match self.table {
            FollowedTable::Sheet => version,
            // The leader may have told of changes since the last call.
            FollowedTable::Entries => self.replica.entries_version(),
        };
        let wait = if self.is_store_reader() {
            LEADER_FEED_WAIT
        } else {
            NO_LEADER_FEED_WAIT
        };
        let feed = self.store.feed(&self.name, version, wait);
        let refetch = pin!(self.replica.wait_for_refetch(self.table));
        match select(feed, refetch).await {
            Either::Left((Ok(FeedReply::Changes(page)), _)) => {
                self.replica.apply_changes(self.table, &page);
                Ok(FollowStep::Feed(page.version.max(version)))
            }
            Either::Left((Ok(FeedReply::HistoryUnavailable), _)) => {
                warn!(target: "store", "table={} state=history_gone after={version}", self.name);
                Ok(FollowStep::List)
            }
            Either::Left((Err(error), _)) => Err(error),
            Either::Right(((), _)) => {
                warn!(target: "store", "table={} state=behind after={version}", self.name);
                Ok(FollowStep::List)
            }
        }
    }

    /// Waits for `duration`; returns early, with true, if the table has to be fetched
    /// again.
    async fn wait_for_refetch(&self, duration: Duration) -> bool {
        timeout(duration, self.replica.wait_for_refetch(self.table))
            .await
            .is_ok()
    }

    fn set_feed_live(&self, is_live: bool) {
        match self.table {
            FollowedTable::Entries => self.peers.set_feed_live(is_live),
            FollowedTable::Sheet => self.replica.set_store_failing(!is_live),
        }
    }

    /// Waits before the next call to a store that has failed. While the sheet can't be
    /// read either, its follower alone calls, as each refused call has a cost.
    async fn wait_after_failure(&self, backoff: Duration) {
        async_std::task::sleep(backoff).await;
        while self.table == FollowedTable::Entries && self.replica.is_store_failing() {
            async_std::task::sleep(REGAIN_CHECK_INTERVAL).await;
        }
    }

    fn batch_interval(&self) -> Duration {
        if self.peers.is_leading() {
            LEADER_BATCH_INTERVAL
        } else {
            BATCH_INTERVAL
        }
    }
}

/// Reads the owners from the store while the leader is silent, for as long as the
/// process runs.
pub(crate) async fn poll_owners(
    replica: Arc<StoreReplica>,
    store: Arc<dyn RowStore>,
    peers: Arc<PeerRegistry>,
    random: Arc<RandomSource>,
    name: String,
) {
    loop {
        async_std::task::sleep(OWNER_POLL_INTERVAL.mul_f64(0.8 + 0.4 * random.fraction())).await;
        if !peers.is_leader_live(OWNER_POLL_INTERVAL) {
            match store.list(&name).await {
                Ok(page) => {
                    for row in &page.rows {
                        replica.apply_owner_row(row);
                    }
                }
                Err(error) => replica.record_outage(&error),
            }
        }
    }
}
