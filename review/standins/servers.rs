//! Servers that hold keys by grants, and a check of who holds which.

use crate::Record;
use crate::store::Store;
use crate::wire::{Json, Message, read_message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const KEYS: usize = 65_536;
const WORK: Duration = Duration::from_millis(20);

/// What one server knows of one key.
#[derive(Clone, Copy, Default)]
struct KeyState {
    /// The greatest epoch number seen.
    seen: u64,
    held_until: Option<Instant>,
}

/// A server whose service is divided by key.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    born: u128,
    keys: Mutex<Vec<KeyState>>,
    record: Arc<Record>,
    fleet: Arc<Fleet>,
}

/// All servers of the service.
#[derive(Default)]
pub struct Fleet {
    pub servers: Mutex<Vec<Arc<Server>>>,
    /// What broke the rule, as counted by those who saw it.
    broken: Mutex<u32>,
}

impl Fleet {
    pub fn broken(&self) -> u32 {
        *self.broken.lock().unwrap()
    }

    pub fn add_broken(&self) {
        *self.broken.lock().unwrap() += 1;
    }

    /// Starts a server and registers it.
    pub fn start_server(self: &Arc<Self>, id: &str, store: &Store, record: &Arc<Record>) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let server = Arc::new(Server {
            id: id.to_owned(),
            address: listener.local_addr().expect("bound"),
            born: born.as_millis(),
            keys: Mutex::new(vec![KeyState::default(); KEYS]),
            record: Arc::clone(record),
            fleet: Arc::clone(self),
        });
        self.servers.lock().unwrap().push(Arc::clone(&server));
        let accepting = Arc::clone(&server);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = Arc::clone(&accepting);
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        server.register(store);
        server
    }

    /// Returns the greatest epoch number with which another server has had one of the keys.
    fn greatest_elsewhere(&self, id: &str, keys: std::ops::RangeInclusive<usize>) -> u64 {
        let servers: Vec<Arc<Server>> = self.servers.lock().unwrap().clone();
        let others = servers.iter().filter(|server| server.id != id);
        let seen = others.map(|server| {
            let states = server.keys.lock().unwrap();
            states[keys.clone()].iter().map(|state| state.seen).max().unwrap_or(0)
        });
        seen.max().unwrap_or(0)
    }
}

impl Server {
    /// Writes the server's entry to the store.
    pub fn register(&self, store: &Store) {
        store.set(
            "servers",
            &self.id,
            &format!(
                r#"{{"service":"mapview","address":"{}","zone":"z1","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
                self.address, self.born
            ),
        );
    }

    pub fn holds(&self, key: usize) -> bool {
        let until = self.keys.lock().unwrap()[key].held_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    pub fn held_count(&self) -> usize {
        let now = Instant::now();
        let states = self.keys.lock().unwrap();
        states.iter().filter(|state| state.held_until.is_some_and(|until| now < until)).count()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let arrived_at = Instant::now();
            let target = request.header("target-instance");
            let (status, headers, body) = if !target.is_empty() && target != self.id {
                (421, format!("Instance-Id: {}\r\n", self.id), String::new())
            } else {
                match request.target().0 {
                    "/grant" => (self.grant(&request, arrived_at), String::new(), String::new()),
                    "/release" => (200, self.release(&request), String::new()),
                    _ => self.run(&request),
                }
            };
            let id = request.header("request-id");
            let named = if id.is_empty() { String::new() } else { format!("Request-Id: {id}\r\n") };
            let answer = format!(
                "HTTP/1.1 {status} Status\r\n{named}{headers}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn grant(&self, request: &Message, arrived_at: Instant) -> u16 {
        let Some(call) = Json::parse(&request.body) else { return 400 };
        let (first, last) = (call.number("from") as usize, call.number("target") as usize);
        let fence = call.number("fence");
        let until = arrived_at + Duration::from_millis(call.number("hold_ms"));
        let elsewhere = self.fleet.greatest_elsewhere(&self.id, first..=last);
        let mut states = self.keys.lock().unwrap();
        if states[first..=last].iter().any(|state| state.seen > fence) {
            return 409;
        }
        let is_new = !states[first..=last].iter().all(|state| state.held_until.is_some_and(|end| arrived_at < end));
        for state in &mut states[first..=last] {
            state.seen = fence;
            state.held_until = Some(until);
        }
        drop(states);
        if is_new {
            self.record.note(&format!(
                "server {}: takes keys {first} to {last}, epoch {fence}, for {} ms; greatest epoch elsewhere {elsewhere}",
                self.id, call.number("hold_ms")
            ));
            if elsewhere >= fence {
                self.fleet.add_broken();
                self.record.note(&format!(
                    "BROKEN: server {} takes keys {first} to {last} with epoch {fence}, another server had some with {elsewhere}",
                    self.id
                ));
            }
        }
        200
    }

    /// Stops work on the keys; answers when the work that runs has ended.
    fn release(&self, request: &Message) -> String {
        if let Some(call) = Json::parse(&request.body) {
            let (first, last) = (call.number("from") as usize, call.number("target") as usize);
            for state in &mut self.keys.lock().unwrap()[first..=last] {
                state.held_until = None;
            }
            self.record.note(&format!("server {}: releases keys {first} to {last}", self.id));
        }
        std::thread::sleep(WORK * 2);
        format!("Handover: {:016x}\r\n", self.born)
    }

    fn run(&self, request: &Message) -> (u16, String, String) {
        let key = request.header("shard-key").parse().unwrap_or(0_usize) % KEYS;
        if !self.holds(key) {
            return (421, "Not-Executed: 1\r\n".to_owned(), String::new());
        }
        self.record.note(&format!(
            "server {}: runs request {}, key {key}", self.id, request.header("request-id")
        ));
        std::thread::sleep(WORK);
        (200, format!("Response-Stamp: {}.1\r\n", self.id), "done".to_owned())
    }
}

/// Looks who holds which keys, and counts two holders for over half a second.
pub fn watch_holders(fleet: &Arc<Fleet>, record: &Arc<Record>) {
    let (fleet, record) = (Arc::clone(fleet), Arc::clone(record));
    std::thread::spawn(move || {
        let sampled: Vec<usize> = (0..KEYS).step_by(509).collect();
        let mut shared_since: Vec<Option<Instant>> = vec![None; sampled.len()];
        let mut is_counted = vec![false; sampled.len()];
        loop {
            std::thread::sleep(Duration::from_millis(10));
            let servers = fleet.servers.lock().unwrap().clone();
            for (index, key) in sampled.iter().enumerate() {
                let holders: Vec<&str> = servers
                    .iter()
                    .filter(|server| server.holds(*key))
                    .map(|server| server.id.as_str())
                    .collect();
                if holders.len() < 2 {
                    if let Some(since) = shared_since[index].take()
                        && is_counted[index]
                    {
                        record.note(&format!("key {key}: two holders for {} ms", since.elapsed().as_millis()));
                    }
                    is_counted[index] = false;
                    continue;
                }
                let since = *shared_since[index].get_or_insert_with(Instant::now);
                if !is_counted[index] && since.elapsed() > Duration::from_millis(500) {
                    is_counted[index] = true;
                    fleet.add_broken();
                    record.note(&format!("BROKEN: key {key} held by {holders:?} for over 500 ms"));
                }
            }
        }
    });
}
