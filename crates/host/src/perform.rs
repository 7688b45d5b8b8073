//! Execution of the actions that the control state machine requests.

use crate::hub::ControlHub;
use http_types::Method;
use kernel::{Epoch, Moment, UpstreamId, Version, wall_clock_ms};
use log::{info, warn};
use owner::{
    Action, CommitId, CommitOutcome, Event, LeaseReply, LeaseRequest, LeaseResult, RowContent,
    RowKey, TableTransaction, VersionedRow,
};
use serde::Deserialize;
use sheet::{Sheet, SheetDigest};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use store::{CommitError, JsonClient, RowCheck};
use wire::{parse_stored_row, to_store_transaction};

/// Key prefixes of the rows that make up the control state.
const ROW_PREFIXES: [&str; 4] = ["config", "service/", "domain/", "assign/"];
const SHEET_RETRY_DELAY: Duration = Duration::from_millis(150);
const LOG_TARGET: &str = "placement";

/// Body of an upstream's refusal of a lease request.
#[derive(Debug, Deserialize)]
struct SupersededBody {
    superseded: Epoch,
}

impl ControlHub {
    /// Executes an action; its result is reported as an event.
    pub(crate) fn perform(self: &Rc<Self>, now: Moment, action: Action) {
        match action {
            Action::SendHeartbeat { to, heartbeat } => self.send_heartbeat(&to, heartbeat),
            Action::Push { to, rows } => self.push_rows(&to, rows),
            Action::Pull { from, address } => self.pull_rows(from, &address),
            Action::ReadTable => self.read_table(now),
            Action::Commit { id, transaction } => self.commit(id, transaction),
            Action::SendLeaseRequest {
                upstream,
                address,
                request,
            } => self.request_lease(upstream, &address, request),
            Action::LoadSheet { version } => self.load_sheet(version),
        }
    }

    fn read_table(self: &Rc<Self>, started_at: Moment) {
        let hub = Rc::clone(self);
        async_std::task::spawn_local(async move {
            let Ok(stored) = hub.ports.table.scan(&ROW_PREFIXES).await else {
                hub.handle_event(Event::TableReadFailed);
                return;
            };
            let mut rows = Vec::new();
            for row in stored {
                match parse_stored_row(&row.key, row.version, &row.value) {
                    Ok(row) => rows.push(row),
                    Err(error) => warn!(target: LOG_TARGET, "invalid row skipped: {error}"),
                }
            }
            hub.handle_event(Event::TableRead { started_at, rows });
        });
    }

    fn commit(self: &Rc<Self>, id: CommitId, transaction: TableTransaction) {
        let hub = Rc::clone(self);
        async_std::task::spawn_local(async move {
            let converted = to_store_transaction(&transaction);
            let outcome = match hub.ports.table.commit(&converted).await {
                Ok(versions) => CommitOutcome::Committed(written_rows(&transaction, &versions)),
                Err(CommitError::Conflict(_)) => CommitOutcome::Conflict,
                Err(CommitError::NotAttempted(_)) => CommitOutcome::NotAttempted,
                Err(CommitError::Unknown(_)) => CommitOutcome::Unknown,
            };
            log_commit(&transaction, &outcome);
            hub.handle_event(Event::CommitEnded { id, outcome });
        });
    }

    fn request_lease(self: &Rc<Self>, upstream: UpstreamId, address: &str, request: LeaseRequest) {
        let client = self.lease_client(address);
        let hub = Rc::clone(self);
        async_std::task::spawn_local(async move {
            let sent_at = hub.clock.now();
            let epoch = request.epoch;
            let result = send_lease_request(&client, &request).await;
            if let LeaseResult::Accepted(reply) = &result {
                hub.record_boot(&upstream, reply.boot);
            }
            hub.handle_event(Event::LeaseAnswered {
                upstream,
                epoch,
                sent_at,
                result,
            });
        });
    }

    fn lease_client(&self, address: &str) -> JsonClient {
        let timeout = self.core.borrow().timing().lease_request_timeout();
        let mut clients = self.lease_clients.borrow_mut();
        let client = clients
            .entry(address.to_owned())
            .or_insert_with(|| JsonClient::new(address, timeout));
        client.clone()
    }

    fn record_boot(&self, upstream: &UpstreamId, boot: u64) {
        let previous = self
            .boot_numbers
            .borrow_mut()
            .insert(upstream.clone(), boot);
        if previous.is_some_and(|previous| previous != boot) {
            info!(target: LOG_TARGET, "upstream={upstream} restarted");
            self.schedulers.record_restart(upstream);
        }
    }

