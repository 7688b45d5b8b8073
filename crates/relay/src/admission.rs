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
    /// request is refused.
    pub fn begin(&self) -> AdmissionGuard {
        self.state.in_flight.fetch_add(1, Ordering::SeqCst);
        AdmissionGuard {
            state: Arc::clone(&self.state),
        }
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
