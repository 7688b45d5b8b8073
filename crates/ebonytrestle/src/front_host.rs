//! Runs a host on a platform that is accessed through an adapter plug-in.

use crate::signals::SignalReceiver;
use async_std::future::timeout;
use eyre::{Result, WrapErr, eyre};
use front::{FrontHost, FrontOptions, LineLog, LoadedPlatform, PlatformPlugin};
use kernel::find_plugin;
use log::{LevelFilter, info, warn};
use simplelog::{ConfigBuilder, WriteLogger};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Interval at which the settings file is checked; it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a host on the platform named `name` until a stop signal arrives, or prints its
/// settings if `check_only` is set.
pub(crate) fn run(
    name: &str,
    settings: Option<PathBuf>,
    check_only: bool,
    options: FrontOptions,
) -> Result<()> {
    platform::register();
    let plugin = find_plugin::<PlatformPlugin>(name)?;
    let path = match settings {
        Some(path) => path,
        None => std::env::var_os(plugin.settings_variable)
            .map(PathBuf::from)
            .ok_or_else(|| {
                eyre!(
                    "neither the variable {} nor --settings is set",
                    plugin.settings_variable
                )
            })?,
    };
    let loaded = load_settings(plugin, &path)?;
    if check_only {
        println!("{:#?}", loaded.settings);
        return Ok(());
    }
    start_log()?;
    async_std::task::block_on(serve(plugin, &path, loaded, options))
}

fn load_settings(plugin: &PlatformPlugin, path: &Path) -> Result<LoadedPlatform> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    (plugin.load)(&text).map_err(|error| eyre!("{}: {error}", path.display()))
}

fn start_log() -> Result<()> {
    let mut config = ConfigBuilder::new();
    config.set_time_format_rfc3339();
    config.set_target_level(LevelFilter::Error);
    config.set_thread_level(LevelFilter::Off);
    let log = LineLog::start().wrap_err("cannot start the log writer")?;
    WriteLogger::init(LevelFilter::Info, config.build(), log).wrap_err("cannot initialize logging")
}

/// Runs the host and reloads its settings on a signal or when the file has changed.
async fn serve(
    plugin: &PlatformPlugin,
    path: &Path,
    loaded: LoadedPlatform,
    options: FrontOptions,
) -> Result<()> {
    let signals = SignalReceiver::listen()?;
    let mut settings = loaded.settings.clone();
    let mut loaded_text = std::fs::read_to_string(path).unwrap_or_default();
    let host = FrontHost::start_with(loaded, options).await?;
    loop {
        let is_requested = match timeout(SETTINGS_POLL_INTERVAL, signals.next()).await {
            Ok(signal) if signal.is_reload() => true,
            Ok(_stop) => break,
            Err(_elapsed) => false,
        };
        let text = std::fs::read_to_string(path).unwrap_or_default();
        if text == loaded_text && !is_requested {
            continue;
        }
        loaded_text = text;
        match load_settings(plugin, path) {
            Ok(reloaded) if reloaded.settings != settings => {
                settings = reloaded.settings;
                let at_next_start = host.reload(&settings);
                info!(
                    target: "host",
                    "host={} state=reloaded changed=true bounds={:?} at_next_start={at_next_start:?}",
                    settings.name, settings.bounds,
                );
            }
            Ok(_unchanged) => {
                info!(target: "host", "host={} state=reloaded changed=false", settings.name);
            }
            Err(error) => warn!(target: "host", "reload refused: {error:#}"),
        }
    }
    host.stop().await;
    Ok(())
}
