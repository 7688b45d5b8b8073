//! A host on a platform that is reached through an adapter.

use crate::signals::StopSignals;
use async_std::future::timeout;
use eyre::{Result, WrapErr, eyre};
use front::{FrontHost, LineLog, LoadedPlatform, PlatformPlugin};
use kernel::find_plugin;
use log::{LevelFilter, info, warn};
use simplelog::{ConfigBuilder, WriteLogger};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often the settings file is looked at; it may change without a signal.
const FILE_POLL: Duration = Duration::from_secs(2);

/// Runs a host on the platform named `name` until it is told to stop.
pub(crate) fn join(name: &str, settings: Option<PathBuf>, is_check: bool) -> Result<()> {
    platform::register();
    let plugin = find_plugin::<PlatformPlugin>(name)?;
    let path = match settings {
        Some(path) => path,
        None => std::env::var_os(plugin.settings_variable)
            .map(PathBuf::from)
            .ok_or_else(|| {
                eyre!(
                    "{} is not set, and there is no --settings",
                    plugin.settings_variable
                )
            })?,
    };
    let loaded = load(plugin, &path)?;
    if is_check {
        println!("{:#?}", loaded.settings);
        return Ok(());
    }
    start_log()?;
    async_std::task::block_on(serve(plugin, &path, loaded))
}

fn load(plugin: &PlatformPlugin, path: &Path) -> Result<LoadedPlatform> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("{}: can't be read", path.display()))?;
    (plugin.load)(&text).map_err(|error| eyre!("{}: {error}", path.display()))
}

fn start_log() -> Result<()> {
    let mut config = ConfigBuilder::new();
    config.set_time_format_rfc3339();
    config.set_target_level(LevelFilter::Error);
    config.set_thread_level(LevelFilter::Off);
    let log = LineLog::start().wrap_err("the log can't be started")?;
    WriteLogger::init(LevelFilter::Info, config.build(), log).wrap_err("logging can't be started")
}

async fn serve(plugin: &PlatformPlugin, path: &Path, loaded: LoadedPlatform) -> Result<()> {
    let signals = StopSignals::listen()?;
    let mut settings = loaded.settings.clone();
    let mut known_text = std::fs::read_to_string(path).unwrap_or_default();
    let host = FrontHost::start(loaded).await?;
    loop {
        let is_asked = match timeout(FILE_POLL, signals.next()).await {
            Ok(signal) if signal.is_reload() => true,
            Ok(_stop) => break,
            Err(_elapsed) => false,
        };
        let text = std::fs::read_to_string(path).unwrap_or_default();
        if text == known_text && !is_asked {
            continue;
        }
        known_text = text;
        match load(plugin, path) {
            Ok(fresh) if fresh.settings != settings => {
                settings = fresh.settings;
                let at_next_start = host.reload(&settings);
                info!(
                    target: "host",
                    "host={} state=reloaded changed=true bounds={:?} at_next_start={at_next_start:?}",
                    settings.name, settings.bounds,
                );
            }
            Ok(_same) => {
                info!(target: "host", "host={} state=reloaded changed=false", settings.name);
            }
            Err(error) => warn!(target: "host", "reload refused: {error:#}"),
        }
    }
    host.stop().await;
    Ok(())
}
