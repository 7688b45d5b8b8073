//! Hosts as processes, upstreams and the store, with a relay on each path.

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

/// For which hosts are waited for at a start.
const START_LIMIT: Duration = Duration::from_secs(20);
/// For which a process that was told to stop is waited for; the settings give it 6 s.
const STOP_LIMIT: Duration = Duration::from_secs(8);

/// How many of each there are.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub hosts: u32,
    pub keyed: u32,
    pub plain: u32,
}

impl FleetSize {
    pub const SMALL: Self = Self {
        hosts: 4,
        keyed: 4,
        plain: 3,
    };
    /// Near the limits of one machine that runs three at a time.
    pub const LARGE: Self = Self {
        hosts: 60,
        keyed: 40,
        plain: 20,
    };
}

/// One host's process.
pub struct SoakHost {
    pub name: String,
    pub ip: String,
    pub door: SocketAddr,
    /// Between the host and the store.
    pub relay: FaultyRelay,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Whether a fault works on the process itself at present.
    pub is_busy: AtomicBool,
    /// Whether clients may see it cut connections: it was killed or paused.
    pub is_disturbed: AtomicBool,
}

/// One upstream, and the relay before it.
pub struct SoakUpstream {
    pub upstream: FakeUpstream,
    pub relay: FaultyRelay,
    /// When it told the store that it leaves.
    pub left_at: Mutex<Option<Instant>>,
}

/// Everything of one run.
pub struct SoakFleet {
    pub store: FakeStore,
    pub hosts: Vec<SoakHost>,
    pub upstreams: Arc<Mutex<Vec<Arc<SoakUpstream>>>>,
    /// When a host that had been paused last went on.
    pub resumed_at: Arc<Mutex<Option<Instant>>>,
    /// Spans in which the store or a path to it misbehaved.
    pub store_harms: Mutex<Vec<(Instant, Instant)>>,
    pub sheet_version: AtomicU32,
    seed: u64,
}

impl SoakHost {
    fn spawn(&self) {
        let plugin = find_plugin::<PlatformPlugin>("table-store").expect("registered");
        let log = File::options().append(true).create(true).open(&self.log);
        let child = Command::new(env!("CARGO_BIN_EXE_ebonytrestle"))
            .args(["--platform", plugin.name])
            .env(plugin.settings_variable, &self.settings)
            .stdout(log.expect("the log can be written"))
            .stderr(Stdio::null())
            .spawn();
        *self.child.lock() = Some(child.expect("the program starts"));
    }

    /// Sends a signal to the process, if it is there.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.lock();
        let Some(pid) = child
            .as_ref()
            .map(|child| Pid::from_raw(child.id().cast_signed()))
        else {
            return;
        };
        // It may have ended by itself; then there is nothing to signal.
        let _ended = kill_process(pid.expect("a process has an id"), signal);
    }

    /// Changes the settings file.
    pub fn change_settings(&self, change: impl FnOnce(&mut serde_json::Value)) {
        let text = std::fs::read_to_string(&self.settings).expect("there are settings");
        let mut settings = serde_json::from_str(&text).expect("settings are JSON");
        change(&mut settings);
        std::fs::write(&self.settings, settings.to_string()).expect("settings are written");
    }

    /// Cuts the settings file short.
    pub fn break_settings(&self) {
        std::fs::write(&self.settings, "{\"self\": ").expect("settings are written");
    }

    /// Waits until the process has logged a line with a text.
    pub async fn wait_for_line(&self, text: &str, limit: Duration) {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            if log.contains(text) {
                return;
            }
            async_std::task::sleep(Duration::from_millis(50)).await;
        }
        panic!("no line with {text:?} in {}", self.log.display());
    }

    /// Kills the process and starts another after a pause.
    pub async fn kill_and_restart(&self, pause: Duration) {
        self.is_disturbed.store(true, Ordering::SeqCst);
        self.signal(Signal::KILL);
        self.reap();
        async_std::task::sleep(pause).await;
        self.spawn();
    }

    /// Stops the process as planned work does, and starts another.
    pub async fn stop_and_restart(&self) {
        self.signal(Signal::TERM);
        self.wait_for_end(STOP_LIMIT).await;
        self.spawn();
    }

    async fn wait_for_end(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let is_ended = match self.child.lock().as_mut() {
                Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
                None => true,
            };
            if is_ended {
                return;
            }
            async_std::task::sleep(Duration::from_millis(20)).await;
        }
        self.is_disturbed.store(true, Ordering::SeqCst);
        self.signal(Signal::KILL);
        self.reap();
    }

    fn reap(&self) {
        if let Some(mut child) = self.child.lock().take() {
            child.wait().expect("it is this process's child");
        }
    }

    pub async fn is_ready(&self) -> bool {
        is_ready(&self.ip).await
    }
}

