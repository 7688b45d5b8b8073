//! The command `trestlectl replay`.

use crate::CommandError;
use crate::admin::parse;
use eyre::{WrapErr, eyre};
use getopts::Options;
use replay::run_trace;

const USAGE: &str = "usage: trestlectl replay TRACE...";

/// Replays traces and checks their expected outcomes.
pub(crate) fn run(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    let Some(matches) = parse(&options, USAGE, arguments)? else {
        return Ok(());
    };
    if matches.free.is_empty() {
        return Err(CommandError::Usage(USAGE.to_owned()));
    }
    let mut failures = Vec::new();
    for path in &matches.free {
        let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))?;
        match run_trace(&text) {
            Ok(checked) => println!("{path}: {checked} outcomes as expected"),
            Err(error) => failures.push(format!("{path}: {error}")),
        }
    }
    if failures.is_empty() {
        return Ok(());
    }
    Err(eyre!(
        "outcomes differ from those expected\n{}",
        failures.join("\n")
    )
    .into())
}
