//! Non-blocking log output to standard output, with a bounded queue and rate.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of lines queued for standard output.
const MAX_QUEUED_LINES: usize = 512;
/// Maximum number of lines per second; a host under usual load writes about 50.
const MAX_LINES_PER_SECOND: u64 = 400;
/// Stack size of the writer thread, which holds one line at a time.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// A writer that passes complete lines to a thread, and drops lines that exceed the
/// queue or the rate.
#[derive(Debug)]
pub struct LineLog {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    buffer: Vec<u8>,
    second_started_at: Instant,
    lines_in_second: u64,
}

impl LineLog {
    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub fn start() -> io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(WRITER_STACK_BYTES)
            .spawn(move || write_lines(&receiver, &counter))?;
        Ok(Self {
            sender,
            dropped,
            buffer: Vec::new(),
            second_started_at: Instant::now(),
            lines_in_second: 0,
        })
    }

    fn send(&mut self, line: Vec<u8>) {
        if self.second_started_at.elapsed() >= Duration::from_secs(1) {
            self.second_started_at = Instant::now();
            self.lines_in_second = 0;
        }
        self.lines_in_second += 1;
        let exceeds_rate = self.lines_in_second > MAX_LINES_PER_SECOND;
        if exceeds_rate || matches!(self.sender.try_send(line), Err(TrySendError::Full(_))) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for LineLog {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.buffer.extend_from_slice(buf);
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let rest = self.buffer.split_off(end + 1);
            let line = std::mem::replace(&mut self.buffer, rest);
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
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            batch.extend_from_slice(format!("[WARN] log: dropped_lines={count}\n").as_bytes());
        }
        // A closed standard output must not stop requests, and the error can't be
        // reported.
        let _closed = output.write_all(&batch).and_then(|()| output.flush());
    }
}
