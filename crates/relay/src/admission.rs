//! Bound on the requests that a relay holds for other hosts.

use crate::message::RelayRefusal;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Counts the relayed requests in flight and refuses those beyond its limit.
#[derive(Clone, Debug)]
pub struct RelayAdmission {
    max_in_flight: u64,
    state: Arc<AdmissionState>,
}

#[derive(Debug, Default)]
struct AdmissionState {
    in_flight: AtomicU64,
    is_stopping: AtomicBool,
    /// Whether no further request is read.
    has_ended: AtomicBool,
    /// Number of requests begun so far.
    begun: AtomicU64,
}

/// Counts a relayed request in flight until dropped.
#[derive(Debug)]
pub struct AdmissionGuard {
    state: Arc<AdmissionState>,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl RelayAdmission {
    /// Creates an admission of at most `max_in_flight` requests at a time.
    pub fn new(max_in_flight: u64) -> Self {
        Self {
            max_in_flight,
            state: Arc::default(),
        }
    }

    /// Counts a request in flight, with which its connection is answered even if the
    /// request is refused; returns `None` if no further request may be read.
    pub fn begin(&self) -> Option<AdmissionGuard> {
        self.state.begun.fetch_add(1, Ordering::SeqCst);
        self.state.in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = AdmissionGuard {
            state: Arc::clone(&self.state),
        };
        // Counted before the check: `try_end` sees the request, or this sees the end.
        (!self.state.has_ended.load(Ordering::SeqCst)).then_some(guard)
    }

    /// Returns the number of requests begun so far.
    pub fn begun(&self) -> u64 {
        self.state.begun.load(Ordering::SeqCst)
    }

    /// Lets no further request be read; returns `false`, and lets them be read again, if
    /// one is in flight.
    pub fn try_end(&self) -> bool {
        self.state.has_ended.store(true, Ordering::SeqCst);
        if self.in_flight() == 0 {
            return true;
        }
        self.undo_end();
        false
    }

    /// Lets requests be read again after [`Self::try_end`].
    pub fn undo_end(&self) {
        self.state.has_ended.store(false, Ordering::SeqCst);
    }

    /// Checks whether a request that was counted by [`Self::begin`] may be forwarded.
    ///
    /// # Errors
    ///
    /// Fails when the relay is stopping or more requests are in flight than it accepts.
    pub fn check(&self) -> Result<(), RelayRefusal> {
        if self.state.is_stopping.load(Ordering::SeqCst) {
            return Err(RelayRefusal::Stopping);
        }
        if self.in_flight() > self.max_in_flight {
            return Err(RelayRefusal::Full);
        }
        Ok(())
    }

    /// Refuses all further requests.
    pub fn stop(&self) {
        self.state.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether all further requests are refused.
    pub fn is_stopping(&self) -> bool {
        self.state.is_stopping.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.state.in_flight.load(Ordering::SeqCst)
    }
}
