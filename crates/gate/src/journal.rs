//! The journal of non-idempotent requests, stored in the platform's table.
//!
//! Entries of many requests are batched into one transaction, and transactions are
//! sent one at a time. The write rate thus stays within the platform's limit
//! however many requests there are.

use async_channel::{Receiver, Sender, bounded};
use futures::channel::oneshot;
use kernel::{Cause, Clock, Moment, TaskScope, wall_clock_ms};
use retry::{JournalEntry, JournalState, StartDecision, StoredAnswer, decide_start, journal_key};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use store::{CommitError, StoreRow, StoreTransaction, TableStore};

const MAX_BATCH_ENTRIES: usize = 64;
const QUEUE_CAPACITY: usize = 4_096;
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Maximum time to write an entry before the request is refused.
const WRITE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after a failure of the table during which new entries are refused at once.
const FAILURE_BACKOFF: Duration = Duration::from_millis(400);

/// A conditional write of an entry over the row version `base_version`.
#[derive(Debug)]
struct JournalWrite {
    key: String,
    base_version: u64,
    entry: JournalEntry,
    write_deadline: Moment,
    reply: oneshot::Sender<WriteOutcome>,
}

#[derive(Debug)]
enum WriteOutcome {
    Written(u64),
    Conflict(Option<(u64, JournalEntry)>),
    Abandoned,
}

/// Why a request may not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalRefusal {
    /// It has already run; this is the stored answer.
    Replay(StoredAnswer),
    /// It is refused; the cause says whether it may have run.
    Refused(Cause),
}

/// The stored entry of a request that may run now.
#[derive(Clone, Debug)]
pub(crate) struct StartedEntry {
    key: String,
    version: u64,
    entry: JournalEntry,
}

/// Writes journal entries.
#[derive(Clone, Debug)]
pub struct Journal {
    sender: Sender<JournalWrite>,
    clock: Arc<dyn Clock>,
    retention: Duration,
    failing_until_us: Arc<AtomicU64>,
}

impl Journal {
    /// Starts a journal whose writer task runs in `scope` and whose entries are kept
    /// for `retention`.
    pub fn start(
        store: Arc<dyn TableStore>,
        clock: Arc<dyn Clock>,
        retention: Duration,
        scope: &TaskScope,
    ) -> Self {
        let (sender, receiver) = bounded(QUEUE_CAPACITY);
        let failing_until_us = Arc::new(AtomicU64::new(0));
        let writer = JournalWriter {
            store,
            clock: Arc::clone(&clock),
            receiver,
            failing_until_us: Arc::clone(&failing_until_us),
        };
        scope.spawn(writer.run());
        Self {
            sender,
            clock,
            retention,
            failing_until_us,
        }
    }

    /// Writes the entry that a request needs before it may run.
    ///
    /// # Errors
    ///
    /// Fails when the idempotency key has already been used, or when the entry can't
    /// be written in time.
    pub(crate) async fn begin(
        &self,
        service: &str,
        customer: &str,
        idempotency_key: &str,
        fingerprint: u64,
        attempt: &str,
        deadline: Moment,
    ) -> Result<StartedEntry, JournalRefusal> {
        let unavailable = JournalRefusal::Refused(Cause::JournalUnavailable);
        let now = self.clock.now();
        if now.as_micros() < self.failing_until_us.load(Ordering::Relaxed) {
            return Err(unavailable);
        }
        let write_deadline = deadline.min(now + WRITE_TIMEOUT);
        let key = journal_key(service, customer, idempotency_key);
        let entry = JournalEntry {
            fingerprint,
            attempt: attempt.to_owned(),
            state: JournalState::Started,
            expires_at_ms: wall_clock_ms() + self.retention.as_millis() as u64,
        };
        let mut base_version = 0;
        loop {
            let outcome = self.write(&key, base_version, &entry, write_deadline).await;
            let current = match outcome {
                WriteOutcome::Written(version) => {
                    return Ok(StartedEntry {
                        key,
                        version,
                        entry,
                    });
                }
                WriteOutcome::Abandoned => return Err(unavailable),
                WriteOutcome::Conflict(current) => current,
            };
            let current_entry = current.as_ref().map(|(version, entry)| (*version, entry));
            match decide_start(current_entry, fingerprint, attempt) {
                StartDecision::Start {
                    base_version: newer_version,
                } => base_version = newer_version,
                StartDecision::OwnEntry => {
                    let version = current.map_or(0, |(version, _)| version);
                    return Ok(StartedEntry {
                        key,
                        version,
                        entry,
                    });
                }
                StartDecision::Replay(answer) => return Err(JournalRefusal::Replay(answer)),
                StartDecision::OutcomeUnknown => {
                    return Err(JournalRefusal::Refused(Cause::OutcomeUnknown));
                }
                StartDecision::KeyReused => {
                    return Err(JournalRefusal::Refused(Cause::KeyReused));
                }
            }
        }
    }

    /// Writes the final state of a request's entry; returns whether it was written.
    pub(crate) async fn finish(
        &self,
        started_entry: StartedEntry,
        state: JournalState,
        write_timeout: Duration,
    ) -> bool {
        let entry = JournalEntry {
            state,
            ..started_entry.entry
        };
        let write_deadline = self.clock.now() + write_timeout;
        let outcome = self
            .write(
                &started_entry.key,
                started_entry.version,
                &entry,
                write_deadline,
            )
            .await;
        matches!(outcome, WriteOutcome::Written(_))
    }

