//! Sending, loss, delay and delivery of messages in a world.

use crate::World;
use crate::message::{CallKind, Endpoint, Message, Payload};
use crate::world::TICK_INTERVAL;
use kernel::{HostId, Moment, UpstreamId};
use member::Heartbeat;
use owner::{Action, CommitOutcome, ControlCore, Event, TableTransaction, VersionedRow};
use std::sync::Arc;
use std::time::Duration;
use wire::{parse_stored_row, to_store_transaction};

const TABLE_TIMEOUT: Duration = Duration::from_millis(500);

impl World {
    pub(crate) fn perform(&mut self, host: &HostId, action: Action) {
        let from = Endpoint::Host(host.clone());
        let now = self.now;
        match action {
            Action::SendHeartbeat { to, heartbeat } => {
                let to = Endpoint::Host(to.control.into());
                self.send(
                    from,
                    to,
                    Payload::Heartbeat {
                        sent_at: now,
                        heartbeat,
                    },
                );
            }
            Action::Push { to, rows } => {
                let to = Endpoint::Host(to.control.into());
                self.send(from, to, Payload::Push { rows });
            }
            Action::Pull { address, .. } => {
                let to = Endpoint::Host(address.control.into());
                self.send(from, to, Payload::Pull);
            }
            Action::ReadTable => {
                let call = self.start_call(host, TABLE_TIMEOUT, CallKind::Read);
                self.send(
                    from,
                    Endpoint::Table,
                    Payload::Read {
                        started_at: now,
                        call,
                    },
                );
            }
            Action::Commit { id, transaction } => {
                let call = self.start_call(host, TABLE_TIMEOUT, CallKind::Commit(id));
                let payload = Payload::Commit {
                    id,
                    transaction,
                    call,
                };
                self.send(from, Endpoint::Table, payload);
            }
            Action::SendLeaseRequest {
                upstream, request, ..
            } => {
                let kind = CallKind::Lease {
                    upstream: upstream.clone(),
                    epoch: request.epoch,
                    sent_at: now,
                };
                let timeout = self.setup.timing.lease_request_timeout();
                let call = self.start_call(host, timeout, kind);
                let payload = Payload::Lease {
                    sent_at: now,
                    request,
                    call,
                };
                self.send(from, Endpoint::Upstream(upstream), payload);
            }
            Action::LoadSheet { version } => {
                self.send(Endpoint::Table, from, Payload::SheetBody { version });
            }
        }
    }

    fn start_call(&mut self, host: &HostId, timeout: Duration, kind: CallKind) -> u64 {
        self.next_call_number += 1;
        let call = self.next_call_number;
        let endpoint = Endpoint::Host(host.clone());
        let due_at = self.now + timeout;
        self.enqueue(
            due_at,
            endpoint.clone(),
            endpoint,
            Payload::Timeout { call, kind },
        );
        call
    }

    /// Sends a message after a random delay, unless it is lost or its path is cut.
    fn send(&mut self, from: Endpoint, to: Endpoint, payload: Payload) {
        let is_lost = self.rng.u8(0..100) < self.setup.loss_percent;
        if is_lost || self.cuts.contains(&(from.clone(), to.clone())) {
            return;
        }
        let delay_us = self.rng.u64(200..=self.setup.delay_ms.max(1) * 1_000);
        let due_at = self.now + Duration::from_micros(delay_us);
        self.enqueue(due_at, from, to, payload);
    }

    fn enqueue(&mut self, due_at: Moment, from: Endpoint, to: Endpoint, payload: Payload) {
        self.next_message_number += 1;
        self.messages.push(Message {
            due_at,
            number: self.next_message_number,
            from,
            to,
            payload,
        });
    }

    pub(crate) fn deliver(&mut self, message: Message) {
        let to = message.to.clone();
        match &to {
            Endpoint::Host(id) => self.deliver_to_host(id, message),
            Endpoint::Upstream(id) => self.deliver_to_upstream(id, message),
            Endpoint::Table => self.deliver_to_table(message),
        }
        self.check_invariants();
    }