    /// Loads a sheet's body from a host that has it or from the object store, and
    /// retries until it is found or a newer version is requested.
    fn load_sheet(self: &Rc<Self>, version: Version) {
        if self.loading_sheet.get() >= Some(version) {
            return;
        }
        self.loading_sheet.set(Some(version));
        let hub = Rc::clone(self);
        async_std::task::spawn_local(async move {
            while !hub.scope.is_closed() && hub.loading_sheet.get() == Some(version) {
                if let Some(body) = hub.fetch_sheet(version).await {
                    hub.activate_sheet(version, body);
                    return;
                }
                async_std::task::sleep(SHEET_RETRY_DELAY).await;
            }
        });
    }

    async fn fetch_sheet(&self, version: Version) -> Option<Vec<u8>> {
        let digest = self.accepted_digest(version)?;
        for address in self.sheet_holders(version) {
            let body = self.pull_sheet(&address, version).await;
            if let Some(body) = body.filter(|body| SheetDigest::digest_of(body) == digest) {
                return Some(body);
            }
        }
        let stored = self.ports.objects.get(digest.as_str()).await.ok()??;
        (SheetDigest::digest_of(&stored) == digest).then_some(stored)
    }

    /// Returns the digest of `version`, or `None` if another version is accepted.
    fn accepted_digest(&self, version: Version) -> Option<SheetDigest> {
        let core = self.core.borrow();
        let (accepted, row) = core.rows().config()?;
        (accepted == version).then(|| row.digest.clone())
    }

    /// Returns the addresses of at most `MAX_HOLDERS` live hosts that have activated a
    /// sheet version.
    fn sheet_holders(&self, version: Version) -> Vec<owner::HostAddress> {
        const MAX_HOLDERS: usize = 2;
        let now = self.clock.now();
        let core = self.core.borrow();
        let holders = core
            .peers()
            .live_peers(now)
            .filter(|(_, peer)| peer.heartbeat.sheet_version == version)
            .filter_map(|(host, _)| core.host_address(host));
        holders.take(MAX_HOLDERS).collect()
    }

    /// Activates a sheet whose digest has been checked.
    pub(crate) fn activate_sheet(self: &Rc<Self>, version: Version, body: Vec<u8>) {
        let parsed = std::str::from_utf8(&body).map(Sheet::parse);
        let Ok(Ok(sheet)) = parsed else {
            warn!(target: "config", "version={version} can't be parsed; the active sheet stays");
            return;
        };
        let active = self
            .sheet_body
            .borrow()
            .as_ref()
            .map(|(version, _)| *version);
        if active >= Some(version) {
            return;
        }
        *self.sheet_body.borrow_mut() = Some((version, body));
        self.record_spread(version);
        let sheet = Arc::new(sheet);
        self.handle_event(Event::SheetLoaded { version, sheet });
    }

    /// Records the time from a sheet's commit to its activation here.
    fn record_spread(&self, version: Version) {
        let core = self.core.borrow();
        let Some((accepted, row)) = core.rows().config() else {
            return;
        };
        if accepted == version {
            let spread = wall_clock_ms().saturating_sub(row.committed_at_ms);
            self.sheet_spread_ms.set(Some(spread));
        }
    }
}

async fn send_lease_request(client: &JsonClient, request: &LeaseRequest) -> LeaseResult {
    let Ok(body) = serde_json::to_vec(request) else {
        return LeaseResult::Failed;
    };
    let Ok(reply) = client.send(Method::Post, "/control/lease", &body).await else {
        return LeaseResult::Failed;
    };
    if reply.is_success() {
        return match reply.parse::<LeaseReply>() {
            Ok(accepted) => LeaseResult::Accepted(accepted),
            Err(_) => LeaseResult::Failed,
        };
    }
    match reply.parse::<SupersededBody>() {
        Ok(body) if reply.status == 409 => LeaseResult::Superseded(body.superseded),
        _ => LeaseResult::Failed,
    }
}

fn written_rows(transaction: &TableTransaction, versions: &[RowCheck]) -> Vec<VersionedRow> {
    let mut rows = Vec::new();
    for (write, version) in transaction.writes.iter().zip(versions) {
        rows.push(VersionedRow {
            key: write.key.clone(),
            version: Version(version.version),
            content: write.content.clone(),
        });
    }
    rows
}

fn log_commit(transaction: &TableTransaction, outcome: &CommitOutcome) {
    let outcome = match outcome {
        CommitOutcome::Committed(_) => "committed",
        CommitOutcome::Conflict => "conflict",
        CommitOutcome::NotAttempted => "not-tried",
        CommitOutcome::Unknown => "unknown",
    };
    for write in &transaction.writes {
        let (hosts, upstreams) = match &write.content {
            RowContent::Domain(row) => (row.hosts.len(), row.upstreams.len()),
            _ => (0, 0),
        };
        let key: &RowKey = &write.key;
        info!(
            target: LOG_TARGET,
            "row={key} base={} outcome={outcome} hosts={hosts} upstreams={upstreams}",
            write.base,
        );
    }
}
