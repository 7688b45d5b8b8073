//! The cases.

use crate::hosts::{Ask, Host, MEMORY_MB, Network, ask, sheet};
use crate::record::{Record, unix_ms};
use crate::server::{Fault, Server, Setup};
use crate::store::Store;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Zones of the deployment.
const ZONES: [&str; 3] = ["north-a", "north-b", "north-c"];
/// Number of instances of the service that is divided by key.
const SHARDED_COUNT: u8 = 5;
/// Number of instances of the other service.
const UNSHARDED_COUNT: u8 = 4;
/// Keys that the checks look at.
const CHECKED_KEYS: u16 = 64;
/// Time that the deployment has to give out all keys.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Result of a case.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The rule held.
    Held(String),
    /// The rule was broken.
    Broken(String),
    /// The case could not run.
    NotRun(String),
}

/// A small deployment: a store, instances of both services, and hosts.
struct Deployment {
    store: Arc<Store>,
    servers: Vec<Arc<Server>>,
    hosts: Vec<Host>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
        // What is left of the folder does no harm.
        let _unused = std::fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Starts the deployment, and waits until it serves all keys.
    fn start(record: &Arc<Record>, work: Duration, hosts_per_zone: u8) -> Result<Self, Outcome> {
        let network = Network::choose();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written to");
        let (store, address) = Store::start(&network.ip(1));
        store.set("op", "config", &sheet(1));
        let mut servers = Vec::new();
        for index in 0..SHARDED_COUNT + UNSHARDED_COUNT {
            let is_sharded = index < SHARDED_COUNT;
            let setup = Setup {
                service: if is_sharded { "mapview" } else { "puerto" },
                zone: ZONES[usize::from(index) % ZONES.len()],
                slots: 4,
                is_sharded,
                work,
            };
            let id = format!("i-{index}");
            let server = Server::start(&id, &network.ip(10 + index), &setup, record);
            store.set("servers", &id, &server.entry());
            servers.push(server);
        }
        let mut hosts = Vec::new();
        for number in 0..hosts_per_zone * ZONES.len() as u8 {
            let zone = ZONES[usize::from(number) % ZONES.len()];
            let name = format!("front-{zone}-{number}");
            let host = Host::start(&name, zone, &network, 30 + number, address, &folder);
            hosts.push(host);
        }
        let deployment = Self {
            store,
            servers,
            hosts,
            folder,
        };
        if !deployment.hosts.iter().all(Host::wait_until_ready) {
            return Err(Outcome::NotRun("a host did not become ready".to_owned()));
        }
        let until = Instant::now() + SETTLE_TIMEOUT;
        while !checked_keys().all(|key| deployment.holders(key).len() == 1) {
            if Instant::now() > until {
                return Err(Outcome::NotRun("the keys were not given out".to_owned()));
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.tell("the deployment serves all keys");
        Ok(deployment)
    }

    /// Returns the instances that hold a key.
    fn holders(&self, key: u16) -> Vec<String> {
        let servers = self.servers.iter().filter(|server| server.holds(key));
        servers.map(|server| server.id.clone()).collect()
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.clients).collect()
    }
}

fn checked_keys() -> impl Iterator<Item = u16> {
    (0..CHECKED_KEYS).map(|index| index * (u16::MAX / CHECKED_KEYS) + 7)
}

/// Clients that ask the hosts in turn until they are stopped.
struct Clients {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    answers: Arc<Mutex<Vec<(String, u16)>>>,
}

impl Clients {
    fn start(
        count: usize,
        pause: Duration,
        hosts: &[SocketAddr],
        record: &Arc<Record>,
        request: fn(u64) -> Ask,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let answers = Arc::new(Mutex::new(Vec::new()));
        let next = Arc::new(AtomicU64::new(1));
        let threads = (0..count).map(|index| {
            let (is_stopped, answers) = (Arc::clone(&is_stopped), Arc::clone(&answers));
            let (next, record) = (Arc::clone(&next), Arc::clone(record));
            let hosts = hosts.to_vec();
            thread::spawn(move || {
                // Otherwise all would ask at the same time.
                thread::sleep(pause * index as u32);
                while !is_stopped.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let request = request(number);
                    let host = hosts[number as usize % hosts.len()];
                    let status = ask(host, &request, &record).map_or(0, |answer| answer.status());
                    let mut answers = answers.lock().expect("not poisoned");
                    answers.push((request.id, status));
                    drop(answers);
                    thread::sleep(pause);
                }
            })
        });
        Self {
            threads: threads.collect(),
            is_stopped,
            answers,
        }
    }

