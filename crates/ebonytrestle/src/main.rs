//! The program that runs an entry host.
//!
//! `ebonytrestle --settings FILE` runs a host until SIGTERM, which stops it
//! without interrupting requests; a second signal terminates it immediately.

mod front_host;
mod options;
mod signals;

use eyre::{Result, WrapErr, eyre};
use host::{EntryHost, HostSettings, LogSettings};
use log::{LevelFilter, info};
use options::{Command, USAGE};
use signals::SignalReceiver;
use simplelog::{ConfigBuilder, SimpleLogger};
use std::path::Path;
use std::process::ExitCode;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
/// Log targets of routing and placement decisions, which settings can turn off.
const DECISION_TARGETS: [&str; 2] = ["route", "placement"];

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command = match options::parse(&arguments) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("ebonytrestle: {error}\n{USAGE}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ebonytrestle: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(command: Command) -> Result<()> {
    match command {
        Command::Help => {
            println!("{USAGE}");
            Ok(())
        }
        Command::Version => {
            println!("ebonytrestle {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Check(path) => {
            let settings = load_settings(&path)?;
            println!("{}", serde_json::to_string_pretty(&settings)?);
            Ok(())
        }
        Command::ServeOnPlatform {
            platform,
            settings,
            check_only,
            options,
        } => front_host::run(&platform, settings, check_only, options),
        Command::Serve(path) => {
            let settings = load_settings(&path)?;
            start_log(&settings.log)?;
            async_std::task::block_on(serve(settings))
        }
    }
}

fn load_settings(path: &Path) -> Result<HostSettings> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    HostSettings::parse(&text).map_err(|error| {
        let lines = error.to_string();
        let located: Vec<String> = lines
            .lines()
            .map(|line| format!("{}: {line}", path.display()))
            .collect();
        eyre!("invalid settings\n{}", located.join("\n"))
    })
}

fn start_log(settings: &LogSettings) -> Result<()> {
    let level: LevelFilter = settings.level.parse().unwrap_or(LevelFilter::Info);
    let mut config = ConfigBuilder::new();
    config.set_time_format_rfc3339();
    config.set_target_level(LevelFilter::Error);
    config.set_thread_level(LevelFilter::Off);
    if !settings.decisions {
        for target in DECISION_TARGETS {
            config.add_filter_ignore_str(target);
        }
    }
    SimpleLogger::init(level, config.build()).wrap_err("cannot initialize logging")
}

async fn serve(settings: HostSettings) -> Result<()> {
    let signals = SignalReceiver::listen()?;
    let host = EntryHost::start(settings).await?;
    let addresses = host.addresses();
    info!(
        target: "host",
        "id={} callers={} peers={} control={} admin={}",
        host.id(), addresses.clients, addresses.peers, addresses.control, addresses.admin,
    );
    while signals.next().await.is_reload() {
        info!(target: "host", "id={} reload ignored: new settings take effect after a restart", host.id());
    }
    info!(target: "host", "id={} stopping", host.id());
    let stopping = async_std::task::spawn({
        let host = host.clone();
        async move { host.stop().await }
    });
    let second_signal = Box::pin(signals.next());
    match futures::future::select(stopping, second_signal).await {
        futures::future::Either::Left(_) => {
            info!(target: "host", "id={} stopped", host.id());
            Ok(())
        }
        futures::future::Either::Right(_) => {
            Err(eyre!("terminated immediately by a second signal"))
        }
    }
}
