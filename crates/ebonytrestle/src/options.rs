//! Command line parsing.

use front::{FrontOptions, RelayMode};
use getopts::Options;
use std::fmt;
use std::path::PathBuf;

/// Help text.
pub(crate) const USAGE: &str = "\
usage: ebonytrestle --settings FILE [--check]
       ebonytrestle --platform NAME [--settings FILE] [--relay MODE] [--rank-shares]
                    [--check]

    -s, --settings FILE  settings in JSON
    -p, --platform NAME  run on a platform, with settings in the platform's format;
                         without --settings, the platform's variable has the path
        --relay MODE     with --platform: relay requests between the hosts of a failure
                         domain: off (the default), on, or auto
        --rank-shares    on a platform, admit requests by shares of ranks when a service
                         is short; to be set on all hosts
        --check          print the checked settings and exit
    -h, --help           print this help
    -V, --version        print the version

Exit codes: 0 stopped as requested, 1 failed, 2 invalid usage.";

/// The command that the arguments select.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Run a host with the settings in a file.
    Serve(PathBuf),
    /// Check and print the settings in a file.
    Check(PathBuf),
    /// Run a host on a platform.
    ServeOnPlatform {
        /// Name of the platform's adapter plug-in.
        platform: String,
        /// Settings file in the platform's format; if absent, an environment variable of
        /// the platform names it.
        settings: Option<PathBuf>,
        /// Whether to print the checked settings instead of running the host.
        check_only: bool,
        /// Options of the host that are no settings of the platform.
        options: FrontOptions,
    },
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// The error for invalid arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UsageError(String);

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Parses the arguments that follow the program name.
pub(crate) fn parse(arguments: &[String]) -> Result<Command, UsageError> {
    let mut options = Options::new();
    options
        .optopt("s", "settings", "", "FILE")
        .optopt("p", "platform", "", "NAME")
        .optopt("", "relay", "", "MODE")
        .optflag("", "check", "")
        .optflag("", "rank-shares", "")
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
    if let Some(argument) = matches.free.first() {
        return Err(UsageError(format!("unexpected argument `{argument}`")));
    }
    let relay = matches.opt_str("relay").map(|mode| mode.parse());
    let relay = relay.transpose();
    let relay: Option<RelayMode> = relay.map_err(|error| UsageError(format!("{error}")))?;
    if let Some(platform) = matches.opt_str("platform") {
        return Ok(Command::ServeOnPlatform {
            platform,
            settings: matches.opt_str("settings").map(PathBuf::from),
            check_only: matches.opt_present("check"),
            options: FrontOptions {
                rank_shares: matches.opt_present("rank-shares"),
                relay: relay.unwrap_or_default(),
            },
        });
    }
    if relay.is_some() {
        return Err(UsageError("--relay needs --platform".to_owned()));
    }
    if matches.opt_present("rank-shares") {
        return Err(UsageError("--rank-shares requires --platform".to_owned()));
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
