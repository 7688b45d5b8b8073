//! Signals as a stream.

use async_channel::{Receiver, unbounded};
use eyre::{Result, WrapErr};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Stack of the thread that waits for signals.
const STACK_BYTES: usize = 64 << 10;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostSignal {
    /// Read the settings anew.
    Reload,
    /// Stop.
    Stop,
}

impl HostSignal {
    pub(crate) fn is_reload(self) -> bool {
        self == Self::Reload
    }
}

/// Signals that ask the program to stop or to read its settings anew.
#[derive(Debug)]
pub(crate) struct StopSignals {
    receiver: Receiver<HostSignal>,
}

impl StopSignals {
    /// Starts listening.
    pub fn listen() -> Result<Self> {
        let mut signals =
            Signals::new([SIGTERM, SIGINT, SIGHUP]).wrap_err("signals can't be caught")?;
        let (sender, receiver) = unbounded();
        let waiting = move || {
            for signal in signals.forever() {
                let signal = if signal == SIGHUP {
                    HostSignal::Reload
                } else {
                    HostSignal::Stop
                };
                if sender.try_send(signal).is_err() {
                    return;
                }
            }
        };
        std::thread::Builder::new()
            .name("signals".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(waiting)
            .wrap_err("signals can't be caught")?;
        Ok(Self { receiver })
    }

    /// Waits for the next signal.
    pub async fn next(&self) -> HostSignal {
        // The sender lives as long as the program.
        self.receiver.recv().await.unwrap_or(HostSignal::Stop)
    }
}
