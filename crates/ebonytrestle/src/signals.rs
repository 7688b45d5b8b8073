//! SIGTERM and SIGINT as a stream.

use async_channel::{Receiver, unbounded};
use eyre::{Result, WrapErr};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Signals that ask the program to stop.
#[derive(Debug)]
pub(crate) struct StopSignals {
    receiver: Receiver<()>,
}

impl StopSignals {
    /// Starts listening.
    pub fn listen() -> Result<Self> {
        let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("signals can't be caught")?;
        let (sender, receiver) = unbounded();
        std::thread::spawn(move || {
            for _signal in signals.forever() {
                if sender.try_send(()).is_err() {
                    return;
                }
            }
        });
        Ok(Self { receiver })
    }

    /// Waits for the next signal.
    pub async fn next(&self) {
        // The sender lives as long as the program.
        let _signal = self.receiver.recv().await;
    }
}
