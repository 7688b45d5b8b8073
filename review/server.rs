//! A stand-in for an instance: grants and releases of keys, slots with a queue, and runs.

use crate::http::{Connection, Message};
use crate::json::Json;
use crate::record::Record;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of requests that wait for a slot before more are rejected.
const QUEUE: usize = 8;

/// What is wrong with an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The body of each answer is chunks of one byte without end.
    EndlessChunks,
}

/// Keys that the instance holds.
#[derive(Clone, Debug)]
struct Hold {
    first: u16,
    last: u16,
    fence: u64,
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    holds: Vec<Hold>,
    /// The greatest fence that was seen, by key.
    seen: Vec<u64>,
    /// Keys of the requests that run or wait for a slot.
    at_work: Vec<u16>,
    running: usize,
    waiting: usize,
}

/// An instance.
#[derive(Debug)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its start, in Unix milliseconds.
    pub born: u64,
    /// What is wrong with it.
    pub fault: Mutex<Fault>,
    zone: String,
    slots: usize,
    is_sharded: bool,
    work: Duration,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

/// How an instance is set up.
#[derive(Clone, Debug)]
pub struct Setup<'a> {
    /// Its service.
    pub service: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Number of requests that it runs at a time.
    pub slots: usize,
    /// Whether it runs requests only on keys that it holds.
    pub is_sharded: bool,
    /// Time that a request takes.
    pub work: Duration,
}

impl Server {
    /// Starts an instance at a free port of `ip`.
    pub fn start(id: &str, ip: &str, setup: &Setup<'_>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: setup.service.to_owned(),
            address: listener.local_addr().expect("bound"),
            born: crate::record::unix_ms(),
            fault: Mutex::new(Fault::None),
            zone: setup.zone.to_owned(),
            slots: setup.slots,
            is_sharded: setup.is_sharded,
            work: setup.work,
            state: Mutex::new(State {
                seen: vec![0; 1 << 16],
                ..State::default()
            }),
            changed: Condvar::new(),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Returns the entry with which it registers.
    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\
             \"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        )
    }

