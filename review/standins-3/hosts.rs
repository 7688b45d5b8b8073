//! Hosts as processes of their own, started with the command of the deploy file.

use crate::wire::read_message;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

/// A host that runs as a process of its own.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    process: Child,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder that is removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _removed = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a free port below those that the system gives to outgoing connections.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let number = u32::from(NEXT.fetch_add(1, Ordering::SeqCst));
        let offset = (std::process::id() * 131 + number) % 12_000;
        let port = 20_000 + offset as u16;
        let address = ("127.0.0.1", port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

impl Host {
    pub fn start(folder: &Folder, name: &str, store: SocketAddr) -> Self {
        let [front, ready, control, internal] = [(); 4].map(|()| free_port());
        let settings = format!(
            r#"{{"grants":"call",
            "self":{{"node":"{name}","role":"entry","machine_class":"front","serves":["front"],
              "ip":"127.0.0.1","zone":"z1","region":"r1","counts_as_loss":false,"bootstrap":true,
              "data_dir":null,"limits":{{"cpu_share":1.0,"cores":1,"memory_mb":182,
              "max_fds":2870,"link_mbps":700.0,"disk_mb":0}}}},
            "network":{{"listen":{{"front":"127.0.0.1:{front}","ready":"127.0.0.1:{ready}",
              "control":"127.0.0.1:{control}"}},"internal_ports":[{internal},{internal}],
              "seeds":[],"zones":{{"z1":"r1"}}}},
            "platform":{{"discovery":"platform","entry":"vip","heartbeat_ms":870,
              "platform":{{"address":"{store}","form":"table","writes_per_s":400,
              "reads_per_s":2000,"tx_ms":3.0,"part_writes_s":300,"row_bytes":65536,
              "across":true,"history_s":20}}}},
            "terms":{{"contracts":["base","drain","config","cost","retry","recover","own","platform"],
              "fault_tolerance":{{"machines":2,"zones":1,"regions":0}},
              "bounds":{{"seed_lag_s":3,"reuse_after_s":2,"stability_ms":3000,"ack_ms":4000,
              "catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,
              "config_apply_ms":2000,"rollback_slack_ms":250,"max_skew_ms":5000,
              "retry_budget_ratio":0.2,"budget_window_s":10,"budget_extra":122,"recovery_s":15,
              "hold_max_ms":10000,"thaw_slack_ms":300}}}}}}"#
        );
        let path = folder.0.join(format!("{name}-{front}.json"));
        std::fs::write(&path, settings).expect("settings file");
        let process = Command::new("target/release/ebonytrestle")
            .args(["--platform", "table-store"])
            .env("EBONYTRESTLE_BOOT", &path)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the build of the deploy file");
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: name.to_owned(),
            front: address(front),
            ready: address(ready),
            metrics: address(internal),
            process,
        }
    }

    /// Kills the process, as SIGKILL does.
    pub fn kill(&mut self) {
        let _killed = self.process.kill();
        let _status = self.process.wait();
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        let id = self.process.id().to_string();
        let _status = Command::new("kill").args(["-TERM", &id]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/ready").is_some_and(|(status, _)| status == 200)
    }

    /// Returns whether the host says that it leads.
    pub fn is_leading(&self) -> bool {
        let page = get(self.metrics, "/metrics").map_or(String::new(), |(_, body)| body);
        page.lines().any(|line| line == "trestle_is_leader 1")
    }
}

fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let message = read_message(&mut reader)?;
    let mut body = String::from_utf8_lossy(&message.body).into_owned();
    if body.is_empty() {
        let _end = reader.read_to_string(&mut body);
    }
    Some((message.status(), body))
}
