//! All hosts are killed and start again; as their first requests run, the servers of a
//! failure domain crash once, and are back a few seconds later.

use crate::hosts::{Folder, Host};
use crate::store::Store;
use crate::wire::read_message;
use crate::{Record, wait_for};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOSTS: usize = 3;
const CLIENTS: usize = 6;
const WORK: Duration = Duration::from_millis(500);
/// Time for which the processes are down; a day of the site has `kill_all` with 0.59 s.
const DOWN: Duration = Duration::from_millis(590);
/// Time for which the servers are down.
const CRASHED: Duration = Duration::from_secs(3);
/// `recovery_s`, and the time for which requests are counted behind it.
const RECOVERY: Duration = Duration::from_secs(15);
const COUNTED: Duration = Duration::from_secs(15);
const CONFIG: &str = r#"{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"host":"charts.example","rule_set":[{"name":"r-1","kind":"idempotent","target_latency_ms":1000,"priority":1,"match":{"prefix":"/charts/"},"action":{"service":"puerto","timeout_ms":3000,"max_attempts":2}}]}],"clusters":[{"name":"puerto","health_path":"/health","max_connections":248,"protocol":"h1","tls":false}]}"#;

/// A server that runs each request for a while.
struct Server {
    id: String,
    address: SocketAddr,
    is_up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicU32,
    record: Arc<Record>,
}

