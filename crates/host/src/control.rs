//! Requests from other threads to the control thread.

use crate::status::HostStatus;
use async_channel::{Receiver, Sender, unbounded};
use futures::channel::oneshot;
use kernel::{DomainName, UpstreamId, Version};
use owner::{ServiceRow, VersionedRow};
use std::time::Duration;

/// Something that another thread asks of the control thread.
#[derive(Debug)]
pub(crate) enum ControlRequest {
    /// The host's state.
    Status(oneshot::Sender<HostStatus>),
    /// The body and version of the sheet in force.
    Sheet(oneshot::Sender<Option<(Version, Vec<u8>)>>),
    /// The row of a divided service.
    Service(String, oneshot::Sender<Option<ServiceRow>>),
    /// Rows that were committed here.
    Learn(Vec<VersionedRow>),
    /// The body of a sheet that was committed here.
    Body(Version, Vec<u8>),
    /// An upstream is to leave, or to stay after all.
    Drain(UpstreamId, bool),
    /// A failure domain is lost for good, or back.
    DeclareLost(DomainName, bool),
    /// This host is to leave.
    Leave,
    /// Upstreams still held; the host hands them over while it leaves.
    Held(oneshot::Sender<usize>),
    /// The control thread is to stop for a time, as when a host is paused.
    Stall(Duration),
}

/// The other threads' end.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    sender: Sender<ControlRequest>,
}

impl ControlHandle {
    pub fn new() -> (Self, Receiver<ControlRequest>) {
        let (sender, receiver) = unbounded();
        (Self { sender }, receiver)
    }

    /// Sends a request that has no answer.
    pub fn tell(&self, request: ControlRequest) {
        // The control thread ends with the host.
        let _ended = self.sender.try_send(request);
    }

    /// Sends a request and waits for its answer; `None` when the host has ended.
    pub async fn ask<T>(
        &self,
        build: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.tell(build(sender));
        receiver.await.ok()
    }
}
