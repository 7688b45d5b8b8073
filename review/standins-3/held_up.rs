//! A server is cut off while the leader is killed, with a renewal on its way. The next leader
//! gives the server's keys to others and is restarted as planned; then the cut heals, and the
//! renewal arrives.

use crate::hosts::{Folder, Host};
use crate::servers::{Fleet, KEYS};
use crate::store::Store;
use crate::wire::read_message;
use crate::{Record, wait_for};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOSTS: usize = 4;
const CLIENTS: usize = 4;
/// Length of the cut; a day of the site has `node_cut` for 12 s.
const CUT: Duration = Duration::from_millis(11_900);
/// Time from the renewal to the loss of its sender, which resets its connection after 500 ms.
const KILL_DELAY: Duration = Duration::from_millis(200);
/// Time from the move of the keys to the planned stop.
const STOP_DELAY: Duration = Duration::from_millis(500);
/// Time for which a killed process is down.
const DOWN: Duration = Duration::from_millis(500);
const CONFIG: &str = r#"{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"host":"charts.example","rule_set":[{"name":"r-1","kind":"idempotent","target_latency_ms":400,"priority":1,"match":{"prefix":"/charts/"},"action":{"service":"mapview","timeout_ms":1500,"max_attempts":2}}]}],"clusters":[{"name":"mapview","health_path":"/health","max_connections":232,"protocol":"h1","tls":false,"sharded":true,"warm_s":3.0,"grants":"call"}]}"#;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<u32, String> {
    let store = Store::start();
    store.set("op", "config", CONFIG);
    let fleet: Arc<Fleet> = Arc::default();
    for id in ["i-1", "i-2", "i-3", "i-4"] {
        fleet.start_server(id, &store, record);
    }
    let folder = Folder::new();
    let start = |number: usize| Host::start(&folder, &format!("front-{number}"), store.address);
    let mut hosts: Vec<Host> = (0..HOSTS).map(start).collect();
    if !wait_for(Duration::from_secs(20), || hosts.iter().all(Host::is_ready)) {
        return Err("a host did not become ready".to_owned());
    }
    let load = Load::start(record, &hosts);
    let holds_all = || fleet.servers().iter().all(|server| server.held_count() > 0);
    if !wait_for(Duration::from_secs(20), holds_all) {
        return Err("the servers got no keys".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let server = Arc::clone(&fleet.servers()[0]);
    let first = leader(&hosts).ok_or("no host leads")?;

    let cut_at = Instant::now();
    if has_trouble {
        server.cut();
        let has_held_up = || server.held_up.load(Ordering::SeqCst) > 0;
        if !wait_for(Duration::from_secs(3), has_held_up) {
            return Err("no renewal was sent".to_owned());
        }
        std::thread::sleep(KILL_DELAY);
    }
    record.note(&format!("{} leads, and is killed", hosts[first].name));
    hosts[first].kill();
    std::thread::sleep(DOWN);
    hosts[first] = start(first);
    load.use_hosts(&hosts);

    let others_hold_all = || {
        let servers = fleet.servers();
        let others = servers.iter().filter(|other| !has_trouble || other.id != server.id);
        others.map(|other| other.held_count()).sum::<usize>() == KEYS
    };
    let remaining = CUT.saturating_sub(cut_at.elapsed());
    if !wait_for(remaining, || others_hold_all() && leader(&hosts).is_some()) {
        return Err("the keys did not move during the cut".to_owned());
    }
    std::thread::sleep(STOP_DELAY);
    let second = leader(&hosts).ok_or("no host leads")?;
    record.note(&format!("{} leads, and gets SIGTERM", hosts[second].name));
    hosts[second].terminate();
    let mut third = None;
    let mut has_restarted = false;
    while cut_at.elapsed() < CUT {
        if !has_restarted && hosts[second].has_ended() {
            hosts[second] = start(second);
            load.use_hosts(&hosts);
            has_restarted = true;
        }
        if third.is_none() {
            third = other_leader(&hosts, second);
            if let Some(number) = third {
                record.note(&format!("{} leads", hosts[number].name));
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    if third.is_none() {
        return Err("no other host leads after the planned stop".to_owned());
    }
    if has_trouble {
        server.heal();
        record.note(&format!("the cut has lasted {} ms", cut_at.elapsed().as_millis()));
    }

    let mut shared_since = None;
    let mut longest = Duration::ZERO;
    let watched_since = Instant::now();
    while watched_since.elapsed() < Duration::from_secs(6) {
        let shared = fleet.shared_count(&server.id);
        if shared == 0 {
            shared_since = None;
        } else {
            let since = *shared_since.get_or_insert_with(Instant::now);
            longest = longest.max(since.elapsed());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    record.note(&format!(
        "longest time with keys of {} that another server held: {} ms",
        server.id, longest.as_millis()
    ));
    load.is_stopped.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(200));
    let served = load.served.load(Ordering::SeqCst);
    record.note(&format!("client: {served} requests served"));
    if served < 100 {
        return Err("too few requests were served".to_owned());
    }
    Ok(fleet.broken())
}

/// Returns the number of the host that leads.
fn leader(hosts: &[Host]) -> Option<usize> {
    hosts.iter().position(Host::is_leading)
}

/// Returns the number of another host that leads; one that stops may still say that it does.
fn other_leader(hosts: &[Host], stopped: usize) -> Option<usize> {
    (0..hosts.len()).find(|number| *number != stopped && hosts[*number].is_leading())
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
                    std::thread::sleep(Duration::from_millis(if status == 200 { 20 } else { 100 }));
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
