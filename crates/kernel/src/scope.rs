//! Scopes of tasks that end together.

use async_channel::{Receiver, Sender, bounded};
use futures::FutureExt;
use futures::future::{Either, select};
use log::error;
use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::time::Duration;

/// Delay before a task that has panicked is made anew.
const RESTART_DELAY: Duration = Duration::from_millis(100);

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
    ///
    /// A panic ends the task alone and is logged.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let scope = self.clone();
        async_std::task::spawn(async move {
            let closed = pin!(scope.closed());
            let task = pin!(AssertUnwindSafe(task).catch_unwind());
            if let Either::Left((Err(panic), _)) = select(task, closed).await {
                log_panic("unnamed", &*panic);
            }
        });
    }

    /// Spawns a task that the process can't do without: after a panic, `make_task` makes
    /// it anew.
    ///
    /// Without this, a single message that makes the task panic would leave the process
    /// running but deaf.
    pub fn spawn_restarting<M, F>(&self, name: &'static str, make_task: M)
    where
        M: Fn() -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        self.spawn(async move {
            while let Err(panic) = AssertUnwindSafe(make_task()).catch_unwind().await {
                log_panic(name, &*panic);
                async_std::task::sleep(RESTART_DELAY).await;
            }
        });
    }
}

impl Default for TaskScope {
    fn default() -> Self {
        Self::new()
    }
}

fn log_panic(task: &str, panic: &(dyn Any + Send)) {
    let text = panic
        .downcast_ref::<&str>()
        .copied()
        .or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    error!(target: "task", "task={task} state=panicked error=\"{}\"", text.unwrap_or("unknown"));
}