/// Returns whether the host at an address says that it takes connections.
pub async fn is_ready(ip: &str) -> bool {
    let client = store::JsonClient::new(&format!("{ip}:8388"), Duration::from_secs(1));
    let asked = client.send(http_types::Method::Get, "/ready", &[]);
    asked.await.is_ok_and(|reply| reply.status == 200)
}

impl Drop for SoakHost {
    fn drop(&mut self) {
        // Also when a check has panicked: no process outlives its run.
        self.signal(Signal::KILL);
        self.reap();
    }
}

impl SoakFleet {
    pub async fn start(seed: u64, size: FleetSize) -> Self {
        platform::register();
        let store = FakeStore::new();
        store.set("op", "config", &sheet(1));
        let fleet = Self {
            hosts: Vec::new(),
            upstreams: Arc::default(),
            resumed_at: Arc::default(),
            store_harms: Mutex::default(),
            sheet_version: AtomicU32::new(1),
            store,
            seed,
        };
        for number in 0..size.keyed {
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

    async fn start_host(&self, number: u32) -> SoakHost {
        let name = format!("front-{number}");
        let ip = own_ip();
        let door = self.store.open_door().await;
        let relay = FaultyRelay::start(&door.to_string())
            .await
            .expect("free port");
        let file = format!("soak-{}-{}-{name}", std::process::id(), self.seed);
        let settings = std::env::temp_dir().join(format!("{file}.json"));
        let text = host_settings(&name, &ip, relay.address()).to_string();
        std::fs::write(&settings, text).expect("settings are written");
        let host = SoakHost {
            log: std::env::temp_dir().join(format!("{file}.log")),
            name,
            ip,
            door,
            relay,
            settings,
            child: Mutex::default(),
            is_busy: AtomicBool::new(false),
            is_disturbed: AtomicBool::new(false),
        };
        host.spawn();
        host
    }

    /// Adds an upstream behind a relay of its own.
    pub async fn add_upstream(&self, id: &str, service: &str) {
        let upstream = FakeUpstream::start(&self.store, id, service).await;
        let relay = FaultyRelay::start(&upstream.address.to_string()).await;
        let relay = relay.expect("free port");
        *upstream.listed.lock() = relay.address().parse().expect("an address");
        *upstream.delay.lock() = Duration::from_millis(8);
        upstream.register(&self.store, "ready");
        self.upstreams.lock().push(Arc::new(SoakUpstream {
            upstream,
            relay,
            left_at: Mutex::default(),
        }));
    }

    /// Returns the upstreams of a service that have not left.
    pub fn staying(&self, service: &str) -> Vec<Arc<SoakUpstream>> {
        let upstreams = self.upstreams.lock();
        let staying = upstreams
            .iter()
            .filter(|soaked| soaked.upstream.service == service && soaked.left_at.lock().is_none());
        staying.cloned().collect()
    }

    fn held_keys(&self) -> u32 {
        let keyed = self.staying("keyed");
        keyed.iter().map(|soaked| soaked.upstream.held_keys()).sum()
    }

    /// Waits until all hosts are ready and all keys are held.
    pub async fn wait_until_serving(&self) {
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            let asked = self.hosts.iter().map(SoakHost::is_ready);
            let ready = futures::future::join_all(asked).await;
            if ready.iter().all(|is_ready| *is_ready) && self.held_keys() == grant::KEY_COUNT {
                return;
            }
            async_std::task::sleep(Duration::from_millis(50)).await;
        }
        panic!(
            "the fleet does not serve; {} keys are held",
            self.held_keys()
        );
    }

    /// Ends all faults of paths and of the store.
    pub fn heal(&self) {
        self.store.is_down.store(false, Ordering::SeqCst);
        self.store.loses_answers.store(false, Ordering::SeqCst);
        self.store.readmit_all();
        for host in &self.hosts {
            host.relay.set_mode(RelayMode::Pass);
            host.signal(Signal::CONT);
        }
        for soaked in self.upstreams.lock().iter() {
            soaked.relay.set_mode(RelayMode::Pass);
            soaked.relay.set_delay_ms(0);
        }
    }

    /// Stops all processes and removes their files; logs stay for runs that failed.
    pub fn stop(self, is_clean: bool) {
        for host in &self.hosts {
            host.signal(Signal::KILL);
            host.reap();
            // A file that is gone already needs no removing.
            let _gone = std::fs::remove_file(&host.settings);
            if is_clean {
                let _gone = std::fs::remove_file(&host.log);
            }
        }
    }

    /// Returns where the hosts' logs are.
    pub fn logs(&self) -> Vec<PathBuf> {
        self.hosts.iter().map(|host| host.log.clone()).collect()
    }
}
