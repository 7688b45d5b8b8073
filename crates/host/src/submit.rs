//! Submission of a sheet: it is checked, stored and committed. An outcome that can't
//! be determined is reported as unknown and never guessed.

use crate::control::{ControlHandle, ControlRequest};
use crate::hub::PlatformPorts;
use kernel::{Version, wall_clock_ms};
use owner::{ConfigRow, RowContent, RowKey, VersionedRow};
use serde::Serialize;
use sheet::{Sheet, SheetChange, SheetDigest, list_changes};
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::{CommitError, StoreRow, StoreTransaction};

const CONFIG_KEY: &str = "config";
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A sheet that an operator submits.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub body: String,
    /// Version that the sheet is based on; 0 if it is the first one.
    pub base: Version,
    /// Token that identifies the submission, so that it can be sent again safely.
    pub token: String,
    /// Name of the operator's token.
    pub operator: String,
    /// Whether only the changes are computed and nothing is committed.
    pub is_dry_run: bool,
}

/// Outcome of a submission.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub(crate) enum SubmitOutcome {
    /// The sheet was committed.
    Accepted {
        version: Version,
        changes: Vec<SheetChange>,
    },
    /// Dry run: the changes that the sheet would make.
    WouldChange {
        base: Version,
        changes: Vec<SheetChange>,
    },
    /// The sheet is invalid.
    Invalid { problems: Vec<SubmitProblem> },
    /// Another sheet was committed over the same version.
    Conflict { version: Version, winner: String },
    /// The platform can't be reached; nothing was committed.
    Unavailable { reason: String },
    /// The commit was not answered; the same submission with the same token may be sent
    /// again.
    Unknown { reason: String },
}

/// A problem of a submitted sheet.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SubmitProblem {
    pub path: String,
    pub line: usize,
    pub column: usize,
    pub message: String,
}

impl SubmitOutcome {
    /// Returns the HTTP status code of the outcome.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Accepted { .. } | Self::WouldChange { .. } => 200,
            Self::Invalid { .. } => 422,
            Self::Conflict { .. } => 409,
            Self::Unavailable { .. } => 503,
            Self::Unknown { .. } => 504,
        }
    }
}

/// Checks and commits sheets.
#[derive(Clone, Debug)]
pub(crate) struct SheetSubmitter {
    pub ports: PlatformPorts,
    pub control: ControlHandle,
}

impl SheetSubmitter {
    /// Submits a sheet, or returns the changes that it would make.
    pub async fn submit(&self, submission: Submission) -> SubmitOutcome {
        let sheet = match Sheet::parse(&submission.body) {
            Ok(sheet) => sheet,
            Err(error) => return invalid(&error),
        };
        if let Some(problem) = self.changed_shard_count(&sheet).await {
            return SubmitOutcome::Invalid {
                problems: vec![problem],
            };
        }
        let changes = self.changes(&sheet).await;
        if submission.is_dry_run {
            return SubmitOutcome::WouldChange {
                base: submission.base,
                changes,
            };
        }
        let digest = SheetDigest::digest_of(submission.body.as_bytes());
        let stored = self
            .ports
            .objects
            .put(digest.as_str(), submission.body.as_bytes())
            .await;
        if let Err(error) = stored {
            return SubmitOutcome::Unavailable {
                reason: error.to_string(),
            };
        }
        let row = ConfigRow {
            digest,
            submitted_by: submission.operator.clone(),
            submission: submission.token.clone(),
            committed_at_ms: wall_clock_ms(),
        };
        self.commit(&submission, row, changes).await
    }

    /// Returns a problem if the shard count of a known service would change.
    async fn changed_shard_count(&self, sheet: &Sheet) -> Option<SubmitProblem> {
        for (name, plan) in &sheet.services {
            let Some(keys) = &plan.keys else {
                continue;
            };
            let service = name.as_str().to_owned();
            let known = self
                .control
                .query(|reply| ControlRequest::Service(service, reply));
            let Some(Some(row)) = known.await else {
                continue;
            };
            if row.shards == keys.shards {
                continue;
            }
            return Some(SubmitProblem {
                path: format!("services.{name}.keys.shards"),
                line: 0,
                column: 0,
                message: format!("the service has {} shards for its life", row.shards),
            });
        }
        None
    }

