//! Servers that hold keys by grants, and whose network may be cut.

use crate::Record;
use crate::store::Store;
use crate::wire::{Json, Message, read_message};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const KEYS: usize = 65_536;
const WORK: Duration = Duration::from_millis(20);
/// Time from the end of a cut to the arrival of what it has held up: a sender's kernel sends
/// again after pauses that double.
const RETRANSMISSION: Duration = Duration::from_millis(500);
/// `thaw_slack_ms`: grants that arrive so soon after the end of a cut don't count.
const THAW_SLACK: Duration = Duration::from_millis(300);

/// What one server knows of one key.
#[derive(Clone, Copy, Default)]
struct KeyState {
    /// The greatest epoch number seen, in a grant or a release.
    seen: u64,
    /// The greatest epoch number with which the server has had the key.
    had: u64,
    held_until: Option<Instant>,
}

/// A server whose service is divided by key.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    born: u128,
    keys: Mutex<Vec<KeyState>>,
    /// Whether the server is cut off: new connections are refused, and what arrives over
    /// others is held up.
    is_cut: AtomicBool,
    healed_at: Mutex<Option<Instant>>,
    /// Number of grants that the cut holds up.
    pub held_up: AtomicU32,
    record: Arc<Record>,
    fleet: Arc<Fleet>,
}

/// All servers of the service.
#[derive(Default)]
pub struct Fleet {
    servers: Mutex<Vec<Arc<Server>>>,
    broken: AtomicU32,
}

impl Fleet {
    pub fn broken(&self) -> u32 {
        self.broken.load(Ordering::SeqCst)
    }

    pub fn servers(&self) -> Vec<Arc<Server>> {
        self.servers.lock().unwrap().clone()
    }

    /// Starts a server and registers it.
    pub fn start_server(self: &Arc<Self>, id: &str, store: &Store, record: &Arc<Record>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let server = Arc::new(Server {
            id: id.to_owned(),
            address: listener.local_addr().expect("bound"),
            born: born.as_millis(),
            keys: Mutex::new(vec![KeyState::default(); KEYS]),
            is_cut: AtomicBool::new(false),
            healed_at: Mutex::default(),
            held_up: AtomicU32::new(0),
            record: Arc::clone(record),
            fleet: Arc::clone(self),
        });
        self.servers.lock().unwrap().push(Arc::clone(&server));
        Arc::clone(&server).listen(listener);
        server.register(store);
    }

    /// Returns the greatest epoch number with which another server has had one of the keys.
    fn greatest_elsewhere(&self, id: &str, keys: std::ops::RangeInclusive<usize>) -> u64 {
        let servers = self.servers();
        let others = servers.iter().filter(|server| server.id != id);
        let seen = others.map(|server| {
            let states = server.keys.lock().unwrap();
            states[keys.clone()].iter().map(|state| state.had).max().unwrap_or(0)
        });
        seen.max().unwrap_or(0)
    }

    /// Returns how many keys another server holds besides `id`.
    pub fn shared_count(&self, id: &str) -> usize {
        let now = Instant::now();
        let held: Vec<(String, Vec<bool>)> = self
            .servers()
            .iter()
            .map(|server| {
                let states = server.keys.lock().unwrap();
                let held = states.iter().map(|state| state.is_held(now));
                (server.id.clone(), held.collect())
            })
            .collect();
        let own = held.iter().find(|(name, _)| name == id).map(|(_, keys)| keys);
        let Some(own) = own else { return 0 };
        let others: Vec<_> = held.iter().filter(|(name, _)| name != id).collect();
        let is_shared = |key: &usize| own[*key] && others.iter().any(|(_, keys)| keys[*key]);
        (0..KEYS).filter(is_shared).count()
    }
}

impl KeyState {
    fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }
}

impl Server {
    fn register(&self, store: &Store) {
        store.set(
            "servers",
            &self.id,
            &format!(
                r#"{{"service":"mapview","address":"{}","zone":"z1","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
                self.address, self.born
            ),
        );
    }

    pub fn held_count(&self) -> usize {
        let now = Instant::now();
        let states = self.keys.lock().unwrap();
        states.iter().filter(|state| state.is_held(now)).count()
    }

