//! The project's hosts as separate processes, and clients that ask them.

use crate::http::{Connection, Message};
use crate::record::Record;
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Memory that a host may take, as the settings tell it.
pub const MEMORY_MB: u64 = 182;
/// Time that a host has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports that all hosts of a deployment use, each at an address of its own.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    clients: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

/// Addresses of one play: a loopback network of its own.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second: u8,
    third: u8,
    ports: Ports,
}

impl Network {
    /// Chooses addresses that no other play is likely to use.
    pub fn choose() -> Self {
        let process = std::process::id();
        let free_port = || {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            listener.local_addr().expect("bound").port()
        };
        Self {
            second: (20 + process % 200) as u8,
            third: (process / 200 % 250) as u8,
            ports: Ports {
                clients: free_port(),
                ready: free_port(),
                control: free_port(),
                internal: free_port(),
            },
        }
    }

    /// Returns the loopback address with this number.
    pub fn ip(&self, number: u8) -> String {
        format!("127.{}.{}.{number}", self.second, self.third)
    }
}

/// A host of the project.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// The address at which clients connect.
    pub clients: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Host {
    /// Writes the settings of a host, and starts it.
    pub fn start(
        name: &str,
        zone: &str,
        network: &Network,
        number: u8,
        store: SocketAddr,
        folder: &Path,
    ) -> Self {
        let ip = network.ip(number);
        let ports = network.ports;
        let settings = folder.join(format!("{name}.json"));
        let log = folder.join(format!("{name}.log"));
        fs::write(&settings, settings_text(name, zone, &ip, ports, store)).expect("writable");
        let address =
            |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().expect("an address") };
        Self {
            name: name.to_owned(),
            clients: address(ports.clients),
            ready: address(ports.ready),
            process: spawn(&settings, &log),
            settings,
            log,
        }
    }

    /// Returns the id of its process.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Kills its process, and waits for the end.
    pub fn kill(&mut self) {
        // Fails only for a process that has ended.
        let _unused = self.process.kill();
        let _unused = self.process.wait();
    }

    /// Starts its process again, as the platform does after an end.
    pub fn restart(&mut self) {
        self.process = spawn(&self.settings, &self.log);
    }

    /// Returns whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }

    /// Returns the resident memory of its process, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        kilobytes.unwrap_or(0_u64) >> 10
    }

    /// Asks its ready page; returns whether the answer is 200.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut connection = connect(self.ready, Duration::from_secs(1))?;
            connection.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            Ok(connection
                .read()?
                .is_some_and(|answer| answer.status() == 200))
        };
        ask().unwrap_or(false)
    }

    /// Waits until it is ready; returns whether it became so in time.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + START_TIMEOUT;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log);
    let log = log.expect("writable");
    let mut command = Command::new("target/release/ebonytrestle");
    command.args(["--platform", "table-store"]).env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    command
        .env("EBONYTRESTLE_BOOT", settings)
        .env("ASYNC_STD_THREAD_COUNT", "1")
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("an open file"))
        .stderr(log)
        .spawn()
        .expect("the build of the deploy file has made the program")
}

fn settings_text(name: &str, zone: &str, ip: &str, ports: Ports, store: SocketAddr) -> String {
    let Ports {
        clients,
        ready,
        control,
        internal,
    } = ports;
    let internal_end = internal.saturating_add(15);
    format!(
        r#"{{"grants":"call",
"self":{{"node":"{name}","role":"entry","machine_class":"front","serves":["front"],"ip":"{ip}",
"zone":"{zone}","region":"north","counts_as_loss":false,"bootstrap":true,"data_dir":null,
"limits":{{"cpu_share":0.14,"cores":1,"memory_mb":{MEMORY_MB},"max_fds":2870,
"link_mbps":700.0,"disk_mb":0}}}},
"network":{{"listen":{{"front":"{ip}:{clients}","ready":"{ip}:{ready}",
"control":"{ip}:{control}"}},"internal_ports":[{internal},{internal_end}],
"seeds":["{ip}:{control}"],"zones":{{"north-a":"north","north-b":"north","north-c":"north"}}}},
"platform":{{"discovery":"platform","entry":"vip","heartbeat_ms":1500,
"platform":{{"address":"{store}","form":"table","writes_per_s":400,"reads_per_s":2000,
"tx_ms":3.0,"part_writes_s":300,"row_bytes":65536,"across":true,"history_s":20,
"blob_bytes":8388608,"blob_ms":25.0,"blob_mb_s":80.0}}}},
"terms":{{"contracts":["base","drain","config","cost","retry","recover","own","platform"],
"fault_tolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"stability_ms":3000,"ack_ms":4000,"catch_up_s":4,
"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,
"rollback_slack_ms":250,"max_skew_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,
"budget_extra":122,"recovery_s":15,"hold_max_ms":10000,"thaw_slack_ms":300}}}}}}"#
    )
}

/// Returns a desired state with the routes `/chart/` (idempotent) of the sharded service
/// `mapview`, and `/history/` (idempotent), `/order/` (non-idempotent) and `/bundle/`
/// (download) of `puerto`.
pub fn sheet(version: u32) -> String {
    let rule = |name: &str, kind: &str, service: &str, timeout_ms: u32| {
        format!(
            r#"{{"name":"{name}","kind":"{kind}","priority":1,"target_latency_ms":600,
"match":{{"prefix":"/{name}/"}},
"action":{{"service":"{service}","timeout_ms":{timeout_ms},"max_attempts":2}}}}"#
        )
    };
    let chart = rule("chart", "idempotent", "mapview", 1_500);
    let order = rule("order", "non_idempotent", "puerto", 2_000);
    let history = rule("history", "idempotent", "puerto", 1_500);
    let bundle = rule("bundle", "download", "puerto", 6_000);
    format!(
        r#"{{"version":"{version:08x}","limits":{{"max_header_bytes":8192,"max_body_bytes":67108864,
"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"listeners":[{{"host":"a.example","rule_set":[{chart},{order},{history},{bundle}]}}],
"clusters":[{{"name":"mapview","health_path":"/health","max_connections":248,"sharded":true,
"warm_s":0.0}},{{"name":"puerto","health_path":"/health","max_connections":248}}]}}"#
    )
}

fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(Connection::new(stream))
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its id.
    pub id: String,
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The key.
    pub key: u16,
    /// The time budget.
    pub budget: Duration,
    /// Size of the body.
    pub body_bytes: usize,
}

/// Sends a request on a new connection and reads its answer; both are recorded.
pub fn ask(host: SocketAddr, ask: &Ask, record: &Arc<Record>) -> io::Result<Message> {
    let Ask {
        id,
        method,
        path,
        key,
        budget,
        body_bytes,
    } = ask;
    record.add(&format!(
        "client sends {id} {method} {path} key={key} to {host}"
    ));
    let exchange = || -> io::Result<Message> {
        let mut connection = connect(host, *budget + Duration::from_secs(1))?;
        let budget_ms = budget.as_millis();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {budget_ms}\r\nShard-Key: {key}\r\nContent-Length: {body_bytes}\r\n\r\n"
        );
        connection.write(head.as_bytes())?;
        connection.write(&vec![b'x'; *body_bytes])?;
        connection
            .read()?
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    let outcome = exchange();
    match &outcome {
        Ok(answer) => record.add(&format!("client got {} for {id}", answer.status())),
        Err(error) => record.add(&format!("client got no answer for {id}: {error}")),
    }
    outcome
}
