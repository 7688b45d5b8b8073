//! Messages of a world: sent, lost, delayed and delivered.

use crate::World;
use crate::message::{Content, Message, Place, TimeoutOf};
use crate::world::TICK;
use kernel::{HostId, Moment, UpstreamId};
use member::Heartbeat;
use owner::{Action, CommitOutcome, ControlCore, Event, TableTransaction, VersionedRow};
use std::sync::Arc;
use std::time::Duration;
use wire::{store_row, store_transaction};

const TABLE_LIMIT: Duration = Duration::from_millis(500);

impl World {
    pub(crate) fn perform(&mut self, host: &HostId, action: Action) {
        let from = Place::Host(host.clone());
        let now = self.now;
        match action {
            Action::SendHeartbeat { to, heartbeat } => {
                let to = Place::Host(to.control.into());
                self.send(
                    from,
                    to,
                    Content::Beat {
                        sent: now,
                        heartbeat,
                    },
                );
            }
            Action::Push { to, rows } => {
                let to = Place::Host(to.control.into());
                self.send(from, to, Content::Push { rows });
            }
            Action::Pull { address, .. } => {
                let to = Place::Host(address.control.into());
                self.send(from, to, Content::Pull);
            }
            Action::ReadTable => {
                let call = self.expect_answer(host, TABLE_LIMIT, TimeoutOf::Read);
                self.send(from, Place::Table, Content::Read { started: now, call });
            }
            Action::Commit { id, transaction } => {
                let call = self.expect_answer(host, TABLE_LIMIT, TimeoutOf::Commit(id));
                let content = Content::Commit {
                    id,
                    transaction,
                    call,
                };
                self.send(from, Place::Table, content);
            }
            Action::SendLeaseRequest {
                upstream, request, ..
            } => {
                let timeout = TimeoutOf::Lease {
                    upstream: upstream.clone(),
                    epoch: request.epoch,
                    sent: now,
                };
                let limit = self.setup.timing.lease_request_timeout();
                let call = self.expect_answer(host, limit, timeout);
                let content = Content::Lease {
                    sent: now,
                    request,
                    call,
                };
                self.send(from, Place::Upstream(upstream), content);
            }
            Action::LoadSheet { version } => {
                self.send(Place::Table, from, Content::SheetBody { version });
            }
        }
    }

    fn expect_answer(&mut self, host: &HostId, limit: Duration, event: TimeoutOf) -> u64 {
        self.next_call += 1;
        let call = self.next_call;
        let place = Place::Host(host.clone());
        let due = self.now + limit;
        self.enqueue(due, place.clone(), place, Content::Timeout { call, event });
        call
    }

    /// Sends a message, which may be lost or cut off.
    fn send(&mut self, from: Place, to: Place, content: Content) {
        let is_lost = self.rng.u8(0..100) < self.setup.loss_percent;
        if is_lost || self.cuts.contains(&(from.clone(), to.clone())) {
            return;
        }
        let delay_us = self.rng.u64(200..=self.setup.delay_ms.max(1) * 1_000);
        let due = self.now + Duration::from_micros(delay_us);
        self.enqueue(due, from, to, content);
    }

    fn enqueue(&mut self, due: Moment, from: Place, to: Place, content: Content) {
        self.next_number += 1;
        self.messages.push(Message {
            due,
            number: self.next_number,
            from,
            to,
            content,
        });
    }

    pub(crate) fn deliver(&mut self, message: Message) {
        let to = message.to.clone();
        match &to {
            Place::Host(id) => self.deliver_to_host(id, message),
            Place::Upstream(id) => self.deliver_to_upstream(id, message),
            Place::Table => self.deliver_to_table(message),
        }
        self.check();
    }