    /// Returns whether it holds a key now.
    pub fn holds(&self, key: u16) -> bool {
        let now = Instant::now();
        let state = self.state.lock().expect("not poisoned");
        let is_held = |hold: &Hold| hold.first <= key && key <= hold.last && now < hold.until;
        state.holds.iter().any(is_held)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let Some(answer) = self.answer(&mut connection, &request) else {
                return;
            };
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a request; `None` if the connection has to be closed.
    fn answer(&self, connection: &mut Connection, request: &Message) -> Option<Vec<u8>> {
        let target = request.header("target-instance").unwrap_or(&self.id);
        if target != self.id {
            let id_line = format!("Instance-Id: {}\r\nNot-Executed: 1\r\n", self.id);
            return Some(encode("421 Misdirected Request", &id_line, b""));
        }
        match request.word(1) {
            "/grant" => Some(self.grant(&request.text())),
            "/release" => Some(self.release(&request.text())),
            _ => self.run(connection, request),
        }
    }

    fn grant(&self, body: &str) -> Vec<u8> {
        let call = Json::parse(body).unwrap_or(Json::Literal);
        let (first, last) = (call.number("from") as u16, call.number("target") as u16);
        let fence = call.number("fence");
        let until = Instant::now() + Duration::from_millis(call.number("hold_ms"));
        let mut state = self.state.lock().expect("not poisoned");
        let keys = usize::from(first)..=usize::from(last);
        if state.seen[keys.clone()].iter().any(|seen| *seen > fence) {
            self.record
                .add(&format!("{} grant {first}..{last} {fence} 409", self.id));
            return encode("409 Conflict", "", b"");
        }
        let is_renewal = state.seen[keys.clone()].iter().all(|seen| *seen == fence);
        state.seen[keys].fill(fence);
        state.remove(first, last, u64::MAX);
        state.holds.push(Hold {
            first,
            last,
            fence,
            until,
        });
        if !is_renewal {
            self.record
                .add(&format!("{} grant {first}..{last} {fence} 200", self.id));
        }
        encode("200 OK", "", b"")
    }

    fn release(&self, body: &str) -> Vec<u8> {
        let call = Json::parse(body).unwrap_or(Json::Literal);
        let (first, last) = (call.number("from") as u16, call.number("target") as u16);
        let fence = call.number("fence");
        let mut state = self.state.lock().expect("not poisoned");
        state.remove(first, last, fence);
        let is_at_work = |state: &State| {
            state
                .at_work
                .iter()
                .any(|key| first <= *key && *key <= last)
        };
        while is_at_work(&state) {
            state = self.changed.wait(state).expect("not poisoned");
        }
        self.record
            .add(&format!("{} release {first}..{last} {fence} 200", self.id));
        encode("200 OK", "Handover: 5c0e7a21d94b36f8\r\n", b"")
    }

    fn run(&self, connection: &mut Connection, request: &Message) -> Option<Vec<u8>> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let id_line = format!("Request-Id: {id}\r\n");
        let key = request.header("shard-key").unwrap_or_default();
        let key = key.parse::<u16>().ok().filter(|_| self.is_sharded);
        let rejection = format!("{id_line}Not-Executed: 1\r\n");
        let mut state = self.state.lock().expect("not poisoned");
        if self.is_sharded && !key.is_some_and(|key| state.holds_key(key)) {
            drop(state);
            self.record.add(&format!("{} rejects {id} 421", self.id));
            return Some(encode("421 Misdirected Request", &rejection, b""));
        }
        if state.running >= self.slots && state.waiting >= QUEUE {
            drop(state);
            self.record.add(&format!("{} rejects {id} 503", self.id));
            return Some(encode("503 Service Unavailable", &rejection, b""));
        }
        state.at_work.extend(key);
        state.waiting += 1;
        while state.running >= self.slots {
            state = self.changed.wait(state).expect("not poisoned");
        }
        state.waiting -= 1;
        state.running += 1;
        drop(state);
        let method = request.word(0);
        self.record.begin_run(&self.id, &id, key, method);
        thread::sleep(self.work);
        self.record.end_run(&self.id, key);
        let mut state = self.state.lock().expect("not poisoned");
        state.running -= 1;
        if let Some(key) = key
            && let Some(at) = state.at_work.iter().position(|known| *known == key)
        {
            state.at_work.remove(at);
        }
        let is_still_held = key.is_none_or(|key| state.holds_key(key));
        let load = format!("{},{},{}", state.running, state.waiting, self.slots);
        drop(state);
        self.changed.notify_all();
        let headers = format!(
            "{id_line}Response-Stamp: {}.{id}\r\nInstance-Load: {load}\r\n",
            self.id
        );
        if !is_still_held {
            return Some(encode("500 Internal Server Error", &headers, b""));
        }
        if *self.fault.lock().expect("not poisoned") == Fault::EndlessChunks {
            self.send_endless_chunks(connection, &id, &headers);
            return None;
        }
        Some(encode("200 OK", &headers, format!("{id} whole").as_bytes()))
    }

    /// Sends chunks of one byte until the caller closes the connection.
    fn send_endless_chunks(&self, connection: &mut Connection, id: &str, headers: &str) {
        let head = format!("HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n");
        let chunks = "1\r\nx\r\n".repeat(4_096);
        let mut sent = 0_usize;
        let mut is_open = connection.write(head.as_bytes()).is_ok();
        while is_open {
            is_open = connection.write(chunks.as_bytes()).is_ok();
            sent += 4_096;
        }
        self.record
            .add(&format!("{} sent {sent} chunks in answer to {id}", self.id));
    }
}

impl State {
    fn holds_key(&self, key: u16) -> bool {
        let now = Instant::now();
        let is_held = |hold: &Hold| hold.first <= key && key <= hold.last && now < hold.until;
        self.holds.iter().any(is_held)
    }

    /// Ends the holds on keys whose fence is at most `fence`.
    fn remove(&mut self, first: u16, last: u16, fence: u64) {
        let mut kept = Vec::new();
        for hold in self.holds.drain(..) {
            if hold.fence > fence || hold.last < first || last < hold.first {
                kept.push(hold);
                continue;
            }
            if hold.first < first {
                kept.push(Hold {
                    last: first - 1,
                    ..hold.clone()
                });
            }
            if hold.last > last {
                kept.push(Hold {
                    first: last + 1,
                    ..hold
                });
            }
        }
        self.holds = kept;
    }
}

fn encode(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
