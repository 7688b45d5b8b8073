//! What was sent, answered and run, as it is written to `record.txt`.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The record of one play.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
    /// Instances at work on a key, once for each request.
    at_work: Mutex<Vec<(u16, String)>>,
    /// Number of requests that began on a key while another instance was at work on it.
    shared_runs: AtomicU64,
}

impl Record {
    /// Creates `record.txt` in `folder`.
    pub fn create(folder: &str) -> Self {
        let path = format!("{folder}/record.txt");
        Self {
            file: Mutex::new(File::create(path).expect("the folder can be written to")),
            started_at: Instant::now(),
            at_work: Mutex::default(),
            shared_runs: AtomicU64::new(0),
        }
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let ms = self.started_at.elapsed().as_millis();
        let mut file = self.file.lock().expect("not poisoned");
        // A full disk must not end the play.
        let _unused = writeln!(file, "{ms:>6} {line}");
    }

    /// Adds a line, and prints it.
    pub fn tell(&self, line: &str) {
        println!("{line}");
        self.add(line);
    }

    /// Records that an instance begins to run a request.
    pub fn begin_run(&self, server: &str, id: &str, key: Option<u16>, method: &str) {
        let key_text = key.map_or("none".to_owned(), |key| key.to_string());
        self.add(&format!(
            "{server} runs {id} method={method} key={key_text}"
        ));
        let Some(key) = key else {
            return;
        };
        let mut at_work = self.at_work.lock().expect("not poisoned");
        let other = at_work
            .iter()
            .find(|(known, other)| *known == key && other != server);
        if let Some((_, other)) = other {
            self.add(&format!("{other} is still at work on key {key}"));
            self.shared_runs.fetch_add(1, Ordering::SeqCst);
        }
        at_work.push((key, server.to_owned()));
    }

    /// Records that an instance has run a request.
    pub fn end_run(&self, server: &str, key: Option<u16>) {
        let mut at_work = self.at_work.lock().expect("not poisoned");
        let ended = |(known, other): &(u16, String)| Some(*known) == key && other == server;
        if let Some(at) = at_work.iter().position(ended) {
            at_work.remove(at);
        }
    }

    /// Returns how many requests began on a key while another instance was at work on it.
    pub fn shared_runs(&self) -> u64 {
        self.shared_runs.load(Ordering::SeqCst)
    }
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