    /// Accepts connections until the server is cut off.
    fn listen(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket");
        std::thread::spawn(move || {
            while !self.is_cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let serving = Arc::clone(&self);
                        let _blocking = stream.set_nonblocking(false);
                        std::thread::spawn(move || serving.serve(stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    /// Cuts the server off.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        self.record.note(&format!("server {}: cut off", self.id));
    }

    /// Ends the cut.
    pub fn heal(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the server's own port");
        *self.healed_at.lock().unwrap() = Some(Instant::now());
        self.is_cut.store(false, Ordering::SeqCst);
        self.record.note(&format!("server {}: the cut has healed", self.id));
        Arc::clone(self).listen(listener);
    }

    /// Waits until what was held up arrives; returns whether it does. It is lost if its
    /// sender has reset the connection.
    fn wait_for_arrival(&self, stream: &TcpStream) -> bool {
        while self.is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(2));
        }
        std::thread::sleep(RETRANSMISSION);
        let _set = stream.set_nonblocking(true);
        let peeked = stream.peek(&mut [0]);
        let _set = stream.set_nonblocking(false);
        match peeked {
            Ok(_) => true,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let Ok(peeked) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            if self.is_cut.load(Ordering::SeqCst) {
                let path = request.target().0.to_owned();
                if path == "/grant" {
                    self.held_up.fetch_add(1, Ordering::SeqCst);
                }
                self.record.note(&format!("server {}: {path} is held up", self.id));
                if !self.wait_for_arrival(&peeked) {
                    self.record.note(&format!("server {}: {path} was lost", self.id));
                    return;
                }
                self.record.note(&format!("server {}: {path} arrives", self.id));
            }
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
        let epoch = call.number("fence");
        let until = arrived_at + Duration::from_millis(call.number("hold_ms"));
        let elsewhere = self.fleet.greatest_elsewhere(&self.id, first..=last);
        let mut states = self.keys.lock().unwrap();
        if states[first..=last].iter().any(|state| state.seen > epoch) {
            drop(states);
            self.record.note(&format!(
                "server {}: refuses keys {first} to {last}, epoch {epoch}", self.id
            ));
            return 409;
        }
        let is_new = !states[first..=last].iter().all(|state| state.is_held(arrived_at));
        for state in &mut states[first..=last] {
            state.seen = epoch;
            state.had = epoch;
            state.held_until = Some(until);
        }
        drop(states);
        if !is_new {
            return 200;
        }
        self.record.note(&format!(
            "server {}: takes keys {first} to {last}, epoch {epoch}, for {} ms; greatest epoch elsewhere {elsewhere}",
            self.id, call.number("hold_ms")
        ));
        let healed_at = *self.healed_at.lock().unwrap();
        let is_excused = healed_at.is_some_and(|at| arrived_at < at + THAW_SLACK);
        if elsewhere >= epoch && !is_excused {
            self.fleet.broken.fetch_add(1, Ordering::SeqCst);
            self.record.note(&format!(
                "BROKEN: server {} takes keys {first} to {last} with epoch {epoch}, another server has had some with {elsewhere}",
                self.id
            ));
        }
        200
    }

    /// Stops work on the keys; answers when the work that runs has ended.
    fn release(&self, request: &Message) -> String {
        if let Some(call) = Json::parse(&request.body) {
            let (first, last) = (call.number("from") as usize, call.number("target") as usize);
            let epoch = call.number("fence");
            for state in &mut self.keys.lock().unwrap()[first..=last] {
                state.held_until = None;
                state.seen = state.seen.max(epoch);
            }
            self.record.note(&format!(
                "server {}: releases keys {first} to {last}, epoch {epoch}", self.id
            ));
        }
        std::thread::sleep(WORK * 2);
        format!("Handover: {:016x}\r\n", self.born)
    }

    fn run(&self, request: &Message) -> (u16, String, String) {
        let key = request.header("shard-key").parse().unwrap_or(0_usize) % KEYS;
        if !self.keys.lock().unwrap()[key].is_held(Instant::now()) {
            return (421, "Not-Executed: 1\r\n".to_owned(), String::new());
        }
        self.record.note(&format!(
            "server {}: runs request {}, key {key}", self.id, request.header("request-id")
        ));
        std::thread::sleep(WORK);
        (200, format!("Response-Stamp: {}.1\r\n", self.id), "done".to_owned())
    }
}
