//! Plays the cases of the review against the project's own programs.
//!
//! Usage: `stand-in CASE FOLDER`; writes `FOLDER/record.txt`. The exit status is 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod hosts;
mod http;
mod json;
mod record;
mod server;
mod store;

use cases::Outcome;
use record::Record;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand-in CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(folder));
    record.tell(&format!("case={case} trouble={has_trouble}"));
    let play = || match case.as_str() {
        "forged-entry" => cases::forged_entry(&record, has_trouble),
        "endless-chunks" => cases::endless_chunks(&record, has_trouble),
        "large-bodies" => cases::large_bodies(&record, has_trouble),
        "entry-with-float" => cases::entry_with_float(&record, has_trouble),
        _ => Outcome::NotRun(format!("unknown case {case}")),
    };
    let outcome = catch_unwind(AssertUnwindSafe(play))
        .unwrap_or_else(|_panic| Outcome::NotRun("a stand-in has panicked".to_owned()));
    match outcome {
        Outcome::Held(reason) => {
            record.tell(&format!("HELD: {reason}"));
            ExitCode::SUCCESS
        }
        Outcome::Broken(reason) => {
            record.tell(&format!("BROKEN: {reason}"));
            ExitCode::from(1)
        }
        Outcome::NotRun(reason) => {
            record.tell(&format!("NOT RUN: {reason}"));
            ExitCode::from(2)
        }
    }
}
