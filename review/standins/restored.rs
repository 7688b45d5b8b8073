//! The store comes back from a copy some seconds old, while all hosts are killed at once.

use crate::servers::{Fleet, KEYS, watch_holders};
use crate::store::Store;
use crate::wire::read_message;
use crate::{Folder, Host, Record};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
const CLIENTS: usize = 6;
/// Time for which the processes are down, and for which the store is away.
const DOWN: Duration = Duration::from_millis(500);
const AWAY: Duration = Duration::from_millis(300);
/// Age of the copy; the joined server has got keys by the greatest.
const MIN_COPY_AGE: Duration = Duration::from_secs(3);
const MAX_COPY_AGE: Duration = Duration::from_secs(5);
/// Age of a copy from before the first grants.
const FIRST_COPY_AGE: Duration = Duration::from_secs(6);
const CONFIG: &str = r#"{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"host":"charts.example","rule_set":[{"name":"r-1","kind":"idempotent","target_latency_ms":400,"priority":1,"match":{"prefix":"/charts/"},"action":{"service":"mapview","timeout_ms":1500,"max_attempts":2}}]}],"clusters":[{"name":"mapview","health_path":"/health","max_connections":232,"protocol":"h1","tls":false,"sharded":true,"warm_s":3.0,"grants":"call"}]}"#;

