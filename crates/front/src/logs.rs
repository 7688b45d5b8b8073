//! Log lines to standard output, bounded and never waited for.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait for standard output at most.
const MOST_WAITING: usize = 512;
/// Lines a second at most; a host's usual load writes about 50.
const MOST_PER_SECOND: u64 = 400;
/// Stack of the writing thread; it holds one line at a time.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// A writer that hands whole lines to a thread and drops what it can't take.
#[derive(Debug)]
pub struct LineLog {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
    second: Instant,
    written: u64,
}

impl LineLog {
    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub fn start() -> io::Result<Self> {
        let (sender, receiver) = sync_channel(MOST_WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(WRITER_STACK_BYTES)
            .spawn(move || write_lines(&receiver, &counter))?;
        Ok(Self {
            sender,
            dropped,
            line: Vec::new(),
            second: Instant::now(),
            written: 0,
        })
    }

    fn send(&mut self, line: Vec<u8>) {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.written = 0;
        }
        self.written += 1;
        let is_over = self.written > MOST_PER_SECOND;
        if is_over || matches!(self.sender.try_send(line), Err(TrySendError::Full(_))) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for LineLog {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        while let Some(end) = self.line.iter().position(|byte| *byte == b'\n') {
            let rest = self.line.split_off(end + 1);
            let line = std::mem::replace(&mut self.line, rest);
            self.send(line);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut output = io::stdout().lock();
    while let Ok(mut batch) = receiver.recv() {
        for line in receiver.try_iter().take(64) {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("[WARN] log: dropped_lines={lost}\n").as_bytes());
        }
        // A reader that has gone must not stop requests; there is nobody to tell.
        let _closed = output.write_all(&batch).and_then(|()| output.flush());
    }
}
