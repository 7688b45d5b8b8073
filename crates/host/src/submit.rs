//! Submission of a sheet: check, store, commit, and never guess the outcome.

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
const COMMIT_PATIENCE: Duration = Duration::from_secs(8);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A sheet that an operator submits.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub body: String,
    /// The version that the sheet is based on; 0 when there is none.
    pub base: Version,
    /// Token by which a resubmission is recognised.
    pub token: String,
    /// Who submits it.
    pub operator: String,
    /// Whether only the changes are wanted.
    pub is_dry_run: bool,
}

/// How a submission ended.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub(crate) enum SubmitOutcome {
    /// It is the intended state from now on.
    Accepted {
        version: Version,
        changes: Vec<SheetChange>,
    },
    /// It would change this.
    WouldChange {
        base: Version,
        changes: Vec<SheetChange>,
    },
    /// It can't be accepted.
    Invalid { problems: Vec<SubmitProblem> },
    /// Another sheet was accepted over the same version.
    Conflict { version: Version, winner: String },
    /// The platform can't be reached; nothing was tried.
    Unavailable { reason: String },
    /// No answer; the same submission with the same token may be sent again.
    Unknown { reason: String },
}

/// One thing wrong with a submitted sheet.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SubmitProblem {
    pub path: String,
    pub line: usize,
    pub column: usize,
    pub message: String,
}

impl SubmitOutcome {
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

/// Submits sheets.
#[derive(Clone, Debug)]
pub(crate) struct SheetDesk {
    pub ports: PlatformPorts,
    pub control: ControlHandle,
}

impl SheetDesk {
    /// Submits a sheet, or tells what it would change.
    pub async fn submit(&self, submission: Submission) -> SubmitOutcome {
        let sheet = match Sheet::parse(&submission.body) {
            Ok(sheet) => sheet,
            Err(error) => return invalid(&error),
        };
        if let Some(problem) = self.changed_shards(&sheet).await {
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
        let digest = SheetDigest::of(submission.body.as_bytes());
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

    /// Returns a problem when a service's shard count would change.
    async fn changed_shards(&self, sheet: &Sheet) -> Option<SubmitProblem> {
        for (name, plan) in &sheet.services {
            let Some(keys) = &plan.keys else {
                continue;
            };
            let service = name.as_str().to_owned();
            let asked = self
                .control
                .ask(|reply| ControlRequest::Service(service, reply));
            let Some(Some(row)) = asked.await else {
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

    async fn changes(&self, sheet: &Sheet) -> Vec<SheetChange> {
        let present = self.control.ask(ControlRequest::Sheet).await.flatten();
        let empty = Sheet {
            services: indexmap::IndexMap::new(),
            customers: indexmap::IndexMap::new(),
        };
        let current = present
            .and_then(|(_, body)| String::from_utf8(body).ok())
            .and_then(|body| Sheet::parse(&body).ok())
            .unwrap_or(empty);
        list_changes(&current, sheet)
    }

    /// Commits the row, finding out what became of a commit whose answer is lost.
    async fn commit(
        &self,
        submission: &Submission,
        row: ConfigRow,
        changes: Vec<SheetChange>,
    ) -> SubmitOutcome {
        let value = serde_json::to_value(&row).unwrap_or_default();
        let mut transaction = StoreTransaction::default();
        transaction.write(CONFIG_KEY, submission.base.0, value);
        let give_up_at = Instant::now() + COMMIT_PATIENCE;
        let mut may_have_committed = false;
        loop {
            let reason = match self.ports.table.commit(&transaction).await {
                Ok(versions) => {
                    let version = Version(versions.first().map_or(0, |row| row.version));
                    return self.accept(submission, row, version, changes);
                }
                Err(CommitError::Conflict(rows)) => {
                    return self.judge_conflict(submission, &rows, changes);
                }
                Err(CommitError::NotAttempted(error)) => error.to_string(),
                Err(CommitError::Unknown(reason)) => {
                    may_have_committed = true;
                    let rows = self.rows_past(submission.base).await;
                    if !rows.is_empty() {
                        return self.judge_conflict(submission, &rows, changes);
                    }
                    reason
                }
            };
            if Instant::now() < give_up_at {
                // The same transaction again: over one version one takes effect.
                async_std::task::sleep(RETRY_PAUSE).await;
                continue;
            }
            return if may_have_committed {
                SubmitOutcome::Unknown { reason }
            } else {
                SubmitOutcome::Unavailable { reason }
            };
        }
    }

    /// Returns the present row if it has passed `base`.
    async fn rows_past(&self, base: Version) -> Vec<StoreRow> {
        let keys = [CONFIG_KEY.to_owned()];
        let read = self.ports.table.read(&keys).await;
        let mut rows = read.unwrap_or_default();
        rows.retain(|row| row.version > base.0);
        rows
    }

    /// Tells an own commit whose answer was lost from another operator's.
    fn judge_conflict(
        &self,
        submission: &Submission,
        rows: &[StoreRow],
        changes: Vec<SheetChange>,
    ) -> SubmitOutcome {
        let present = rows.iter().find(|row| row.key == CONFIG_KEY);
        let Some(present) = present else {
            return SubmitOutcome::Unknown {
                reason: "conflict without the present row".to_owned(),
            };
        };
        let parsed = serde_json::from_value::<ConfigRow>(present.value.clone());
        let version = Version(present.version);
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

    fn accept(
        &self,
        submission: &Submission,
        row: ConfigRow,
        version: Version,
        changes: Vec<SheetChange>,
    ) -> SubmitOutcome {
        let learned = VersionedRow {
            key: RowKey::Config,
            version,
            content: RowContent::Config(Arc::new(row)),
        };
        self.control.tell(ControlRequest::Learn(vec![learned]));
        let body = submission.body.clone().into_bytes();
        self.control.tell(ControlRequest::Body(version, body));
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
