//! Plays a case of the review: starts hosts as separate processes, with stand-ins for the
//! store, the servers and the clients, and checks a rule by what these have seen.
//!
//! `play CASE DIRECTORY`; the variable TROUBLE, if it is 0, leaves the disruption out.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod bodies;
mod line_ends;
mod restored;
mod servers;
mod store;
mod wire;

use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    started_at: Instant,
    lines: Mutex<String>,
}

impl Record {
    pub fn note(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        // Writing to a string can't fail.
        let _result = writeln!(self.lines.lock().unwrap(), "{at:9.3} {text}");
    }
}

/// A host that runs as a process of its own.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    process: Child,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _killed = self.process.kill();
        let _status = self.process.wait();
    }
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _removed = std::fs::remove_dir_all(&self.0);
    }
}

pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().expect("bound").port()
}

impl Host {
    /// Kills the process, as SIGKILL does.
    pub fn kill(&mut self) {
        let _killed = self.process.kill();
        let _status = self.process.wait();
    }

    /// Starts a host with the command of the deploy file.
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
            "platform":{{"discovery":"platform","entry":"vip","heartbeat_ms":1500,
              "platform":{{"address":"{store}","form":"table","writes_per_s":400,
              "reads_per_s":2000,"tx_ms":3.0,"part_writes_s":300,"row_bytes":65536,
              "across":true,"history_s":20}}}},
            "terms":{{"contracts":["base"],"fault_tolerance":{{"machines":2,"zones":1,"regions":0}},
              "bounds":{{"seed_lag_s":3,"reuse_after_s":2,"stability_ms":3000,"ack_ms":4000,
              "catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,
              "config_apply_ms":2000,"rollback_slack_ms":250,"max_skew_ms":5000,
              "retry_budget_ratio":0.2,"budget_window_s":10,"budget_extra":122,"recovery_s":15,
              "hold_max_ms":10000,"thaw_slack_ms":300}}}}}}"#
        );
        let path = folder.0.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("settings file");
        let log = std::fs::File::create(folder.0.join(format!("{name}.log"))).expect("log file");
        let errors = log.try_clone().expect("log file");
        let process = Command::new("target/release/ebonytrestle")
            .args(["--platform", "table-store"])
            .env("EBONYTRESTLE_BOOT", &path)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the build of the deploy file");
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: name.to_owned(),
            front: address(front),
            ready: address(ready),
            process,
        }
    }

    /// Returns the resident memory of the process.
    pub fn resident_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1_024
    }

    /// Waits until the host says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        if std::io::Write::write_all(&mut stream, request).is_err() {
            return false;
        }
        let mut reader = std::io::BufReader::new(stream);
        wire::read_message(&mut reader).is_some_and(|answer| answer.status() == 200)
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, directory] = arguments.as_slice() else {
        eprintln!("usage: play CASE DIRECTORY");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record {
        started_at: Instant::now(),
        lines: Mutex::default(),
    });
    let outcome = match case.as_str() {
        "bodies" => bodies::play(&record, has_trouble),
        "line-ends" => line_ends::play(&record, has_trouble),
        "first-grants" => restored::play_first_grants(&record, has_trouble),
        "restored" => restored::play(&record, has_trouble),
        _ => Err(format!("unknown case {case}")),
    };
    let code = match &outcome {
        Ok(0) => 0,
        Ok(_) => 1,
        Err(_) => 2,
    };
    record.note(&match outcome {
        Ok(count) => format!("trouble={has_trouble} times the rule was broken: {count}"),
        Err(error) => format!("could not run: {error}"),
    });
    let path = PathBuf::from(directory).join("record.txt");
    if std::fs::write(path, &*record.lines.lock().unwrap()).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