    /// Starts clients that ask the hosts in turn, all at the same time, once in 5 s.
    fn start_waves(
        waves: u64,
        count: usize,
        hosts: &[SocketAddr],
        record: &Arc<Record>,
        request: fn(u64) -> Ask,
    ) -> Self {
        const INTERVAL: Duration = Duration::from_secs(5);
        let is_stopped = Arc::new(AtomicBool::new(false));
        let answers = Arc::new(Mutex::new(Vec::new()));
        let started_at = Instant::now();
        let threads = (0..count).map(|client| {
            let (is_stopped, answers) = (Arc::clone(&is_stopped), Arc::clone(&answers));
            let (host, record) = (hosts[client % hosts.len()], Arc::clone(record));
            thread::spawn(move || {
                for wave in 0..waves {
                    let begins_at = started_at + INTERVAL * wave as u32;
                    thread::sleep(begins_at.saturating_duration_since(Instant::now()));
                    if is_stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let request = request(wave * 1_000 + client as u64);
                    let status = ask(host, &request, &record).map_or(0, |answer| answer.status());
                    answers
                        .lock()
                        .expect("not poisoned")
                        .push((request.id, status));
                }
            })
        });
        Self {
            threads: threads.collect(),
            is_stopped,
            answers,
        }
    }

    /// Stops the clients; returns the status for each request, 0 for no answer.
    fn stop(self) -> Vec<(String, u16)> {
        self.is_stopped.store(true, Ordering::SeqCst);
        for client in self.threads {
            client.join().expect("a client does not panic");
        }
        self.answers.lock().expect("not poisoned").clone()
    }
}

fn chart(number: u64) -> Ask {
    let index = number as u16 % CHECKED_KEYS;
    Ask {
        id: format!("r-{number:06x}"),
        method: "GET",
        path: format!("/chart/{number}"),
        key: checked_keys().nth(usize::from(index)).expect("in range"),
        budget: Duration::from_millis(1_500),
        body_bytes: 0,
    }
}

/// Like [`chart`], on two keys.
fn busy_chart(number: u64) -> Ask {
    const BUSY_KEYS: [u64; 2] = [5, 40];
    Ask {
        path: format!("/chart/{number}"),
        id: format!("r-{number:06x}"),
        ..chart(BUSY_KEYS[number as usize % BUSY_KEYS.len()])
    }
}

fn history(number: u64) -> Ask {
    Ask {
        path: format!("/history/{number}"),
        ..chart(number)
    }
}