    /// Returns the changes from the active sheet.
    async fn changes(&self, sheet: &Sheet) -> Vec<SheetChange> {
        let active = self.control.query(ControlRequest::Sheet).await.flatten();
        let empty_sheet = Sheet {
            services: indexmap::IndexMap::new(),
            customers: indexmap::IndexMap::new(),
        };
        let current = active
            .and_then(|(_, body)| String::from_utf8(body).ok())
            .and_then(|body| Sheet::parse(&body).ok())
            .unwrap_or(empty_sheet);
        list_changes(&current, sheet)
    }

    /// Commits the row, and reads it back if the answer to the commit was lost.
    async fn commit(
        &self,
        submission: &Submission,
        row: ConfigRow,
        changes: Vec<SheetChange>,
    ) -> SubmitOutcome {
        let value = serde_json::to_value(&row).unwrap_or_default();
        let mut transaction = StoreTransaction::default();
        transaction.write(CONFIG_KEY, submission.base.0, value);
        let commit_deadline = Instant::now() + COMMIT_TIMEOUT;
        let mut may_have_committed = false;
        loop {
            let reason = match self.ports.table.commit(&transaction).await {
                Ok(versions) => {
                    let version = Version(versions.first().map_or(0, |row| row.version));
                    return self.accept(submission, row, version, changes);
                }
                Err(CommitError::Conflict(rows)) => {
                    return self.resolve_conflict(submission, &rows, changes);
                }
                Err(CommitError::NotAttempted(error)) => error.to_string(),
                Err(CommitError::Unknown(reason)) => {
                    may_have_committed = true;
                    let rows = self.newer_rows(submission.base).await;
                    if !rows.is_empty() {
                        return self.resolve_conflict(submission, &rows, changes);
                    }
                    reason
                }
            };
            if Instant::now() < commit_deadline {
                // The same transaction can be sent again: only one of them takes effect
                // over a given version.
                async_std::task::sleep(RETRY_DELAY).await;
                continue;
            }
            return if may_have_committed {
                SubmitOutcome::Unknown { reason }
            } else {
                SubmitOutcome::Unavailable { reason }
            };
        }
    }

    /// Returns the current row if it is newer than `base`.
    async fn newer_rows(&self, base: Version) -> Vec<StoreRow> {
        let keys = [CONFIG_KEY.to_owned()];
        let read = self.ports.table.read(&keys).await;
        let mut rows = read.unwrap_or_default();
        rows.retain(|row| row.version > base.0);
        rows
    }

    /// Distinguishes the submission's own commit, whose answer was lost, from that of
    /// another operator.
    fn resolve_conflict(
        &self,
        submission: &Submission,
        rows: &[StoreRow],
        changes: Vec<SheetChange>,
    ) -> SubmitOutcome {
        let current = rows.iter().find(|row| row.key == CONFIG_KEY);
        let Some(current) = current else {
            return SubmitOutcome::Unknown {
                reason: "conflict without the present row".to_owned(),
            };
        };
        let parsed = serde_json::from_value::<ConfigRow>(current.value.clone());
        let version = Version(current.version);
        match parsed {
            Ok(row) if row.submission == submission.token => {
                self.accept(submission, row, version, changes)
            }
            Ok(row) => SubmitOutcome::Conflict {
                version,
                winner: row.submitted_by,
            },
            Err(_) => SubmitOutcome::Conflict {
                version,
                winner: "nobody".to_owned(),
            },
        }
    }

    /// Applies a committed sheet to this host's state.
    fn accept(
        &self,
        submission: &Submission,
        row: ConfigRow,
        version: Version,
        changes: Vec<SheetChange>,
    ) -> SubmitOutcome {
        let committed = VersionedRow {
            key: RowKey::Config,
            version,
            content: RowContent::Config(Arc::new(row)),
        };
        self.control
            .send(ControlRequest::ApplyRows(vec![committed]));
        let body = submission.body.clone().into_bytes();
        self.control
            .send(ControlRequest::ActivateSheet(version, body));
        SubmitOutcome::Accepted { version, changes }
    }
}

fn invalid(error: &sheet::Error) -> SubmitOutcome {
    let problems = error.problems().iter().map(|problem| SubmitProblem {
        path: problem.path.clone(),
        line: error.line(),
        column: error.column(),
        message: problem.message.clone(),
    });
    SubmitOutcome::Invalid {
        problems: problems.collect(),
    }
}
