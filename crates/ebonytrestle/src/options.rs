//! The command line.

use getopts::Options;
use std::fmt;
use std::path::PathBuf;

/// Help text.
pub(crate) const USAGE: &str = "\
usage: ebonytrestle --settings FILE [--check]
       ebonytrestle --platform NAME [--settings FILE] [--check]

    -s, --settings FILE  settings in JSON
    -p, --platform NAME  run on a platform, with settings in its own format;
                         their path is in the variable that the platform sets
        --check          print the checked settings and exit
    -h, --help           print this help
    -V, --version        print the version

Exit codes: 0 stopped as asked, 1 failed, 2 wrong usage.";

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Run a host.
    Serve(PathBuf),
    /// Check settings.
    Check(PathBuf),
    /// Run a host on a platform; without a path, the platform's variable has it.
    Join {
        /// Name of the platform's adapter.
        platform: String,
        /// Settings in the platform's format.
        settings: Option<PathBuf>,
        /// Whether the settings are only checked.
        is_check: bool,
    },
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// A command line that can't be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UsageError(String);

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Parses arguments without the program's name.
pub(crate) fn parse(arguments: &[String]) -> Result<Command, UsageError> {
    let mut options = Options::new();
    options
        .optopt("s", "settings", "", "FILE")
        .optopt("p", "platform", "", "NAME")
        .optflag("", "check", "")
        .optflag("h", "help", "")
        .optflag("V", "version", "");
    let matches = options
        .parse(arguments)
        .map_err(|error| UsageError(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    if let Some(free) = matches.free.first() {
        return Err(UsageError(format!("unexpected argument `{free}`")));
    }
    if let Some(platform) = matches.opt_str("platform") {
        return Ok(Command::Join {
            platform,
            settings: matches.opt_str("settings").map(PathBuf::from),
            is_check: matches.opt_present("check"),
        });
    }
    let Some(path) = matches.opt_str("settings") else {
        return Err(UsageError("--settings is required".to_owned()));
    };
    let path = PathBuf::from(path);
    if matches.opt_present("check") {
        return Ok(Command::Check(path));
    }
    Ok(Command::Serve(path))
}
