//! A stand-in for the platform's store, in the form of a table.

use crate::wire::{Json, Message, read_message, to_base64};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Default)]
struct Rows {
    /// Value (base64, `None` once removed) and version by table and key.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
    /// Rises by one whenever the store comes back from a copy.
    era: u64,
    is_away: bool,
}

/// A copy of the store, from which it may come back.
pub struct StoreCopy(Rows);

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Rows>, Condvar)>,
    started_at: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let store = Self {
            state: Arc::default(),
            started_at: Instant::now(),
            address: listener.local_addr().expect("bound"),
        };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Writes a row that the operator or a server writes.
    pub fn set(&self, table: &str, key: &str, value: &str) {
        let (rows, changed) = &*self.state;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = Some(to_base64(value.as_bytes()));
        rows.rows.insert((table.to_owned(), key.to_owned()), (value, version));
        changed.notify_all();
    }

    pub fn take_copy(&self) -> StoreCopy {
        StoreCopy(self.state.0.lock().unwrap().clone())
    }

    /// Answers no more calls than with 503, until it comes back.
    pub fn go_away(&self) {
        let (rows, changed) = &*self.state;
        rows.lock().unwrap().is_away = true;
        changed.notify_all();
    }

    /// Comes back from a copy: what was written since is gone, versions go back.
    pub fn come_back_from(&self, copy: StoreCopy) {
        let mut rows = self.state.0.lock().unwrap();
        let era = rows.era + 1;
        *rows = copy.0;
        rows.era = era;
        rows.is_away = false;
    }

    fn era(&self) -> u64 {
        self.state.0.lock().unwrap().era
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Store-Era: {}\r\nContent-Length: {}\r\n\r\n{body}",
                self.era(),
                body.len()
            );
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target();
        if self.state.0.lock().unwrap().is_away {
            return (503, "{}".to_owned());
        }
        let argument = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(key, _)| *key == name);
            values.next().map_or(String::new(), |(_, value)| value.to_owned())
        };
        match path {
            "/rows-get" => (200, self.page(&argument("table"), 0)),
            "/rows-feed" => {
                let after = argument("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(argument("wait_ms").parse().unwrap_or(0));
                self.feed(&argument("table"), after, wait)
            }
            "/rows-tx" => self.transact(&request.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis() + 1_000
    }

    /// Returns the rows of a table that are newer than `after`; all that exist for 0.
    fn page(&self, table: &str, after: u64) -> String {
        let rows = self.state.0.lock().unwrap();
        self.encode(&rows, table, after)
    }

    fn encode(&self, rows: &Rows, table: &str, after: u64) -> String {
        let mut texts = Vec::new();
        let mut found: Vec<_> = rows.rows.iter().filter(|((name, _), _)| name == table).collect();
        if after > 0 {
            found.sort_by_key(|(_, (_, version))| *version);
        }
        for ((_, key), (value, version)) in found {
            if *version <= after || (after == 0 && value.is_none()) {
                continue;
            }
            texts.push(match value {
                Some(value) => format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"
                ),
                None => format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"removed\":true,\"ver\":{version}}}"
                ),
            });
        }
        format!(
            "{{\"rows\":[{}],\"truncated\":false,\"ver\":{},\"now_ms\":{}}}",
            texts.join(","), rows.version, self.now_ms()
        )
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let (lock, changed) = &*self.state;
        let deadline = Instant::now() + wait;
        let mut rows = lock.lock().unwrap();
        let era = rows.era;
        loop {
            if rows.is_away || rows.era != era {
                return (503, "{}".to_owned());
            }
            if after > rows.version {
                return (410, "{}".to_owned());
            }
            let is_new = |((name, _), (_, version)): (&(String, String), &(Option<String>, u64))| {
                name == table && *version > after
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if rows.rows.iter().any(is_new) || remaining.is_zero() {
                return (200, self.encode(&rows, table, after.max(1)));
            }
            rows = changed.wait_timeout(rows, remaining).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let (lock, changed) = &*self.state;
        let mut rows = lock.lock().unwrap();
        for check in call.list("expected_revision") {
            let name = (check.text("table"), check.text("key"));
            let version = match rows.rows.get(&name) {
                Some((Some(_), version)) => *version,
                _ => 0,
            };
            if version != check.number("ver") {
                return (412, "{\"rows\":[]}".to_owned());
            }
        }
        rows.version += 1;
        let version = rows.version;
        for set in call.list("set_keys") {
            let name = (set.text("table"), set.text("key"));
            rows.rows.insert(name, (Some(set.text("value")), version));
        }
        changed.notify_all();
        (200, format!("{{\"ver\":{version},\"now_ms\":{}}}", self.now_ms()))
    }
}
