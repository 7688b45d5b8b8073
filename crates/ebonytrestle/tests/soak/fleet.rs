//! Host processes, simulated upstreams and store, with a relay on each path between
//! them.

use crate::stand_in::{FakeStore, FakeUpstream, host_settings, own_ip, sheet};
use fake::{FaultyRelay, RelayMode};
use front::PlatformPlugin;
use kernel::find_plugin;
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Maximum time until all hosts are ready after a start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time until a process has stopped after SIGTERM; its settings allow 6 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Numbers of hosts, and of upstreams of the sharded and the plain service.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub hosts: u32,
    pub sharded: u32,
    pub plain: u32,
}

impl FleetSize {
    pub const SMALL: Self = Self {
        hosts: 4,
        sharded: 4,
        plain: 3,
    };
    /// Near the limit of what one machine can run three times at once.
    pub const LARGE: Self = Self {
        hosts: 60,
        sharded: 40,
        plain: 20,
    };
}

/// A host process and its paths to clients and to the store.
pub struct HostProcess {
    pub name: String,
    pub ip: String,
    /// Address at which the store serves only this host.
    pub store_address: SocketAddr,
    /// Relay between the host and the store.
    pub relay: FaultyRelay,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Whether a fault of the process itself is active.
    pub has_process_fault: AtomicBool,
    /// Whether the process was killed or paused, so that clients may lose connections.
    pub may_cut_connections: AtomicBool,
    /// Whether hosts relay requests for each other, as on the command line.
    relay_mode: &'static str,
}

/// A simulated upstream and the relay in front of it.
pub struct RelayedUpstream {
    pub upstream: FakeUpstream,
    pub relay: FaultyRelay,
    /// When the upstream registered with the store as leaving.
    pub leaving_since: Mutex<Option<Instant>>,
}

/// All parts of one soak run.
pub struct Fleet {
    pub store: FakeStore,
    pub hosts: Vec<HostProcess>,
    pub upstreams: Arc<Mutex<Vec<Arc<RelayedUpstream>>>>,
    /// When a paused host was last resumed.
    pub resumed_at: Arc<Mutex<Option<Instant>>>,
    /// Start and end of each fault of the store or of a path to it.
    pub store_faults: Mutex<Vec<(Instant, Instant)>>,
    pub sheet_version: AtomicU32,
    seed: u64,
    relay_mode: &'static str,
}

impl HostProcess {
    fn spawn(&self) {
        let plugin = find_plugin::<PlatformPlugin>("table-store").expect("registered");
        let log = File::options().append(true).create(true).open(&self.log);
        let child = Command::new(env!("CARGO_BIN_EXE_ebonytrestle"))
            .args(["--platform", plugin.name, "--relay", self.relay_mode])
            .env(plugin.settings_variable, &self.settings)
            .stdout(log.expect("the log can be written"))
            .stderr(Stdio::null())
            .spawn();
        *self.child.lock() = Some(child.expect("the program starts"));
    }

    /// Sends a signal to the process, if it is running.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.lock();
        let Some(pid) = child
            .as_ref()
            .map(|child| Pid::from_raw(child.id().cast_signed()))
        else {
            return;
        };
        // This fails if the process has ended by itself.
        let _ended = kill_process(pid.expect("a process has an id"), signal);
    }

    /// Changes the settings file.
    pub fn change_settings(&self, change: impl FnOnce(&mut serde_json::Value)) {
        let text = std::fs::read_to_string(&self.settings).expect("there are settings");
        let mut settings = serde_json::from_str(&text).expect("settings are JSON");
        change(&mut settings);
        std::fs::write(&self.settings, settings.to_string()).expect("settings are written");
    }

    /// Replaces the settings file by invalid JSON.
    pub fn break_settings(&self) {
        std::fs::write(&self.settings, "{\"self\": ").expect("settings are written");
    }

    /// Waits until the log of the process contains `text`; panics after `timeout`.
    pub async fn wait_for_line(&self, text: &str, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            if log.contains(text) {
                return;
            }
            async_std::task::sleep(Duration::from_millis(50)).await;
        }
        panic!("{text:?} not found in {}", self.log.display());
    }

    /// Kills the process and starts a new one after a delay.
    pub async fn kill_and_restart(&self, delay: Duration) {
        self.may_cut_connections.store(true, Ordering::SeqCst);
        self.signal(Signal::KILL);
        self.reap();
        async_std::task::sleep(delay).await;
        self.spawn();
    }

    /// Stops the process gracefully, and starts a new one.
    pub async fn stop_and_restart(&self) {
        self.signal(Signal::TERM);
        self.wait_for_end(STOP_TIMEOUT).await;
        self.spawn();
    }

    /// Waits until the process has ended; kills it after `timeout`.
    async fn wait_for_end(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let has_ended = match self.child.lock().as_mut() {
                Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
                None => true,
            };
            if has_ended {
                return;
            }
            async_std::task::sleep(Duration::from_millis(20)).await;
        }
        self.may_cut_connections.store(true, Ordering::SeqCst);
        self.signal(Signal::KILL);
        self.reap();
    }

    fn reap(&self) {
        if let Some(mut child) = self.child.lock().take() {
            child.wait().expect("the process is a child of the test");
        }
    }

    pub async fn is_ready(&self) -> bool {
        is_ready(&self.ip).await
    }
}

