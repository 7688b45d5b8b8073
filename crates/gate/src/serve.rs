//! Handling of a request at the primary of its upstream: journal, queue, exchange.

use crate::answer::{Answer, AnswerBody};
use crate::journal::{JournalRefusal, StartedEntry};
use crate::request::ResolvedRequest;
use crate::scheduler::UpstreamScheduler;
use crate::schedulers::PrimarySchedulers;
use futures::channel::oneshot;
use h1::HeaderList;
use kernel::{Cause, Refusal, Verdict};
use retry::{JournalState, StoredAnswer};
use sheet::JournalPolicy;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time that a refusal is delayed to release the journal entry.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which writing the outcome of a run is retried.
const OUTCOME_TIMEOUT: Duration = Duration::from_mins(2);
/// Maximum size of an answer's body in the journal, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 16 << 10;

impl PrimarySchedulers {
    /// Runs a request at its upstream, or refuses it.
    ///
    /// # Errors
    ///
    /// Fails with a cause that says whether the request may have run.
    pub async fn serve(&self, request: ResolvedRequest) -> Result<Answer, Refusal> {
        if request.is_idempotent {
            return self.run_at_upstream(&request).await;
        }
        // A non-idempotent request runs to its end even if its client disconnects, so
        // that its outcome can be journaled.
        let (sender, receiver) = oneshot::channel();
        let schedulers = self.clone();
        async_std::task::spawn(async move {
            let outcome = schedulers.serve_journaled(&request).await;
            // A client that has disconnected finds the outcome in the journal.
            let _send_result = sender.send(outcome);
        });
        receiver.await.unwrap_or(Err(Cause::UpstreamLost.into()))
    }

    async fn serve_journaled(&self, request: &ResolvedRequest) -> Result<Answer, Refusal> {
        let Some(idempotency_key) = request.idempotency_key() else {
            return self.run_at_upstream(request).await;
        };
        let now = self.shared.clock.now();
        let scheduler = self.usable_scheduler(request)?;
        scheduler.check_deadline(now, request)?;
        let started = self
            .shared
            .journal
            .begin(
                request.service.as_str(),
                request.customer.as_str(),
                idempotency_key,
                request.fingerprint(),
                request.id.as_str(),
                request.deadline,
            )
            .await;
        let started_entry = match started {
            Ok(started_entry) => started_entry,
            Err(JournalRefusal::Replay(answer)) => return Ok(replay(answer)),
            Err(JournalRefusal::Refused(Cause::JournalUnavailable))
                if request.journal == JournalPolicy::RunUnjournaled =>
            {
                return self.run_at_upstream(request).await;
            }
            Err(JournalRefusal::Refused(cause)) => return Err(cause.into()),
        };
        let outcome = self.run_at_upstream(request).await;
        if let Some(state) = journal_state(&outcome) {
            self.journal_outcome(started_entry, state).await;
        }
        outcome
    }

    /// Writes the outcome of a request to the journal.
    async fn journal_outcome(&self, started_entry: StartedEntry, state: JournalState) {
        let journal = self.shared.journal.clone();
        if state == JournalState::Released {
            // A retry that arrives at once must find that it may run.
            journal.finish(started_entry, state, RELEASE_TIMEOUT).await;
            return;
        }
        async_std::task::spawn(async move {
            journal.finish(started_entry, state, OUTCOME_TIMEOUT).await;
        });
    }

    /// Returns the scheduler of a request's upstream if it may send the request now.
    fn usable_scheduler(
        &self,
        request: &ResolvedRequest,
    ) -> Result<Arc<UpstreamScheduler>, Refusal> {
        let scheduler = self.scheduler(&request.upstream).ok_or(Cause::NotPrimary)?;
        scheduler.check(self.shared.clock.now(), request.shard)?;
        Ok(scheduler)
    }

