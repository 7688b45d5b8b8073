//! Tasks that end together.

use async_channel::{Receiver, Sender, bounded};
use futures::future::{Either, select};
use std::pin::pin;

/// Spawns tasks that are dropped when the scope is closed.
#[derive(Clone, Debug)]
pub struct TaskScope {
    closer: Sender<()>,
    closed: Receiver<()>,
}

impl TaskScope {
    /// Opens a scope.
    pub fn new() -> Self {
        let (sender, receiver) = bounded(1);
        Self {
            closer: sender,
            closed: receiver,
        }
    }

    /// Drops all tasks of the scope at their next await point.
    pub fn close(&self) {
        self.closer.close();
    }

    /// Returns whether the scope has been closed.
    pub fn is_closed(&self) -> bool {
        self.closed.is_closed()
    }

    /// Waits until the scope is closed.
    pub async fn closed(&self) {
        // Nothing is ever sent, so an answer means that the channel has closed.
        let _closed = self.closed.recv().await;
    }

    /// Spawns a task on the process's executor.
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
