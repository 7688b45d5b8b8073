//! Channel for requests from other threads to the control thread.

use crate::status::HostStatus;
use async_channel::{Receiver, Sender, unbounded};
use futures::channel::oneshot;
use kernel::{DomainName, UpstreamId, Version};
use owner::{ServiceRow, VersionedRow};
use std::time::Duration;

/// A request of another thread to the control thread.
#[derive(Debug)]
pub(crate) enum ControlRequest {
    /// Returns the host's status.
    Status(oneshot::Sender<HostStatus>),
    /// Returns the version and body of the active sheet.
    Sheet(oneshot::Sender<Option<(Version, Vec<u8>)>>),
    /// Returns the row of a sharded service.
    Service(String, oneshot::Sender<Option<ServiceRow>>),
    /// Applies rows that this host has committed.
    ApplyRows(Vec<VersionedRow>),
    /// Activates a sheet that this host has committed.
    ActivateSheet(Version, Vec<u8>),
    /// Drains an upstream, or cancels its drain if `false`.
    Drain(UpstreamId, bool),
    /// Declares a failure domain permanently lost, or back if `false`.
    DeclareLost(DomainName, bool),
    /// Makes this host leave.
    Leave,
    /// Returns the number of upstreams that this host is still the primary of; a
    /// leaving host hands them over.
    PrimaryCount(oneshot::Sender<usize>),
    /// Blocks the control thread for a time, as if the host were paused.
    BlockThread(Duration),
}

/// The sending side of the channel.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    sender: Sender<ControlRequest>,
}

impl ControlHandle {
    /// Creates a channel.
    pub fn new() -> (Self, Receiver<ControlRequest>) {
        let (sender, receiver) = unbounded();
        (Self { sender }, receiver)
    }

    /// Sends a request that has no reply.
    pub fn send(&self, request: ControlRequest) {
        // The channel is closed only when the host has ended.
        let _send_result = self.sender.try_send(request);
    }

    /// Sends a request and waits for the reply; returns `None` if the host has ended.
    pub async fn query<T>(
        &self,
        build: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(build(sender));
        receiver.await.ok()
    }
}