    /// Queues a request and exchanges it with its upstream.
    async fn run_at_upstream(&self, request: &ResolvedRequest) -> Result<Answer, Refusal> {
        let scheduler = self.usable_scheduler(request)?;
        let fingerprint = request.fingerprint();
        let now = self.shared.clock.now();
        let quarantine_remaining = self
            .shared
            .quarantine
            .lock()
            .quarantine_remaining(now, fingerprint);
        if let Some(wait) = quarantine_remaining {
            self.shared.metrics.quarantined.inc();
            return Err(Refusal::new(Cause::Quarantined).with_retry_after(wait));
        }
        let is_suspect = self.shared.quarantine.lock().is_suspect(now, fingerprint);
        // Suspects run one at a time, so that a second loss identifies the request that
        // causes it.
        let suspect_guard = if is_suspect {
            Some(scheduler.suspect_lock.lock().await)
        } else {
            None
        };
        if is_suspect {
            let quarantine_remaining = self
                .shared
                .quarantine
                .lock()
                .quarantine_remaining(now, fingerprint);
            if let Some(wait) = quarantine_remaining {
                return Err(Refusal::new(Cause::Quarantined).with_retry_after(wait));
            }
        }
        let slot = scheduler.admit(request).await?;
        if is_suspect {
            scheduler.set_suspect(fingerprint, None);
        }
        let outcome = self.shared.exchanger.exchange(slot, request).await;
        if is_suspect {
            scheduler.set_suspect(fingerprint, Some(self.shared.clock.now()));
        }
        drop(suspect_guard);
        let cause = outcome.as_ref().err().map(|refusal| refusal.cause);
        self.record_outcome(&scheduler, fingerprint, is_suspect, cause)
            .await;
        outcome
    }

    /// Clears a suspect that completed, and records the loss of the upstream against
    /// the request that is blamed for it.
    async fn record_outcome(
        &self,
        scheduler: &UpstreamScheduler,
        fingerprint: u64,
        is_suspect: bool,
        cause: Option<Cause>,
    ) {
        match cause {
            None if is_suspect => {
                let now = self.shared.clock.now();
                let mut quarantine = self.shared.quarantine.lock();
                quarantine.record_completion(now, fingerprint);
            }
            Some(Cause::UpstreamLost) => {
                // The upstream is dead if it accepts no new connection; otherwise only
                // the connection was lost.
                let is_dead = scheduler.pool.connect().await.is_err();
                let now = self.shared.clock.now();
                if is_dead && !scheduler.blames_other(now, fingerprint) {
                    let mut quarantine = self.shared.quarantine.lock();
                    quarantine.record_loss(now, fingerprint);
                }
            }
            None | Some(_) => {}
        }
    }
}

/// Returns the state that the journal entry is given.
///
/// Returns `None` if the outcome is unknown: the entry must stay started then, so
/// that a retry does not run the request again.
fn journal_state(outcome: &Result<Answer, Refusal>) -> Option<JournalState> {
    match outcome {
        Ok(answer) => Some(JournalState::Finished(stored_answer(answer))),
        Err(refusal) if refusal.verdict() == Verdict::NotRun => Some(JournalState::Released),
        Err(_) => None,
    }
}

fn stored_answer(answer: &Answer) -> Option<StoredAnswer> {
    let AnswerBody::Whole(bytes) = &answer.body else {
        return None;
    };
    if bytes.len() > MAX_STORED_ANSWER_BYTES {
        return None;
    }
    Some(StoredAnswer {
        status: answer.status,
        content_type: answer.headers.get("content-type").map(str::to_owned),
        body: String::from_utf8(bytes.clone()).ok()?,
    })
}

fn replay(stored: StoredAnswer) -> Answer {
    let mut headers = HeaderList::new();
    if let Some(content_type) = stored.content_type {
        headers.push("content-type", content_type);
    }
    headers.push("x-replayed", "1");
    Answer {
        status: stored.status,
        headers,
        body: AnswerBody::Whole(stored.body.into_bytes()),
        wait: Duration::ZERO,
    }
}
