//! Journal entries of non-idempotent requests.
//!
//! An entry is written before the request runs and completed after it. A later request
//! with the same key finds the entry and does not run again, unless the first one is
//! known not to have run.

use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// An entry under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Fingerprint of the request's kind and body.
    pub fingerprint: u64,
    /// Id of the attempt that wrote the entry.
    pub attempt: String,
    /// State of the request.
    pub state: JournalState,
    /// Time at which the entry may be removed, in Unix milliseconds (since 1970).
    pub expires_at_ms: u64,
}

/// State of a journaled request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalState {
    /// It may be running, or its outcome was lost.
    Started,
    /// It is known not to have run and may be tried again.
    Released,
    /// It ran; with the answer if that is small enough to be stored.
    Finished(Option<StoredAnswer>),
}

/// A stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// Status code.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// The body, as text; answers that are not text are not stored.
    pub body: String,
}

/// Decision on a request, given the journal entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// Write an entry over this version and run the request once the write is
    /// committed.
    Start {
        /// Version of the current row; 0 when there is none.
        base_version: u64,
    },
    /// This attempt wrote the entry itself, in a commit whose answer was lost.
    OwnEntry,
    /// It has run; return the stored answer.
    Replay(StoredAnswer),
    /// It has run or may be running; the answer is not available.
    OutcomeUnknown,
    /// The key was used for another request.
    KeyReused,
}

/// Returns the table key of a journal entry.
pub fn journal_key(service: &str, customer: &str, idempotency_key: &str) -> String {
    let mut escaped = String::with_capacity(idempotency_key.len());
    for character in idempotency_key.chars() {
        // Commas separate the keys in a list of table keys, slashes the parts of a key.
        if character.is_ascii_alphanumeric() || "-_.".contains(character) {
            escaped.push(character);
        } else {
            for byte in character.to_string().bytes() {
                // Writing to a string does not fail.
                let _infallible = write!(escaped, "~{byte:02x}");
            }
        }
    }
    format!("journal/{service}/{customer}/{escaped}")
}

/// Decides whether a request may start; `current` is the version and content of the
/// journal entry.
pub fn decide_start(
    current: Option<(u64, &JournalEntry)>,
    fingerprint: u64,
    attempt: &str,
) -> StartDecision {
    let Some((version, entry)) = current else {
        return StartDecision::Start { base_version: 0 };
    };
    if entry.fingerprint != fingerprint {
        return StartDecision::KeyReused;
    }
    match &entry.state {
        JournalState::Released => StartDecision::Start {
            base_version: version,
        },
        JournalState::Started if entry.attempt == attempt => StartDecision::OwnEntry,
        JournalState::Finished(Some(answer)) => StartDecision::Replay(answer.clone()),
        JournalState::Started | JournalState::Finished(None) => StartDecision::OutcomeUnknown,
    }
}
