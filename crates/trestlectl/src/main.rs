//! Command line tool for operators.

mod admin;
mod explain;
mod sheets;
mod slopes;
mod traces;
mod trials;

use eyre::Report;
use std::process::ExitCode;

const USAGE: &str = "\
usage: trestlectl COMMAND [OPTIONS]

    sheet check FILE        check a sheet
    sheet submit FILE       submit a sheet
    sheet show              show the active sheet
    status                  show the status of a host
    drain [UPSTREAM]        drain an upstream, or the host itself
    domain lost|back NAME   declare a failure domain permanently lost, or available again
    explain ID [LOG...]     explain by the hosts' logs what became of a request
    replay TRACE            replay a trace and check its expected outcomes
    slopes                  measure the cost of the control plane by deployment size
    trial                   run a load test on a small deployment on loopback

`trestlectl COMMAND --help` lists a command's options.

    -h, --help              print this help
    -V, --version           print the version

Exit codes: 0 succeeded, 1 failed, 2 invalid usage.";

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// The error of a command, which determines the exit code.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The arguments are invalid.
    Usage(String),
    /// The command failed.
    Failed(Report),
}

impl<E: Into<Report>> From<E> for CommandError {
    fn from(error: E) -> Self {
        Self::Failed(error.into())
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run_command(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Usage(message)) => {
            eprintln!("trestlectl: {message}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(CommandError::Failed(report)) => {
            eprintln!("trestlectl: {report:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs the command that the arguments name.
fn run_command(arguments: &[String]) -> Result<(), CommandError> {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(CommandError::Usage(format!(
            "a command is required\n{USAGE}"
        )));
    };
    match command.as_str() {
        "sheet" => sheets::run(rest),
        "status" => admin::status(rest),
        "drain" => admin::drain(rest),
        "domain" => admin::domain(rest),
        "explain" => explain::run(rest),
        "replay" => traces::run(rest),
        "slopes" => slopes::run(rest),
        "trial" => trials::run(rest),
        "-h" | "--help" => {
            println!("{USAGE}");
            Ok(())
        }
        "-V" | "--version" => {
            println!("trestlectl {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        other => Err(CommandError::Usage(format!(
            "unknown command `{other}`\n{USAGE}"
        ))),
    }
}