impl Server {
    fn start(id: &str, store: &Store, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("bound"),
            is_up: AtomicBool::new(true),
            connections: Mutex::default(),
            running: AtomicU32::new(0),
            record: Arc::clone(record),
        });
        Arc::clone(&server).listen(listener);
        server.register(store);
        server
    }

    /// Writes the entry of a new start to the store.
    fn register(&self, store: &Store) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        store.set(
            "servers",
            &self.id,
            &format!(
                r#"{{"service":"puerto","address":"{}","zone":"z1","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
                self.address, born.as_millis()
            ),
        );
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket");
        std::thread::spawn(move || {
            while self.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _blocking = stream.set_nonblocking(false);
                        if let Ok(kept) = stream.try_clone() {
                            self.connections.lock().unwrap().push(kept);
                        }
                        let serving = Arc::clone(&self);
                        std::thread::spawn(move || serving.serve(stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        // The listener closes within a few milliseconds.
        std::thread::sleep(Duration::from_millis(10));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
        self.record.note(&format!("server {}: crashes", self.id));
    }

    fn restart(self: &Arc<Self>, store: &Store) {
        let listener = TcpListener::bind(self.address).expect("the server's own port");
        self.is_up.store(true, Ordering::SeqCst);
        Arc::clone(self).listen(listener);
        self.register(store);
        self.record.note(&format!("server {}: is back", self.id));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let target = request.header("target-instance");
            let id = request.header("request-id");
            let answer = if !target.is_empty() && target != self.id {
                "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            } else if request.target().0 == "/health" {
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id)
            } else {
                self.record.note(&format!("server {}: runs request {id}", self.id));
                self.running.fetch_add(1, Ordering::SeqCst);
                std::thread::sleep(WORK);
                self.running.fetch_sub(1, Ordering::SeqCst);
                format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}.1\r\n\
                     Content-Length: 4\r\n\r\ndone",
                    self.id
                )
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<u32, String> {
    let store = Store::start();
    store.set("op", "config", CONFIG);
    let servers: Vec<Arc<Server>> =
        ["i-1", "i-2"].iter().map(|id| Server::start(id, &store, record)).collect();
    let folder = Folder::new();
    let start = |number: usize| Host::start(&folder, &format!("front-{number}"), store.address);
    let mut hosts: Vec<Host> = (0..HOSTS).map(start).collect();
    if !wait_for(Duration::from_secs(20), || hosts.iter().all(Host::is_ready)) {
        return Err("a host did not become ready".to_owned());
    }
    let load = Load::start(record, &hosts);
    std::thread::sleep(Duration::from_secs(6));
    let (sent, served) = load.take_counts();
    record.note(&format!("before the final fault: {served} of {sent} requests served"));
    if served * 4 < sent || served < 20 {
        return Err("too few requests were served before".to_owned());
    }

    load.is_paused.store(true, Ordering::SeqCst);
    for host in &mut hosts {
        host.kill();
    }
    record.note("all hosts are killed");
    std::thread::sleep(DOWN);
    hosts = (0..HOSTS).map(start).collect();
    load.use_hosts(&hosts);
    record.note("all hosts are started again");
    if !wait_for(Duration::from_secs(20), || hosts.iter().all(Host::is_ready)) {
        return Err("a host did not become ready again".to_owned());
    }
    let back_at = Instant::now();
    load.is_paused.store(false, Ordering::SeqCst);
    if has_trouble {
        let is_running = || servers.iter().all(|server| server.running.load(Ordering::SeqCst) > 0);
        if !wait_for(Duration::from_secs(5), is_running) {
            return Err("no request runs".to_owned());
        }
        std::thread::sleep(WORK / 4);
        for server in &servers {
            server.crash();
        }
        std::thread::sleep(CRASHED);
        for server in &servers {
            server.restart(&store);
        }
    }
    std::thread::sleep(RECOVERY.saturating_sub(back_at.elapsed()));
    load.take_counts();
    std::thread::sleep(COUNTED);
    let (sent, served) = load.take_counts();
    load.is_stopped.store(true, Ordering::SeqCst);
    record.note(&format!("later than 15 s after the hosts were back: {served} of {sent} requests served"));
    if sent < 20 {
        return Err("too few requests were sent".to_owned());
    }
    Ok(u32::from(served * 4 < sent))
}

/// Clients that read one chart, each with one request at a time.
struct Load {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    is_paused: Arc<AtomicBool>,
    is_stopped: Arc<AtomicBool>,
    sent: Arc<AtomicU32>,
    served: Arc<AtomicU32>,
}

impl Load {
    fn start(record: &Arc<Record>, hosts: &[Host]) -> Self {
        let load = Self {
            addresses: Arc::default(),
            is_paused: Arc::default(),
            is_stopped: Arc::default(),
            sent: Arc::default(),
            served: Arc::default(),
        };
        load.use_hosts(hosts);
        for client in 0..CLIENTS {
            let addresses = Arc::clone(&load.addresses);
            let (is_paused, is_stopped) = (Arc::clone(&load.is_paused), Arc::clone(&load.is_stopped));
            let (sent, served) = (Arc::clone(&load.sent), Arc::clone(&load.served));
            let record = Arc::clone(record);
            std::thread::spawn(move || {
                let mut number = 0;
                while !is_stopped.load(Ordering::SeqCst) {
                    if is_paused.load(Ordering::SeqCst) {
                        std::thread::sleep(Duration::from_millis(10));
                        continue;
                    }
                    number += 1;
                    let address = addresses.lock().unwrap()[(client + number) % HOSTS];
                    let id = format!("{client:02x}{number:06x}");
                    sent.fetch_add(1, Ordering::SeqCst);
                    let (status, wait) = ask(address, &id).unwrap_or((0, 0.0));
                    record.note(&format!("client: request {id}, answered {status}"));
                    served.fetch_add(u32::from(status == 200), Ordering::SeqCst);
                    std::thread::sleep(Duration::from_secs_f64(wait.clamp(0.05, 1.0)));
                }
            });
        }
        load
    }

    fn use_hosts(&self, hosts: &[Host]) {
        *self.addresses.lock().unwrap() = hosts.iter().map(|host| host.front).collect();
    }

    /// Returns how many requests were sent and served since the last time.
    fn take_counts(&self) -> (u32, u32) {
        (self.sent.swap(0, Ordering::SeqCst), self.served.swap(0, Ordering::SeqCst))
    }
}

/// Returns the status, and the time after which to come back, in seconds.
fn ask(address: SocketAddr, id: &str) -> std::io::Result<(u16, f64)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let request = format!(
        "GET /charts/today HTTP/1.1\r\nHost: charts.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 3000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let answer = read_message(&mut BufReader::new(stream));
    Ok(answer.map_or((0, 0.0), |answer| {
        (answer.status(), answer.header("retry-after").parse().unwrap_or(0.0))
    }))
}
