//! What the journal says on a non-idempotent request.
//!
//! An entry is written before the request runs and completed after. A second
//! request with the same key finds it and never runs again, unless the first is
//! known not to have run.

use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// An entry under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Fingerprint of the request's kind and body.
    pub fingerprint: u64,
    /// The attempt that wrote the entry.
    pub attempt: String,
    /// How far it is.
    pub state: JournalState,
    /// When the entry may be removed, in milliseconds since 1970.
    pub expires_at_ms: u64,
}

/// How far a journaled request is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalState {
    /// It may be running, or its outcome was lost.
    Started,
    /// It certainly did not run and may be tried again.
    Released,
    /// It ran; the answer is kept when it is small enough.
    Finished(Option<StoredAnswer>),
}

/// A kept answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// Status code.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// The body, as text; answers that are not text are not kept.
    pub body: String,
}

/// What to do with a request, given the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// Write an entry over this version and run it once that is committed.
    Start {
        /// The version of the present row; 0 when there is none.
        base: u64,
    },
    /// The entry is the attempt's own, from a commit whose answer was lost.
    AlreadyOwn,
    /// It ran before; give the kept answer.
    Replay(StoredAnswer),
    /// It ran before, or may be running; the answer is not at hand.
    OutcomeUnknown,
    /// The key belongs to another request.
    KeyReused,
}

/// Returns the table key of an entry.
pub fn journal_key(service: &str, customer: &str, idempotency_key: &str) -> String {
    let mut safe = String::with_capacity(idempotency_key.len());
    for character in idempotency_key.chars() {
        // The table's keys are listed with commas and slashes between them.
        if character.is_ascii_alphanumeric() || "-_.".contains(character) {
            safe.push(character);
        } else {
            for byte in character.to_string().bytes() {
                // Writing to a string does not fail.
                let _infallible = write!(safe, "~{byte:02x}");
            }
        }
    }
    format!("journal/{service}/{customer}/{safe}")
}

/// Decides whether a request may start.
pub fn decide_start(
    present: Option<(u64, &JournalEntry)>,
    fingerprint: u64,
    attempt: &str,
) -> StartDecision {
    let Some((version, entry)) = present else {
        return StartDecision::Start { base: 0 };
    };
    if entry.fingerprint != fingerprint {
        return StartDecision::KeyReused;
    }
    match &entry.state {
        JournalState::Released => StartDecision::Start { base: version },
        JournalState::Started if entry.attempt == attempt => StartDecision::AlreadyOwn,
        JournalState::Finished(Some(answer)) => StartDecision::Replay(answer.clone()),
        JournalState::Started | JournalState::Finished(None) => StartDecision::OutcomeUnknown,
    }
}