/// Returns whether the host at an address reports that it accepts connections.
pub async fn is_ready(ip: &str) -> bool {
    let client = store::JsonClient::new(&format!("{ip}:8388"), Duration::from_secs(1));
    let request = client.send(http_types::Method::Get, "/ready", &[]);
    request.await.is_ok_and(|reply| reply.status == 200)
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // No process may outlive its run, even if a check panics.
        self.signal(Signal::KILL);
        self.reap();
    }
}

impl Fleet {
    pub async fn start(seed: u64, size: FleetSize, relay_mode: &'static str) -> Self {
        platform::register();
        let store = FakeStore::new();
        store.set("op", "config", &sheet(1));
        let fleet = Self {
            hosts: Vec::new(),
            upstreams: Arc::default(),
            resumed_at: Arc::default(),
            store_faults: Mutex::default(),
            sheet_version: AtomicU32::new(1),
            store,
            seed,
            relay_mode,
        };
        for number in 0..size.sharded {
            fleet.add_upstream(&format!("k-{number}"), "keyed").await;
        }
        for number in 0..size.plain {
            fleet.add_upstream(&format!("p-{number}"), "plain").await;
        }
        let mut hosts = Vec::new();
        for number in 0..size.hosts {
            hosts.push(fleet.start_host(number).await);
        }
        Self { hosts, ..fleet }
    }

    async fn start_host(&self, number: u32) -> HostProcess {
        let name = format!("front-{number}");
        let ip = own_ip();
        let store_address = self.store.open_address().await;
        let relay = FaultyRelay::start(&store_address.to_string())
            .await
            .expect("free port");
        let file = format!("soak-{}-{}-{name}", std::process::id(), self.seed);
        let settings = std::env::temp_dir().join(format!("{file}.json"));
        let text = host_settings(&name, &ip, relay.address()).to_string();
        std::fs::write(&settings, text).expect("settings are written");
        let host = HostProcess {
            log: std::env::temp_dir().join(format!("{file}.log")),
            name,
            ip,
            store_address,
            relay,
            settings,
            child: Mutex::default(),
            has_process_fault: AtomicBool::new(false),
            may_cut_connections: AtomicBool::new(false),
            relay_mode: self.relay_mode,
        };
        host.spawn();
        host
    }

    /// Starts an upstream behind a relay and registers it with the store.
    pub async fn add_upstream(&self, id: &str, service: &str) {
        let upstream = FakeUpstream::start(&self.store, id, service).await;
        let relay = FaultyRelay::start(&upstream.address.to_string()).await;
        let relay = relay.expect("free port");
        *upstream.listed_address.lock() = relay.address().parse().expect("an address");
        *upstream.delay.lock() = Duration::from_millis(8);
        upstream.register(&self.store, "ready");
        self.upstreams.lock().push(Arc::new(RelayedUpstream {
            upstream,
            relay,
            leaving_since: Mutex::default(),
        }));
    }

    /// Returns the upstreams of a service that are not leaving.
    pub fn remaining_upstreams(&self, service: &str) -> Vec<Arc<RelayedUpstream>> {
        let upstreams = self.upstreams.lock();
        let remaining = upstreams.iter().filter(|relayed| {
            relayed.upstream.service == service && relayed.leaving_since.lock().is_none()
        });
        remaining.cloned().collect()
    }

    fn held_keys(&self) -> u32 {
        let sharded = self.remaining_upstreams("keyed");
        sharded
            .iter()
            .map(|relayed| relayed.upstream.held_keys())
            .sum()
    }

    /// Waits until all hosts are ready and all keys are held; panics after a timeout.
    pub async fn wait_until_serving(&self) {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            let requests = self.hosts.iter().map(HostProcess::is_ready);
            let ready = futures::future::join_all(requests).await;
            if ready.iter().all(|is_ready| *is_ready) && self.held_keys() == grant::KEY_COUNT {
                return;
            }
            async_std::task::sleep(Duration::from_millis(50)).await;
        }
        panic!("the fleet is not ready: {} keys are held", self.held_keys());
    }

    /// Ends all faults of processes, of paths and of the store.
    pub fn end_faults(&self) {
        self.store.is_down.store(false, Ordering::SeqCst);
        self.store.loses_answers.store(false, Ordering::SeqCst);
        self.store.clear_refusals();
        for host in &self.hosts {
            host.relay.set_mode(RelayMode::Pass);
            host.signal(Signal::CONT);
        }
        for relayed in self.upstreams.lock().iter() {
            relayed.relay.set_mode(RelayMode::Pass);
            relayed.relay.set_delay_ms(0);
        }
    }

    /// Kills all processes and removes their files, except for the logs of failed runs.
    pub fn stop(self, is_clean: bool) {
        for host in &self.hosts {
            host.signal(Signal::KILL);
            host.reap();
            // Removal fails if the file does not exist any more.
            let _gone = std::fs::remove_file(&host.settings);
            if is_clean {
                let _gone = std::fs::remove_file(&host.log);
            }
        }
    }

    /// Returns the paths of the hosts' log files.
    pub fn logs(&self) -> Vec<PathBuf> {
        self.hosts.iter().map(|host| host.log.clone()).collect()
    }
}
