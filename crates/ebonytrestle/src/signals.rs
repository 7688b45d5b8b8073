//! Asynchronous delivery of stop and reload signals.

use async_channel::{Receiver, unbounded};
use eyre::{Result, WrapErr};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Stack size of the thread that waits for signals.
const STACK_BYTES: usize = 64 << 10;

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostSignal {
    /// Reload the settings (SIGHUP).
    Reload,
    /// Stop (SIGTERM, SIGINT).
    Stop,
}

impl HostSignal {
    pub(crate) fn is_reload(self) -> bool {
        self == Self::Reload
    }
}

/// Receiver of stop and reload signals.
#[derive(Debug)]
pub(crate) struct SignalReceiver {
    receiver: Receiver<HostSignal>,
}

impl SignalReceiver {
    /// Registers the signal handlers and starts the thread that waits for signals.
    pub fn listen() -> Result<Self> {
        let mut signals =
            Signals::new([SIGTERM, SIGINT, SIGHUP]).wrap_err("cannot register signal handlers")?;
        let (sender, receiver) = unbounded();
        let wait_for_signals = move || {
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
            .spawn(wait_for_signals)
            .wrap_err("cannot start the signal thread")?;
        Ok(Self { receiver })
    }

    /// Waits for the next signal.
    pub async fn next(&self) -> HostSignal {
        // The channel stays open until the program ends.
        self.receiver.recv().await.unwrap_or(HostSignal::Stop)
    }
}
