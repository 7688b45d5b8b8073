//! A stand-in for the platform's store: rows with versions, conditional writes, feeds.

use crate::http::{Connection, Message};
use crate::json::Json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);
/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);
const BASE64: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

#[derive(Clone, Debug)]
struct Row {
    /// The value in base64; `None` once the row is removed.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    /// Versions and the times of their writes, as far as the history goes back.
    history: Vec<(u64, Instant)>,
    /// The newest version that the history no longer has.
    forgotten: u64,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started_at: Instant,
}

impl Store {
    /// Starts the store at a free port of `ip`.
    pub fn start(ip: &str) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes a row as the operator, an instance or another writer does.
    pub fn set(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().expect("not poisoned");
        rows.version += 1;
        let version = rows.version;
        let row = Row {
            value: Some(encode_base64(value.as_bytes())),
            version,
        };
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        rows.history.push((version, Instant::now()));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(call)) = connection.read() {
            thread::sleep(CALL_TIME);
            let (status, body) = self.call(&call);
            let headers = "Content-Type: application/json\r\n";
            if connection.answer(status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, call: &Message) -> (&'static str, String) {
        let target = call.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(known, _)| *known == name);
            found.map(|(_, value)| decode_percent(value))
        };
        let number = |name: &str| parameter(name).and_then(|digits| digits.parse::<u64>().ok());
        let table = parameter("table").unwrap_or_default();
        match (call.word(0), path) {
            ("GET", "/rows-get") => {
                let from = parameter("from").unwrap_or_default();
                let limit = number("limit").unwrap_or(500).min(500) as usize;
                ("200 OK", self.get(&table, &from, limit))
            }
            ("GET", "/rows-feed") => self.feed(
                &table,
                number("after").unwrap_or(0),
                Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000)),
            ),
            ("POST", "/rows-tx") => self.write(&call.text()),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u64 {
        1_000_000 + self.started_at.elapsed().as_millis() as u64
    }

    fn page(&self, rows: &[String], version: u64, is_truncated: bool) -> String {
        format!(
            "{{\"rows\":[{}],\"truncated\":{is_truncated},\"ver\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }

    fn get(&self, table: &str, from: &str, limit: usize) -> String {
        let rows = self.rows.lock().expect("not poisoned");
        let mut found = Vec::new();
        for ((row_table, key), row) in &rows.rows {
            if row_table == table && key.as_str() >= from && row.value.is_some() {
                found.push(encode_row(table, key, row));
            }
        }
        let is_truncated = found.len() > limit;
        found.truncate(limit);
        self.page(&found, rows.version, is_truncated)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().expect("not poisoned");
        loop {
            let now = Instant::now();
            while let Some((version, at)) = rows.history.first().copied() {
                if now - at < HISTORY {
                    break;
                }
                rows.forgotten = version;
                rows.history.remove(0);
            }
            if after < rows.forgotten {
                return ("410 Gone", "{}".to_owned());
            }
            let mut changed: Vec<(u64, String)> = rows
                .rows
                .iter()
                .filter(|((row_table, _), row)| row_table == table && row.version > after)
                .map(|((_, key), row)| (row.version, encode_row(table, key, row)))
                .collect();
            if !changed.is_empty() || now >= until {
                changed.sort();
                let changed: Vec<String> = changed.into_iter().map(|(_, row)| row).collect();
                return ("200 OK", self.page(&changed, rows.version, false));
            }
            let wait = (until - now).min(Duration::from_millis(100));
            rows = self
                .changed
                .wait_timeout(rows, wait)
                .expect("not poisoned")
                .0;
        }
    }

    fn write(&self, body: &str) -> (&'static str, String) {
        let Some(write) = Json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let name = |entry: &Json| (entry.text("table").to_owned(), entry.text("key").to_owned());
        let sets = write.list("set_keys");
        let removes = write.list("remove");
        let is_reserved = |entry: &Json| ["op", "servers"].contains(&entry.text("table"));
        if sets.iter().chain(removes).any(is_reserved) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let mut rows = self.rows.lock().expect("not poisoned");
        for check in write.list("expected_revision") {
            let current = rows.rows.get(&name(check));
            let current = current.filter(|row| row.value.is_some());
            if current.map_or(0, |row| row.version) != check.number("ver") {
                return ("412 Precondition Failed", "{\"rows\":[]}".to_owned());
            }
        }
        rows.version += 1;
        let version = rows.version;
        for set in sets {
            let value = Some(set.text("value").to_owned());
            rows.rows.insert(name(set), Row { value, version });
        }
        for remove in removes {
            let row = Row {
                value: None,
                version,
            };
            rows.rows.insert(name(remove), row);
        }
        rows.history.push((version, Instant::now()));
        self.changed.notify_all();
        let now_ms = self.now_ms();
        (
            "200 OK",
            format!("{{\"ver\":{version},\"now_ms\":{now_ms}}}"),
        )
    }
}

fn encode_row(table: &str, key: &str, row: &Row) -> String {
    let version = row.version;
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
}

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(part.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index > part.len() {
                text.push('=');
                continue;
            }
            let digit = bits >> (18 - 6 * index) & 63;
            text.push(char::from(BASE64[digit as usize]));
        }
    }
    text
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .filter(|_| bytes[at] == b'%')
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
