//! The operators' program.

mod admin;
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
    sheet show              show the sheet in force
    status                  show a host's state
    drain [UPSTREAM]        drain an upstream, or the host itself
    domain lost|back NAME   declare a failure domain lost for good, or back
    replay TRACE            play a trace against its stated outcomes
    slopes                  measure what control costs, by size
    trial                   run a small deployment on loopback

`trestlectl COMMAND --help` lists a command's options.

    -h, --help              print this help
    -V, --version           print the version

Exit codes: 0 done, 1 failed, 2 wrong usage.";

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Why a command did not do its work.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The command line can't be understood.
    Usage(String),
    /// The work failed.
    Failed(Report),
}

impl<E: Into<Report>> From<E> for CommandError {
    fn from(error: E) -> Self {
        Self::Failed(error.into())
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match dispatch(&arguments) {
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

fn dispatch(arguments: &[String]) -> Result<(), CommandError> {
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
