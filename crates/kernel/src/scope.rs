//! Scopes of tasks that end together.

use async_channel::{Receiver, Sender, bounded};
use futures::future::{Either, select};
use std::pin::pin;

/// A scope of tasks that are dropped when it is closed.
#[derive(Clone, Debug)]
pub struct TaskScope {
    closer: Sender<()>,
    closed: Receiver<()>,
}

impl TaskScope {
    /// Creates an open scope.
    pub fn new() -> Self {
        let (sender, receiver) = bounded(1);
        Self {
            closer: sender,
            closed: receiver,
        }
    }

    /// Closes the scope, which drops all its tasks at their next await point.
    pub fn close(&self) {
        self.closer.close();
    }

    /// Returns whether the scope has been closed.
    pub fn is_closed(&self) -> bool {
        self.closed.is_closed()
    }

    /// Waits until the scope is closed.
    pub async fn closed(&self) {
        // Nothing is ever sent, so `recv` returns only once the channel is closed.
        let _closed = self.closed.recv().await;
    }

    /// Spawns a task of the scope on the process's executor.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let scope = self.clone();
        async_std::task::spawn(async move {
            let closed = pin!(scope.closed());
            match select(pin!(task), closed).await {
                Either::Left(_) | Either::Right(_) => {}
            }
        });
    }
}

impl Default for TaskScope {
    fn default() -> Self {
        Self::new()
    }
}