    fn deliver_to_host(&mut self, id: &HostId, message: Message) {
        let Some(index) = self.hosts.iter().position(|host| host.id == *id) else {
            return;
        };
        if self.hosts[index].is_paused {
            self.hosts[index].waiting.push(message);
            return;
        }
        if self.hosts[index].core.is_none() {
            return;
        }
        let (own, back) = (message.to, message.from);
        match message.content {
            Content::Beat { sent, heartbeat } => {
                self.feed(id, Event::HeartbeatReceived(heartbeat));
                if let Some(heartbeat) = self.beat_of(index) {
                    self.send(own, back, Content::BeatAck { sent, heartbeat });
                }
            }
            Content::BeatAck { sent, heartbeat } => {
                self.feed(id, Event::HeartbeatAcknowledged { sent, heartbeat });
            }
            Content::Push { rows } => {
                if let Place::Host(from) = &back {
                    let from = from.clone();
                    self.feed(id, Event::RowsReceived { from, rows });
                }
                if let Some(heartbeat) = self.beat_of(index) {
                    self.send(own, back, Content::PushAck { heartbeat });
                }
            }
            Content::PushAck { heartbeat } => self.feed(id, Event::PushAcknowledged(heartbeat)),
            Content::Pull => {
                let rows = self.hosts[index].core.as_ref().map(ControlCore::all_rows);
                let rows = rows.unwrap_or_default();
                self.send(own, back, Content::Rows { rows });
            }
            Content::Rows { rows } => {
                if let Place::Host(from) = back {
                    self.feed(id, Event::RowsReceived { from, rows });
                }
            }
            Content::ReadAnswer {
                started,
                rows,
                call,
            } => {
                if self.answered.insert(call) {
                    self.feed(id, Event::TableRead { started, rows });
                }
            }
            Content::CommitAnswer {
                id: commit,
                outcome,
                call,
            } => {
                if self.answered.insert(call) {
                    self.feed(
                        id,
                        Event::CommitEnded {
                            id: commit,
                            outcome,
                        },
                    );
                }
            }
            Content::LeaseAnswer {
                sent,
                epoch,
                result,
                call,
            } => {
                let Place::Upstream(upstream) = back else {
                    return;
                };
                if self.answered.insert(call) {
                    self.feed(
                        id,
                        Event::LeaseAnswered {
                            upstream,
                            epoch,
                            sent,
                            result,
                        },
                    );
                }
            }
            Content::Timeout { call, event } => self.time_out(id, call, event),
            Content::SheetBody { version } => {
                let sheet = Arc::clone(&self.sheet);
                self.feed(id, Event::SheetLoaded { version, sheet });
            }
            Content::Read { .. } | Content::Commit { .. } | Content::Lease { .. } => {}
        }
    }

    fn beat_of(&self, index: usize) -> Option<Heartbeat> {
        let core = self.hosts[index].core.as_ref()?;
        Some(core.heartbeat(self.now))
    }

    fn time_out(&mut self, id: &HostId, call: u64, event: TimeoutOf) {
        if !self.answered.insert(call) {
            return;
        }
        let event = match event {
            TimeoutOf::Read => Event::TableReadFailed,
            TimeoutOf::Commit(id) => Event::CommitEnded {
                id,
                outcome: CommitOutcome::Unknown,
            },
            TimeoutOf::Lease {
                upstream,
                epoch,
                sent,
            } => Event::LeaseAnswered {
                upstream,
                epoch,
                sent,
                result: owner::LeaseResult::Failed,
            },
        };
        self.feed(id, event);
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
            // It is read from the socket's buffer once the process goes on.
            message.due = now + TICK;
            self.messages.push(message);
            return;
        }
        let Content::Lease {
            sent,
            request,
            call,
        } = message.content
        else {
            return;
        };
        let result = upstream.answer(now, &request);
        let content = Content::LeaseAnswer {
            sent,
            epoch: request.epoch,
            result,
            call,
        };
        self.send(message.to, message.from, content);
    }

    fn deliver_to_table(&mut self, message: Message) {
        if self.table_is_down {
            return;
        }
        match message.content {
            Content::Read { started, call } => {
                let rows = self.table_rows();
                let content = Content::ReadAnswer {
                    started,
                    rows,
                    call,
                };
                self.send(message.to, message.from, content);
            }
            Content::Commit {
                id,
                transaction,
                call,
            } => {
                let outcome = self.commit(&transaction);
                if self.loses_answers {
                    return;
                }
                let content = Content::CommitAnswer { id, outcome, call };
                self.send(message.to, message.from, content);
            }
            _ => {}
        }
    }

    fn commit(&mut self, transaction: &TableTransaction) -> CommitOutcome {
        let Ok(versions) = self.table.commit(&store_transaction(transaction)) else {
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
            .filter_map(|row| store_row(&row.key, row.version, &row.value).ok());
        parsed.collect()
    }
}
