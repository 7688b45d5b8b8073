//! The journal of non-idempotent requests, through the platform's table.
//!
//! Entries of many requests are committed in one transaction, one transaction
//! at a time, so that writes stay within the platform's rate however many
//! requests there are.

use async_channel::{Receiver, Sender, bounded};
use futures::channel::oneshot;
use kernel::{Cause, Clock, Moment, TaskScope, wall_clock_ms};
use retry::{JournalEntry, JournalState, StartDecision, StoredAnswer, decide_start, journal_key};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use store::{CommitError, StoreRow, StoreTransaction, TableStore};

const MOST_IN_BATCH: usize = 64;
const QUEUE_LIMIT: usize = 4_096;
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Longest wait for an entry to be written before the request is refused.
const WRITE_PATIENCE: Duration = Duration::from_millis(900);
/// An unanswering table refuses further entries at once for this long.
const FAILING_SPAN: Duration = Duration::from_millis(400);

/// An entry to write over a version.
#[derive(Debug)]
struct JournalWrite {
    key: String,
    base: u64,
    entry: JournalEntry,
    give_up_at: Moment,
    reply: oneshot::Sender<WriteOutcome>,
}

#[derive(Debug)]
enum WriteOutcome {
    Written(u64),
    Conflict(Option<(u64, JournalEntry)>),
    GivenUp,
}

/// A request that may not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalRefusal {
    /// It ran before; this was its answer.
    Replay(StoredAnswer),
    /// The cause says whether it may have run.
    Refused(Cause),
}

/// A written entry of a request that may run now.
#[derive(Clone, Debug)]
pub(crate) struct JournalTicket {
    key: String,
    version: u64,
    entry: JournalEntry,
}

/// Writes journal entries.
#[derive(Clone, Debug)]
pub struct Journal {
    sender: Sender<JournalWrite>,
    clock: Arc<dyn Clock>,
    keep: Duration,
    failing_until_us: Arc<AtomicU64>,
}