/// Another writer's entry with a service that isn't named, at the address of an instance
/// that holds keys. The rule: two instances that are up don't hold the same keys for over
/// half a second.
pub fn forged_entry(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    const MAX_OVERLAP: Duration = Duration::from_millis(500);
    const CLIENTS: usize = 6;
    let deployment = match Deployment::start(record, Duration::from_millis(400), 1) {
        Ok(deployment) => deployment,
        Err(outcome) => return outcome,
    };
    let pause = Duration::from_millis(75);
    let clients = Clients::start(CLIENTS, pause, &deployment.addresses(), record, busy_chart);
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        let busy_key = busy_chart(0).key;
        let servers = &deployment.servers;
        let Some(holder) = servers.iter().find(|server| server.holds(busy_key)) else {
            return Outcome::NotRun(format!("key {busy_key} has no holder"));
        };
        let entry = format!(
            "{{\"service\":\"another-writers-service\",\"address\":\"{}\",\"zone\":\"north-a\",\
             \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":1,\"born\":{}}}",
            holder.address,
            unix_ms()
        );
        deployment
            .store
            .set("servers", "another-writers-id", &entry);
        record.tell(&format!("another writer adds {entry}"));
    }
    let mut since: BTreeMap<u16, Instant> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    let mut overlapping = BTreeMap::new();
    let until = Instant::now() + Duration::from_secs(12);
    while Instant::now() < until {
        for key in checked_keys() {
            let holders = deployment.holders(key);
            if holders.len() < 2 {
                since.remove(&key);
                continue;
            }
            let now = Instant::now();
            let began = *since.entry(key).or_insert_with(|| {
                record.add(&format!("key {key} is held by {holders:?}"));
                now
            });
            longest = longest.max(now - began);
            if now - began > MAX_OVERLAP {
                overlapping.insert(key, holders);
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let answers = clients.stop();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    let summary = format!(
        "{} of {CHECKED_KEYS} keys had two holders for over {} ms, the longest for {} ms; \
         {} requests began while another instance was at work on their key; \
         {served} of {} requests served",
        overlapping.len(),
        MAX_OVERLAP.as_millis(),
        longest.as_millis(),
        record.shared_runs(),
        answers.len(),
    );
    if overlapping.is_empty() {
        return Outcome::Held(summary);
    }
    for (key, holders) in overlapping {
        record.add(&format!("key {key}: two holders, {holders:?}"));
    }
    Outcome::Broken(summary)
}

/// One instance of three sends chunks of one byte without end. The platform kills a
/// process that takes more memory than its settings allow, and starts it again. The rule:
/// processes don't end by themselves three times each on a tenth of the machines, two at
/// least.
pub fn endless_chunks(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    /// The first instance of its service in the zone `north-a`.
    const SICK: usize = 6;
    let mut deployment = match Deployment::start(record, Duration::from_millis(20), 2) {
        Ok(deployment) => deployment,
        Err(outcome) => return outcome,
    };
    if has_trouble {
        *deployment.servers[SICK].fault.lock().expect("not poisoned") = Fault::EndlessChunks;
        record.tell("the answers of i-6 are chunks without end");
    }
    let pause = Duration::from_millis(50);
    let clients = Clients::start(6, pause, &deployment.addresses(), record, bundle);
    watch_memory(record, &mut deployment, clients)
}

fn bundle(number: u64) -> Ask {
    Ask {
        path: format!("/bundle/{number}"),
        budget: Duration::from_millis(6_000),
        ..chart(number)
    }
}

fn order(number: u64) -> Ask {
    Ask {
        method: "POST",
        path: format!("/order/{number}"),
        budget: Duration::from_millis(2_000),
        ..chart(number)
    }
}

/// Clients send large bodies, each within `max_body_bytes`, in waves; a burst doubles the
/// number of clients. The platform kills a process that takes more memory than its
/// settings allow, and starts it again. The rule is that of [`endless_chunks`].
pub fn large_bodies(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    const BODY_BYTES: usize = 36 << 20;
    /// Clients of each host, and of each host in a burst.
    const CLIENTS: [usize; 2] = [2, 4];
    const WAVES: u64 = 8;
    let mut deployment = match Deployment::start(record, Duration::from_millis(300), 1) {
        Ok(deployment) => deployment,
        Err(outcome) => return outcome,
    };
    let count = CLIENTS[usize::from(has_trouble)] * deployment.hosts.len();
    record.tell(&format!(
        "{WAVES} waves of {count} clients send bodies of {BODY_BYTES} bytes"
    ));
    let request = |number| Ask {
        body_bytes: BODY_BYTES,
        ..order(number)
    };
    let clients = Clients::start_waves(WAVES, count, &deployment.addresses(), record, request);
    watch_memory(record, &mut deployment, clients)
}

/// Another writer's entry whose `cold_remaining_ms` is no whole number. Then all hosts are
/// killed. The rule: later than `recovery_s` after they are back, a quarter of the
/// requests is served.
pub fn entry_with_float(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    const RECOVERY: Duration = Duration::from_secs(15);
    let mut deployment = match Deployment::start(record, Duration::from_millis(20), 1) {
        Ok(deployment) => deployment,
        Err(outcome) => return outcome,
    };
    let addresses = deployment.addresses();
    let pause = Duration::from_millis(50);
    let clients = Clients::start(6, pause, &addresses, record, history);
    thread::sleep(Duration::from_secs(3));
    let before = clients.stop();
    if has_trouble {
        let entry = format!(
            "{{\"service\":\"puerto\",\"address\":\"127.0.0.1:9\",\"zone\":\"north-a\",\
             \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\
             \"cold_remaining_ms\":1e300,\"sequence\":1,\"born\":{}}}",
            unix_ms()
        );
        deployment
            .store
            .set("servers", "another-writers-id", &entry);
        record.tell(&format!("another writer adds {entry}"));
    }
    thread::sleep(Duration::from_secs(2));
    record.tell("all hosts are killed");
    for host in &mut deployment.hosts {
        host.kill();
    }
    thread::sleep(Duration::from_millis(600));
    for host in &mut deployment.hosts {
        host.restart();
    }
    thread::sleep(RECOVERY);
    let clients = Clients::start(6, pause, &addresses, record, history);
    thread::sleep(Duration::from_secs(20));
    let after = clients.stop();
    let ready = deployment
        .hosts
        .iter()
        .filter(|host| host.is_ready())
        .count();
    let share = |answers: &[(String, u16)]| {
        let served = answers.iter().filter(|(_, status)| *status == 200).count();
        served as f64 / answers.len().max(1) as f64
    };
    let summary = format!(
        "served before {:.3}, later than {} s after the restart {:.3}; {ready} of {} hosts ready",
        share(&before),
        RECOVERY.as_secs(),
        share(&after),
        deployment.hosts.len(),
    );
    if share(&before) >= 0.25 && share(&after) < 0.25 {
        return Outcome::Broken(summary);
    }
    Outcome::Held(summary)
}

/// Kills hosts that take more memory than their settings allow, and starts them again;
/// ends when two hosts have ended three times each, or after a minute.
fn watch_memory(record: &Arc<Record>, deployment: &mut Deployment, clients: Clients) -> Outcome {
    const MAX_ENDS: u32 = 2;
    const MIN_HOSTS: usize = 2;
    let has_ended_often =
        |ends: &[u32]| ends.iter().filter(|count| **count > MAX_ENDS).count() >= MIN_HOSTS;
    let mut ends = vec![0_u32; deployment.hosts.len()];
    let mut peaks = vec![0_u64; deployment.hosts.len()];
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    let until = Instant::now() + Duration::from_secs(60);
    while Instant::now() < until {
        for (index, host) in deployment.hosts.iter_mut().enumerate() {
            if let Some(at) = restarts.iter().position(|(ended, _)| *ended == index) {
                if Instant::now() >= restarts[at].1 {
                    host.restart();
                    restarts.remove(at);
                }
                continue;
            }
            let memory_mb = host.memory_mb();
            peaks[index] = peaks[index].max(memory_mb);
            if memory_mb <= MEMORY_MB && !host.has_ended() {
                continue;
            }
            host.kill();
            ends[index] += 1;
            record.tell(&format!(
                "{} took {memory_mb} MB of {MEMORY_MB} MB and was killed",
                host.name
            ));
            restarts.push((index, Instant::now() + Duration::from_millis(500)));
        }
        if has_ended_often(&ends) {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    let answers = clients.stop();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    let unanswered = answers.iter().filter(|(_, status)| *status == 0).count();
    let summary = format!(
        "ends by host {ends:?}, peak memory {peaks:?} MB of {MEMORY_MB} MB; {} requests, \
         {served} served, {unanswered} without an answer",
        answers.len(),
    );
    if has_ended_often(&ends) {
        return Outcome::Broken(summary);
    }
    Outcome::Held(summary)
}