    fn deliver_to_host(&mut self, id: &HostId, message: Message) {
        let Some(index) = self.hosts.iter().position(|host| host.id == *id) else {
            return;
        };
        if self.hosts[index].is_paused {
            self.hosts[index].queued_messages.push(message);
            return;
        }
        if self.hosts[index].core.is_none() {
            return;
        }
        let (receiver, sender) = (message.to, message.from);
        match message.payload {
            Payload::Heartbeat { sent_at, heartbeat } => {
                self.handle(id, Event::HeartbeatReceived(heartbeat));
                if let Some(heartbeat) = self.heartbeat_of(index) {
                    self.send(
                        receiver,
                        sender,
                        Payload::HeartbeatAck { sent_at, heartbeat },
                    );
                }
            }
            Payload::HeartbeatAck { sent_at, heartbeat } => {
                self.handle(id, Event::HeartbeatAcknowledged { sent_at, heartbeat });
            }
            Payload::Push { rows } => {
                if let Endpoint::Host(from) = &sender {
                    let from = from.clone();
                    self.handle(id, Event::RowsReceived { from, rows });
                }
                if let Some(heartbeat) = self.heartbeat_of(index) {
                    self.send(receiver, sender, Payload::PushAck { heartbeat });
                }
            }
            Payload::PushAck { heartbeat } => self.handle(id, Event::PushAcknowledged(heartbeat)),
            Payload::Pull => {
                let rows = self.hosts[index].core.as_ref().map(ControlCore::all_rows);
                let rows = rows.unwrap_or_default();
                self.send(receiver, sender, Payload::Rows { rows });
            }
            Payload::Rows { rows } => {
                if let Endpoint::Host(from) = sender {
                    self.handle(id, Event::RowsReceived { from, rows });
                }
            }
            Payload::ReadAnswer {
                started_at,
                rows,
                call,
            } => {
                if self.ended_calls.insert(call) {
                    self.handle(id, Event::TableRead { started_at, rows });
                }
            }
            Payload::CommitAnswer {
                id: commit,
                outcome,
                call,
            } => {
                if self.ended_calls.insert(call) {
                    self.handle(
                        id,
                        Event::CommitEnded {
                            id: commit,
                            outcome,
                        },
                    );
                }
            }
            Payload::LeaseAnswer {
                sent_at,
                epoch,
                result,
                call,
            } => {
                let Endpoint::Upstream(upstream) = sender else {
                    return;
                };
                if self.ended_calls.insert(call) {
                    self.handle(
                        id,
                        Event::LeaseAnswered {
                            upstream,
                            epoch,
                            sent_at,
                            result,
                        },
                    );
                }
            }
            Payload::Timeout { call, kind } => self.end_timed_out_call(id, call, kind),
            Payload::SheetBody { version } => {
                let sheet = Arc::clone(&self.sheet);
                self.handle(id, Event::SheetLoaded { version, sheet });
            }
            Payload::Read { .. } | Payload::Commit { .. } | Payload::Lease { .. } => {}
        }
    }

    fn heartbeat_of(&self, index: usize) -> Option<Heartbeat> {
        let core = self.hosts[index].core.as_ref()?;
        Some(core.heartbeat(self.now))
    }

    fn end_timed_out_call(&mut self, id: &HostId, call: u64, kind: CallKind) {
        if !self.ended_calls.insert(call) {
            return;
        }
        let event = match kind {
            CallKind::Read => Event::TableReadFailed,
            CallKind::Commit(id) => Event::CommitEnded {
                id,
                outcome: CommitOutcome::Unknown,
            },
            CallKind::Lease {
                upstream,
                epoch,
                sent_at,
            } => Event::LeaseAnswered {
                upstream,
                epoch,
                sent_at,
                result: owner::LeaseResult::Failed,
            },
        };
        self.handle(id, event);
    }

    fn deliver_to_upstream(&mut self, id: &UpstreamId, mut message: Message) {
        let now = self.now;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        if !upstream.is_alive {
            return;
        }
        if upstream.is_frozen {
            // The message stays in the socket's buffer until the process is resumed.
            message.due_at = now + TICK_INTERVAL;
            self.messages.push(message);
            return;
        }
        let Payload::Lease {
            sent_at,
            request,
            call,
        } = message.payload
        else {
            return;
        };
        let result = upstream.handle_request(now, &request);
        let payload = Payload::LeaseAnswer {
            sent_at,
            epoch: request.epoch,
            result,
            call,
        };
        self.send(message.to, message.from, payload);
    }

    fn deliver_to_table(&mut self, message: Message) {
        if self.table_is_down {
            return;
        }
        match message.payload {
            Payload::Read { started_at, call } => {
                let rows = self.table_rows();
                let payload = Payload::ReadAnswer {
                    started_at,
                    rows,
                    call,
                };
                self.send(message.to, message.from, payload);
            }
            Payload::Commit {
                id,
                transaction,
                call,
            } => {
                let outcome = self.commit(&transaction);
                if self.loses_answers {
                    return;
                }
                let payload = Payload::CommitAnswer { id, outcome, call };
                self.send(message.to, message.from, payload);
            }
            _ => {}
        }
    }

    fn commit(&mut self, transaction: &TableTransaction) -> CommitOutcome {
        let Ok(versions) = self.table.commit(&to_store_transaction(transaction)) else {
            return CommitOutcome::Conflict;
        };
        self.commits += 1;
        let mut rows = Vec::new();
        for (write, version) in transaction.writes.iter().zip(versions) {
            rows.push(VersionedRow {
                key: write.key.clone(),
                version: kernel::Version(version.version),
                content: write.content.clone(),
            });
        }
        CommitOutcome::Committed(rows)
    }

    pub(crate) fn table_rows(&self) -> Vec<VersionedRow> {
        let rows = self
            .table
            .scan(&["config", "service/", "domain/", "assign/"]);
        let parsed = rows
            .iter()
            .filter_map(|row| parse_stored_row(&row.key, row.version, &row.value).ok());
        parsed.collect()
    }
}
