//! A request at the primary of its upstream: journal, queue, exchange.

use crate::answer::{Answer, AnswerBody};
use crate::journal::{JournalRefusal, JournalTicket};
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

/// How long a caller's refusal waits for the journal to hear of it.
const RELEASE_PATIENCE: Duration = Duration::from_secs(1);
/// How long the outcome of a run is tried to be written.
const OUTCOME_PATIENCE: Duration = Duration::from_mins(2);
/// Largest answer that the journal keeps, in bytes.
const KEPT_ANSWER_BYTES: usize = 16 << 10;

impl PrimarySchedulers {
    /// Runs a request at its upstream, or refuses it.
    ///
    /// # Errors
    ///
    /// Fails with a cause that says whether the request may have run.
    pub async fn serve(&self, order: ResolvedRequest) -> Result<Answer, Refusal> {
        if order.is_idempotent {
            return self.serve_once(&order).await;
        }
        // A charge runs to its end even when its caller goes away, so that its
        // outcome can be journaled.
        let (sender, receiver) = oneshot::channel();
        let schedulers = self.clone();
        async_std::task::spawn(async move {
            let outcome = schedulers.serve_journaled(&order).await;
            // A caller that has gone finds the outcome in the journal.
            let _gone = sender.send(outcome);
        });
        receiver.await.unwrap_or(Err(Cause::UpstreamLost.into()))
    }

    async fn serve_journaled(&self, order: &ResolvedRequest) -> Result<Answer, Refusal> {
        let Some(idempotency_key) = order.idempotency_key() else {
            return self.serve_once(order).await;
        };
        let now = self.shared.clock.now();
        let scheduler = self.open_desk(order)?;
        scheduler.check_deadline(now, order)?;
        let begun = self
            .shared
            .journal
            .begin(
                order.service.as_str(),
                order.customer.as_str(),
                idempotency_key,
                order.fingerprint(),
                order.request.as_str(),
                order.deadline,
            )
            .await;
        let ticket = match begun {
            Ok(ticket) => ticket,
            Err(JournalRefusal::Replay(answer)) => return Ok(replay(answer)),
            Err(JournalRefusal::Refused(Cause::JournalUnavailable))
                if order.journal == JournalPolicy::RunUnjournaled =>
            {
                return self.serve_once(order).await;
            }
            Err(JournalRefusal::Refused(cause)) => return Err(cause.into()),
        };
        let outcome = self.serve_once(order).await;
        if let Some(state) = journal_state(&outcome) {
            self.write_outcome(ticket, state).await;
        }
        outcome
    }

    /// Writes down how a journaled request ended.
    async fn write_outcome(&self, ticket: JournalTicket, state: JournalState) {
        let journal = self.shared.journal.clone();
        if state == JournalState::Released {
            // A re-send that comes at once must find that it may run.
            journal.end(ticket, state, RELEASE_PATIENCE).await;
            return;
        }
        async_std::task::spawn(async move {
            journal.end(ticket, state, OUTCOME_PATIENCE).await;
        });
    }

    fn open_desk(&self, order: &ResolvedRequest) -> Result<Arc<UpstreamScheduler>, Refusal> {
        let scheduler = self.scheduler(&order.upstream).ok_or(Cause::NotPrimary)?;
        scheduler.check(self.shared.clock.now(), order.shard)?;
        Ok(scheduler)
    }

    async fn serve_once(&self, order: &ResolvedRequest) -> Result<Answer, Refusal> {
        let scheduler = self.open_desk(order)?;
        let fingerprint = order.fingerprint();
        let now = self.shared.clock.now();
        let quarantine_remaining = self
            .shared
            .quarantine
            .lock()
            .quarantine_remaining(now, fingerprint);
        if let Some(wait) = quarantine_remaining {
            self.shared.metrics.quarantined.inc();
            return Err(Refusal::new(Cause::Quarantined).after(wait));
        }
        let is_suspect = self.shared.quarantine.lock().is_suspect(now, fingerprint);
        // Suspects run one at a time, so that a second loss names the culprit.
        let turn = if is_suspect {
            Some(scheduler.suspect_turn.lock().await)
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
                return Err(Refusal::new(Cause::Quarantined).after(wait));
            }
        }
        let slot = scheduler.admit(order).await?;
        if is_suspect {
            scheduler.set_suspect(fingerprint, None);
        }
        let outcome = self.shared.exchanger.exchange(slot, order).await;
        if is_suspect {
            scheduler.set_suspect(fingerprint, Some(self.shared.clock.now()));
        }
        drop(turn);
        let cause = outcome.as_ref().err().map(|refusal| refusal.cause);
        self.note_outcome(&scheduler, fingerprint, is_suspect, cause)
            .await;
        outcome
    }

    /// Clears a suspect that completed, and blames a request for a death.
    async fn note_outcome(
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
                // A refused connection tells a dead upstream from a lost connection.
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

/// Returns what the journal is to say; `None` when the outcome is unknown and
/// the entry must stay as started, so that a re-send does not run it again.
fn journal_state(outcome: &Result<Answer, Refusal>) -> Option<JournalState> {
    match outcome {
        Ok(answer) => Some(JournalState::Finished(kept_answer(answer))),
        Err(refusal) if refusal.verdict() == Verdict::NotRun => Some(JournalState::Released),
        Err(_) => None,
    }
}

fn kept_answer(answer: &Answer) -> Option<StoredAnswer> {
    let AnswerBody::Whole(bytes) = &answer.body else {
        return None;
    };
    if bytes.len() > KEPT_ANSWER_BYTES {
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