/// Hosts go on, and the copy is from before the first keys were granted.
pub fn play_first_grants(record: &Arc<Record>, has_trouble: bool) -> Result<u32, String> {
    let store = Store::start();
    store.set("op", "config", CONFIG);
    let fleet: Arc<Fleet> = Arc::default();
    watch_holders(&fleet, record);
    let folder = Folder::new();
    let start = |number: usize| Host::start(&folder, &format!("front-{number}"), store.address);
    let hosts: Vec<Host> = (0..HOSTS).map(start).collect();
    std::thread::sleep(Duration::from_secs(1));
    for id in ["i-1", "i-2", "i-3", "i-4"] {
        fleet.start_server(id, &store, record);
    }
    let copy = store.take_copy();
    let copied_at = Instant::now();
    record.note("store: a copy is taken");
    if !hosts.iter().all(Host::wait_until_ready) {
        return Err("a host did not become ready".to_owned());
    }
    let load = Load::start(record, &hosts);
    let holds_all = || {
        let servers = fleet.servers.lock().unwrap().clone();
        servers.iter().all(|server| server.held_count() > 0)
    };
    if !wait_for(Duration::from_secs(20), holds_all) {
        return Err("the servers got no keys".to_owned());
    }
    let age = copied_at.elapsed();
    std::thread::sleep(FIRST_COPY_AGE.saturating_sub(age));
    record.note(&format!("before the disruption: rule broken {} times", fleet.broken()));
    if has_trouble {
        store.go_away();
        std::thread::sleep(AWAY);
        store.come_back_from(copy);
        record.note(&format!("store: back from a copy {} ms old", copied_at.elapsed().as_millis()));
        store.set("op", "config", CONFIG);
        let servers = fleet.servers.lock().unwrap().clone();
        for server in &servers {
            server.register(&store);
        }
    }
    std::thread::sleep(Duration::from_secs(8));
    load.is_stopped.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(200));
    let served = load.served.load(Ordering::SeqCst);
    record.note(&format!("client: {served} requests served"));
    if served < 100 {
        return Err("too few requests were served".to_owned());
    }
    Ok(fleet.broken())
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<u32, String> {
    let store = Store::start();
    store.set("op", "config", CONFIG);
    let fleet: Arc<Fleet> = Arc::default();
    for id in ["i-1", "i-2"] {
        fleet.start_server(id, &store, record);
    }
    watch_holders(&fleet, record);
    let folder = Folder::new();
    let start = |number: usize| Host::start(&folder, &format!("front-{number}"), store.address);
    let mut hosts: Vec<Host> = (0..HOSTS).map(start).collect();
    if !hosts.iter().all(Host::wait_until_ready) {
        return Err("a host did not become ready".to_owned());
    }
    let load = Load::start(record, &hosts);
    let is_granted = |id: &str, count: usize| {
        let servers = fleet.servers.lock().unwrap().clone();
        servers.iter().any(|server| server.id == id && server.held_count() >= count)
    };
    if !wait_for(Duration::from_secs(20), || is_granted("i-1", 1) && is_granted("i-2", 1)) {
        return Err("the servers got no keys".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let copy = store.take_copy();
    let copied_at = Instant::now();
    record.note("store: a copy is taken");
    fleet.start_server("i-3", &store, record);
    record.note("server i-3 joins");
    if !wait_for(MAX_COPY_AGE, || is_granted("i-3", 1)) {
        return Err("the joined server got no keys".to_owned());
    }
    let age = copied_at.elapsed();
    std::thread::sleep(MIN_COPY_AGE.saturating_sub(age));
    let before = fleet.broken();
    record.note(&format!("before the disruption: rule broken {before} times"));
    for host in &mut hosts {
        host.kill();
    }
    record.note("all hosts are killed");
    if has_trouble {
        store.go_away();
        std::thread::sleep(AWAY);
        store.come_back_from(copy);
        record.note(&format!("store: back from a copy {} ms old", copied_at.elapsed().as_millis()));
        // What the operator and the servers wrote is written again.
        store.set("op", "config", CONFIG);
        let servers = fleet.servers.lock().unwrap().clone();
        for server in &servers {
            server.register(&store);
        }
        std::thread::sleep(DOWN - AWAY);
    } else {
        std::thread::sleep(DOWN);
    }
    hosts = (0..HOSTS).map(start).collect();
    record.note("all hosts are started again");
    load.use_hosts(&hosts);
    std::thread::sleep(Duration::from_secs(8));
    load.is_stopped.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(200));
    let served = load.served.load(Ordering::SeqCst);
    record.note(&format!("client: {served} requests served"));
    if served < 100 {
        return Err("too few requests were served".to_owned());
    }
    Ok(fleet.broken())
}

fn wait_for(max_wait: Duration, is_done: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + max_wait;
    while Instant::now() < deadline {
        if is_done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Clients that read charts for changing keys.
struct Load {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    is_stopped: Arc<AtomicBool>,
    served: Arc<AtomicU32>,
}

impl Load {
    fn start(record: &Arc<Record>, hosts: &[Host]) -> Self {
        let load = Self {
            addresses: Arc::default(),
            is_stopped: Arc::default(),
            served: Arc::default(),
        };
        load.use_hosts(hosts);
        for client in 0..CLIENTS {
            let (addresses, is_stopped) = (Arc::clone(&load.addresses), Arc::clone(&load.is_stopped));
            let (served, record) = (Arc::clone(&load.served), Arc::clone(record));
            std::thread::spawn(move || {
                let mut number = 0;
                while !is_stopped.load(Ordering::SeqCst) {
                    number += 1;
                    let address = addresses.lock().unwrap()[(client + number) % HOSTS];
                    let key = (client * 10_007 + number * 2_741) % KEYS;
                    let id = format!("{client:02x}{number:06x}");
                    let status = ask(address, &id, key).unwrap_or(0);
                    record.note(&format!("client: request {id}, key {key}, answered {status}"));
                    served.fetch_add(u32::from(status == 200), Ordering::SeqCst);
                    std::thread::sleep(Duration::from_millis(if status == 200 { 5 } else { 100 }));
                }
            });
        }
        load
    }

    fn use_hosts(&self, hosts: &[Host]) {
        *self.addresses.lock().unwrap() = hosts.iter().map(|host| host.front).collect();
    }
}

fn ask(address: SocketAddr, id: &str, key: usize) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let request = format!(
        "GET /charts/{key} HTTP/1.1\r\nHost: charts.example\r\nRequest-Id: {id}\r\n\
         Shard-Key: {key}\r\nDeadline-Ms: 1500\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let answer = read_message(&mut BufReader::new(stream));
    Ok(answer.map_or(0, |answer| answer.status()))
}
