//! Plays a case of the third review: starts hosts as separate processes, with stand-ins for
//! the store, the servers and the clients, and checks a rule by what these have seen.
//!
//! `play CASE DIRECTORY`; the variable TROUBLE, if it is 0, leaves the disruption out.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod crash;
mod held_up;
mod hosts;
mod servers;
#[path = "../standins/store.rs"]
#[allow(dead_code, reason = "the earlier cases use more of it")]
mod store;
#[path = "../standins/wire.rs"]
mod wire;

use std::fmt::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;
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

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_for(max_wait: Duration, is_done: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + max_wait;
    while Instant::now() < deadline {
        if is_done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
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
        "crash" => crash::play(&record, has_trouble),
        "held-up" => held_up::play(&record, has_trouble),
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
