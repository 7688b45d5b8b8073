//! Host processes that relay requests for each other, one of which is killed or frozen
//! with requests in it.

#[allow(dead_code, reason = "the tests of the platform crate use more of it")]
#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use async_std::net::TcpStream;
use async_std::task::{self, block_on};
use front::PlatformPlugin;
use futures::future::{join, join_all};
use h1::{Connection, HeadLimits};
use kernel::find_plugin;
use relay::{RelayHost, choose_relay, program_version};
use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};
use stand_in::{FakeStore, FakeUpstream, host_settings, own_ip, sheet};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Maximum time until hosts are ready and relay.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A host process that relays.
struct RelayProcess {
    ip: String,
    settings: PathBuf,
    child: Child,
}

impl RelayProcess {
    async fn start(store: &FakeStore, name: &str) -> Self {
        platform::register();
        let plugin = find_plugin::<PlatformPlugin>("table-store").expect("registered");
        let ip = own_ip();
        let address = store.open_address().await.to_string();
        let file = format!("relay-{}-{ip}.json", std::process::id());
        let settings = std::env::temp_dir().join(file);
        let text = host_settings(name, &ip, &address).to_string();
        std::fs::write(&settings, text).expect("settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_ebonytrestle"))
            .args(["--platform", plugin.name, "--relay", "on"])
            .env(plugin.settings_variable, &settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        Self {
            ip,
            settings,
            child: child.expect("the program starts"),
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        // This fails if the process has ended by itself.
        let _ended = kill_process(pid.expect("a process has an id"), signal);
    }

    /// Returns the status of an answer, and how long it took; `None` if there was none.
    async fn ask(&self, method: &str, target: &str, id: &str) -> (Option<u16>, Duration) {
        let started_at = Instant::now();
        let status = self.try_ask(method, target, id).await;
        (status, started_at.elapsed())
    }

    async fn try_ask(&self, method: &str, target: &str, id: &str) -> Option<u16> {
        let (head, _) = self.exchange(8381, method, target, id).await?;
        Some(head)
    }

    async fn exchange(
        &self,
        port: u16,
        method: &str,
        target: &str,
        id: &str,
    ) -> Option<(u16, Vec<u8>)> {
        let stream = TcpStream::connect(format!("{}:{port}", self.ip)).await;
        let mut connection = Connection::new(stream.ok()?);
        let text = format!(
            "{method} {target} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
        );
        connection.write(text.as_bytes()).await.ok()?;
        let limits = HeadLimits::default();
        let head = connection.read_response(&limits, method).await.ok()?;
        let body = connection.read_whole_body(head.body, 1 << 20).await.ok()?;
        Some((head.status, body))
    }

    async fn relayed(&self) -> u32 {
        let page = self.exchange(7200, "GET", "/metrics", "m-1").await;
        let (_, body) = page.unwrap_or_default();
        let text = String::from_utf8(body).expect("text");
        let name = "trestle_sends_total{way=\"relayed\"}";
        let mut values = text.lines().filter_map(|line| line.strip_prefix(name));
        values
            .next()
            .map_or(0, |value| value.trim().parse().expect("a number"))
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        // No process may outlive its test, even if a check panics.
        self.signal(Signal::KILL);
        self.child
            .wait()
            .expect("the process is a child of the test");
        let _gone = std::fs::remove_file(&self.settings);
    }
}

/// Returns ids of upstreams for which the host `front-2` of two is the relay.
fn upstream_ids(count: usize) -> Vec<String> {
    let program = program_version(env!("CARGO_PKG_VERSION"));
    let hosts = ["front-1", "front-2"].map(|name| RelayHost {
        name: name.to_owned(),
        address: "127.0.0.1:7201".parse().expect("an address"),
        program,
    });
    let ids = (0..).map(|number| format!("i-{number}"));
    let chosen = ids
        .filter(|id| choose_relay(&hosts, program, id).is_some_and(|host| host.name == "front-2"));
    chosen.take(count).collect()
}

/// Starts two hosts, and waits until the first sends its requests through the second.
async fn start_pair(store: &FakeStore) -> (RelayProcess, RelayProcess) {
    let sender = RelayProcess::start(store, "front-1").await;
    let relay = RelayProcess::start(store, "front-2").await;
    let started_at = Instant::now();
    let mut number = 0;
    while sender.relayed().await == 0 {
        assert!(started_at.elapsed() < START_TIMEOUT, "nothing is relayed");
        // Own connections that were opened before are used up to the end of their life.
        task::sleep(Duration::from_millis(2_600)).await;
        sender.ask("GET", "/read/x", &format!("w-{number}")).await;
        number += 1;
    }
    (sender, relay)
}

/// Guards against a lost relay that takes its requests along: those that may run again are
/// answered by a direct retry, those that must not run at most once and are never reported
/// as not run, and later ones go directly.
#[rstest]
#[case::killed(Signal::KILL)]
#[case::frozen(Signal::STOP)]
fn lost_relay_with_requests_in_it(#[case] signal: Signal) {
    block_on(async {
        let store = FakeStore::new();
        store.set("op", "config", &sheet(1));
        let mut upstreams = Vec::new();
        for id in upstream_ids(6) {
            upstreams.push(FakeUpstream::start(&store, &id, "plain").await);
        }
        let (sender, relay) = start_pair(&store).await;
        let runs = |id: &str| {
            let runs = upstreams.iter().map(|upstream| {
                let ran = upstream.ran.lock();
                ran.iter().filter(|ran| *ran == id).count()
            });
            runs.sum::<usize>()
        };
        let ask = async |kind: &str, number: u32| {
            let id = format!("{kind}-{number}");
            let (method, target) = match kind {
                "read" => ("GET", "/read/x?delay=450"),
                _ => ("POST", "/order/x?delay=450"),
            };
            (sender.ask(method, target, &id).await, id)
        };
        let reads = join_all((0..4).map(|number| ask("read", number)));
        let orders = join_all((0..4).map(|number| ask("order", number)));
        let losing = async {
            task::sleep(Duration::from_millis(200)).await;
            relay.signal(signal);
        };
        let ((reads, orders), ()) = join(join(reads, orders), losing).await;
        for ((status, took), id) in reads {
            assert_eq!(status, Some(200), "{id} after {took:?}");
        }
        for ((status, took), id) in orders {
            let is_uncertain = matches!(status, Some(502 | 504));
            assert!(is_uncertain, "{id}: {status:?} after {took:?}");
            assert_eq!(runs(&id), 1, "{id}");
        }
        // The relay is avoided: no further request waits for it.
        for number in 0..10 {
            let id = format!("after-{number}");
            let (status, took) = sender.ask("POST", "/order/x", &id).await;
            assert_eq!((status, runs(&id)), (Some(200), 1), "{id} after {took:?}");
            assert!(took < Duration::from_millis(400), "{id} took {took:?}");
        }
        relay.signal(Signal::CONT);
    });
}

/// Guards against an option that is taken for another one, or has no effect.
#[rstest]
#[case::unknown_mode(&["--platform", "table-store", "--relay", "yes"])]
#[case::without_mode(&["--platform", "table-store", "--relay"])]
#[case::without_platform(&["--settings", "host.json", "--relay", "on"])]
fn relay_option_invalid_usage_is_refused(#[case] arguments: &[&str]) {
    let program = Command::new(env!("CARGO_BIN_EXE_ebonytrestle"))
        .args(arguments)
        .stderr(Stdio::null())
        .status();
    assert_eq!(program.expect("the program starts").code(), Some(2));
}