    async fn write(
        &self,
        key: &str,
        base_version: u64,
        entry: &JournalEntry,
        write_deadline: Moment,
    ) -> WriteOutcome {
        let (reply, receiver) = oneshot::channel();
        let write = JournalWrite {
            key: key.to_owned(),
            base_version,
            entry: entry.clone(),
            write_deadline,
            reply,
        };
        if self.sender.try_send(write).is_err() {
            return WriteOutcome::Abandoned;
        }
        let remaining = write_deadline - self.clock.now();
        match async_std::future::timeout(remaining, receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => WriteOutcome::Abandoned,
        }
    }
}

#[derive(Debug)]
struct JournalWriter {
    store: Arc<dyn TableStore>,
    clock: Arc<dyn Clock>,
    receiver: Receiver<JournalWrite>,
    failing_until_us: Arc<AtomicU64>,
}

impl JournalWriter {
    async fn run(self) {
        while let Ok(first) = self.receiver.recv().await {
            let mut batch = vec![first];
            let mut deferred = None;
            while batch.len() < MAX_BATCH_ENTRIES {
                let Ok(next) = self.receiver.try_recv() else {
                    break;
                };
                if batch.iter().any(|write| write.key == next.key) {
                    // A transaction can write a row only once.
                    deferred = Some(next);
                    break;
                }
                batch.push(next);
            }
            self.write_batch(batch).await;
            if let Some(write) = deferred {
                self.write_batch(vec![write]).await;
            }
        }
    }

    /// Writes a batch until every entry is written, conflicts or has expired.
    async fn write_batch(&self, mut batch: Vec<JournalWrite>) {
        loop {
            batch = self.remove_expired(batch);
            if batch.is_empty() {
                return;
            }
            let transaction = build_transaction(&batch);
            match self.store.commit(&transaction).await {
                Ok(versions) => {
                    self.failing_until_us.store(0, Ordering::Relaxed);
                    for (write, version) in batch.into_iter().zip(versions) {
                        // The requester may have stopped waiting.
                        let _send_result = write.reply.send(WriteOutcome::Written(version.version));
                    }
                    return;
                }
                Err(CommitError::Conflict(rows)) => {
                    self.failing_until_us.store(0, Ordering::Relaxed);
                    batch = answer_conflicts(batch, &rows);
                }
                Err(CommitError::NotAttempted(_)) => {
                    self.record_failure();
                    async_std::task::sleep(RETRY_DELAY).await;
                }
                Err(CommitError::Unknown(_)) => {
                    batch = self.resolve_unknown(batch).await;
                }
            }
        }
    }

    /// Reads back which entries were written by a transaction whose answer was lost.
    ///
    /// Returns the entries that were not. They are written again over the same
    /// version, so that at most one of the two transactions takes effect.
    async fn resolve_unknown(&self, batch: Vec<JournalWrite>) -> Vec<JournalWrite> {
        let keys: Vec<String> = batch.iter().map(|write| write.key.clone()).collect();
        let Ok(rows) = self.store.read(&keys).await else {
            self.record_failure();
            async_std::task::sleep(RETRY_DELAY).await;
            return batch;
        };
        let mut remaining = Vec::new();
        for write in batch {
            let current = rows.iter().find(|row| row.key == write.key);
            let Some((version, entry)) = current.and_then(parse_row) else {
                remaining.push(write);
                continue;
            };
            if version <= write.base_version {
                remaining.push(write);
                continue;
            }
            let is_own = entry == write.entry;
            let outcome = if is_own {
                WriteOutcome::Written(version)
            } else {
                WriteOutcome::Conflict(Some((version, entry)))
            };
            // The requester may have stopped waiting.
            let _send_result = write.reply.send(outcome);
        }
        remaining
    }

    fn remove_expired(&self, batch: Vec<JournalWrite>) -> Vec<JournalWrite> {
        let now = self.clock.now();
        let mut remaining = Vec::new();
        for write in batch {
            if now < write.write_deadline {
                remaining.push(write);
                continue;
            }
            // The requester may have stopped waiting.
            let _send_result = write.reply.send(WriteOutcome::Abandoned);
        }
        remaining
    }

    fn record_failure(&self) {
        let until = self.clock.now() + FAILURE_BACKOFF;
        self.failing_until_us
            .store(until.as_micros(), Ordering::Relaxed);
    }
}

fn build_transaction(batch: &[JournalWrite]) -> StoreTransaction {
    let mut transaction = StoreTransaction::default();
    for write in batch {
        let value = serde_json::to_value(&write.entry).unwrap_or_default();
        transaction.write(&write.key, write.base_version, value);
    }
    transaction
}

fn answer_conflicts(batch: Vec<JournalWrite>, rows: &[StoreRow]) -> Vec<JournalWrite> {
    let mut remaining = Vec::new();
    for write in batch {
        let Some(row) = rows.iter().find(|row| row.key == write.key) else {
            remaining.push(write);
            continue;
        };
        // The requester may have stopped waiting.
        let _send_result = write.reply.send(WriteOutcome::Conflict(parse_row(row)));
    }
    remaining
}

fn parse_row(row: &StoreRow) -> Option<(u64, JournalEntry)> {
    let entry = serde_json::from_value(row.value.clone()).ok()?;
    Some((row.version, entry))
}