impl Journal {
    /// Starts the writer in `scope`.
    pub fn start(
        store: Arc<dyn TableStore>,
        clock: Arc<dyn Clock>,
        keep: Duration,
        scope: &TaskScope,
    ) -> Self {
        let (sender, receiver) = bounded(QUEUE_LIMIT);
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
            keep,
            failing_until_us,
        }
    }

    /// Writes the entry that lets a request run, or says why it may not.
    ///
    /// # Errors
    ///
    /// Fails when the key is known, or when the entry can't be written in time.
    pub(crate) async fn begin(
        &self,
        service: &str,
        customer: &str,
        idempotency_key: &str,
        fingerprint: u64,
        attempt: &str,
        deadline: Moment,
    ) -> Result<JournalTicket, JournalRefusal> {
        let unavailable = JournalRefusal::Refused(Cause::JournalUnavailable);
        let now = self.clock.now();
        if now.as_micros() < self.failing_until_us.load(Ordering::Relaxed) {
            return Err(unavailable);
        }
        let give_up_at = deadline.min(now + WRITE_PATIENCE);
        let key = journal_key(service, customer, idempotency_key);
        let entry = JournalEntry {
            fingerprint,
            attempt: attempt.to_owned(),
            state: JournalState::Started,
            expires_at_ms: wall_clock_ms() + self.keep.as_millis() as u64,
        };
        let mut base = 0;
        loop {
            let outcome = self.write(&key, base, &entry, give_up_at).await;
            let present = match outcome {
                WriteOutcome::Written(version) => {
                    return Ok(JournalTicket {
                        key,
                        version,
                        entry,
                    });
                }
                WriteOutcome::GivenUp => return Err(unavailable),
                WriteOutcome::Conflict(present) => present,
            };
            let found = present.as_ref().map(|(version, entry)| (*version, entry));
            match decide_start(found, fingerprint, attempt) {
                StartDecision::Start { base: newer } => base = newer,
                StartDecision::AlreadyOwn => {
                    let version = present.map_or(0, |(version, _)| version);
                    return Ok(JournalTicket {
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

    /// Writes how a request that was let run ended; returns whether it was written.
    pub(crate) async fn end(
        &self,
        ticket: JournalTicket,
        state: JournalState,
        patience: Duration,
    ) -> bool {
        let entry = JournalEntry {
            state,
            ..ticket.entry
        };
        let give_up_at = self.clock.now() + patience;
        let outcome = self
            .write(&ticket.key, ticket.version, &entry, give_up_at)
            .await;
        matches!(outcome, WriteOutcome::Written(_))
    }

    async fn write(
        &self,
        key: &str,
        base: u64,
        entry: &JournalEntry,
        give_up_at: Moment,
    ) -> WriteOutcome {
        let (reply, receiver) = oneshot::channel();
        let write = JournalWrite {
            key: key.to_owned(),
            base,
            entry: entry.clone(),
            give_up_at,
            reply,
        };
        if self.sender.try_send(write).is_err() {
            return WriteOutcome::GivenUp;
        }
        let left = give_up_at - self.clock.now();
        match async_std::future::timeout(left, receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => WriteOutcome::GivenUp,
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
            let mut held_back = None;
            while batch.len() < MOST_IN_BATCH {
                let Ok(next) = self.receiver.try_recv() else {
                    break;
                };
                if batch.iter().any(|write| write.key == next.key) {
                    // A transaction writes each row once.
                    held_back = Some(next);
                    break;
                }
                batch.push(next);
            }
            self.write_batch(batch).await;
            if let Some(write) = held_back {
                self.write_batch(vec![write]).await;
            }
        }
    }

    /// Writes a batch until each entry is written, in conflict or given up.
    async fn write_batch(&self, mut batch: Vec<JournalWrite>) {
        loop {
            batch = self.drop_overdue(batch);
            if batch.is_empty() {
                return;
            }
            let transaction = transaction_of(&batch);
            match self.store.commit(&transaction).await {
                Ok(versions) => {
                    self.failing_until_us.store(0, Ordering::Relaxed);
                    for (write, version) in batch.into_iter().zip(versions) {
                        // A requester that has given up needs no answer.
                        let _gone = write.reply.send(WriteOutcome::Written(version.version));
                    }
                    return;
                }
                Err(CommitError::Conflict(rows)) => {
                    self.failing_until_us.store(0, Ordering::Relaxed);
                    batch = answer_conflicts(batch, &rows);
                }
                Err(CommitError::NotAttempted(_)) => {
                    self.note_failure();
                    async_std::task::sleep(RETRY_PAUSE).await;
                }
                Err(CommitError::Unknown(_)) => {
                    batch = self.read_back(batch).await;
                }
            }
        }
    }

    /// Finds out which entries of a transaction with a lost answer were written.
    ///
    /// Entries that were not are sent again over the same version, so that of
    /// the two transactions one takes effect at most.
    async fn read_back(&self, batch: Vec<JournalWrite>) -> Vec<JournalWrite> {
        let keys: Vec<String> = batch.iter().map(|write| write.key.clone()).collect();
        let Ok(rows) = self.store.read(&keys).await else {
            self.note_failure();
            async_std::task::sleep(RETRY_PAUSE).await;
            return batch;
        };
        let mut left = Vec::new();
        for write in batch {
            let present = rows.iter().find(|row| row.key == write.key);
            let Some((version, entry)) = present.and_then(parse_row) else {
                left.push(write);
                continue;
            };
            if version <= write.base {
                left.push(write);
                continue;
            }
            let is_own = entry == write.entry;
            let outcome = if is_own {
                WriteOutcome::Written(version)
            } else {
                WriteOutcome::Conflict(Some((version, entry)))
            };
            // A requester that has given up needs no answer.
            let _gone = write.reply.send(outcome);
        }
        left
    }

    fn drop_overdue(&self, batch: Vec<JournalWrite>) -> Vec<JournalWrite> {
        let now = self.clock.now();
        let mut left = Vec::new();
        for write in batch {
            if now < write.give_up_at {
                left.push(write);
                continue;
            }
            // A requester that has given up needs no answer.
            let _gone = write.reply.send(WriteOutcome::GivenUp);
        }
        left
    }

    fn note_failure(&self) {
        let until = self.clock.now() + FAILING_SPAN;
        self.failing_until_us
            .store(until.as_micros(), Ordering::Relaxed);
    }
}

fn transaction_of(batch: &[JournalWrite]) -> StoreTransaction {
    let mut transaction = StoreTransaction::default();
    for write in batch {
        let value = serde_json::to_value(&write.entry).unwrap_or_default();
        transaction.write(&write.key, write.base, value);
    }
    transaction
}

fn answer_conflicts(batch: Vec<JournalWrite>, rows: &[StoreRow]) -> Vec<JournalWrite> {
    let mut left = Vec::new();
    for write in batch {
        let Some(row) = rows.iter().find(|row| row.key == write.key) else {
            left.push(write);
            continue;
        };
        // A requester that has given up needs no answer.
        let _gone = write.reply.send(WriteOutcome::Conflict(parse_row(row)));
    }
    left
}

fn parse_row(row: &StoreRow) -> Option<(u64, JournalEntry)> {
    let entry = serde_json::from_value(row.value.clone()).ok()?;
    Some((row.version, entry))
}
