//! `trestlectl trial`.

use crate::CommandError;
use crate::admin::parse;
use eyre::{WrapErr, eyre};
use getopts::{Matches, Options};
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::time::Duration;
use trial::{
    ADMIN_TOKEN, Deployment, FaultName, TrialOptions, TrialPlan, TrialReport, run_trial,
    serve_switches,
};

const USAGE: &str = "\
usage: trestlectl trial [OPTIONS]

Without --seconds it prints a request that works and keeps running.";
const DEFAULT_RATE: f64 = 400.0;

/// Runs a trial.
pub(crate) fn run(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    options
        .optopt("", "seconds", "length of the load", "N")
        .optopt("", "seed", "seed of random choices", "S")
        .optopt("", "settings", "deployment and load, in JSON", "FILE")
        .optopt("", "faults", "faults, injected in turn", "NAME,NAME")
        .optopt("", "load", "requests per second", "RPS")
        .optopt("", "queue", "queue policy: floors, strict or fifo", "NAME")
        .optopt("", "placement", "placement policy: load or static", "NAME")
        .optopt("", "retry-percent", "retries earned by each first try", "N")
        .optopt("", "report", "file for the report, in JSON", "FILE")
        .optflag("", "path", "measure the cost of the path first")
        .optflag("v", "verbose", "log decisions as well")
        .optflag("h", "help", "print this help");
    let Some(matches) = parse(&options, USAGE, arguments)? else {
        return Ok(());
    };
    start_log(matches.opt_present("verbose"))?;
    let plan = read_plan(&matches)?;
    match number::<u64>(&matches, "seconds")? {
        Some(seconds) => run_for(&matches, plan, seconds),
        None => keep_running(&plan),
    }
}

pub(crate) fn start_log(is_verbose: bool) -> Result<(), CommandError> {
    let mut config = ConfigBuilder::new();
    config.set_time_format_rfc3339();
    config.set_thread_level(LevelFilter::Off);
    config.set_target_level(LevelFilter::Error);
    if !is_verbose {
        for target in ["route", "placement", "config"] {
            config.add_filter_ignore_str(target);
        }
    }
    WriteLogger::init(LevelFilter::Info, config.build(), std::io::stderr())?;
    Ok(())
}

fn read_plan(matches: &Matches) -> Result<TrialPlan, CommandError> {
    let mut plan = match matches.opt_str("settings") {
        Some(path) => {
            let text = std::fs::read_to_string(&path)
                .wrap_err_with(|| format!("{path}: can't be read"))?;
            serde_json::from_str(&text).wrap_err_with(|| format!("{path}: not a trial plan"))?
        }
        None => TrialPlan::small(),
    };
    if let Some(queue) = matches.opt_str("queue") {
        plan.queue = queue;
    }
    if let Some(placement) = matches.opt_str("placement") {
        plan.placement = placement;
    }
    if let Some(percent) = number(matches, "retry-percent")? {
        plan.retry_percent = percent;
    }
    plan.validate()
        .map_err(|problems| eyre!("trial plan can't be used\n{}", problems.join("\n")))?;
    Ok(plan)
}

fn number<T: std::str::FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, CommandError> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(CommandError::Usage(format!(
            "--{name}: expected a number, got `{text}`"
        ))),
    }
}

fn faults(matches: &Matches) -> Result<Vec<FaultName>, CommandError> {
    let Some(text) = matches.opt_str("faults") else {
        return Ok(Vec::new());
    };
    let mut faults = Vec::new();
    for name in text.split(',').filter(|name| !name.is_empty()) {
        let fault = name.parse();
        faults.push(
            fault.map_err(|error: trial::UnknownFault| CommandError::Usage(error.to_string()))?,
        );
    }
    Ok(faults)
}

fn run_for(matches: &Matches, plan: TrialPlan, seconds: u64) -> Result<(), CommandError> {
    let options = TrialOptions {
        plan,
        span: Duration::from_secs(seconds),
        rate: number(matches, "load")?.unwrap_or(DEFAULT_RATE),
        seed: number(matches, "seed")?.unwrap_or(1),
        faults: faults(matches)?,
        measures_path: matches.opt_present("path"),
    };
    let (report, path) = async_std::task::block_on(run_trial(options))?;
    let text = serde_json::to_string_pretty(&report)?;
    match matches.opt_str("report") {
        Some(file) => std::fs::write(&file, format!("{text}\n"))
            .wrap_err_with(|| format!("{file}: can't be written"))?,
        None => println!("{text}"),
    }
    if let Some(path) = path {
        eprintln!(
            "path: routed p50 {:.3} ms p99 {:.3} ms, direct p50 {:.3} ms p99 {:.3} ms",
            path.routed_p50_ms, path.routed_p99_ms, path.direct_p50_ms, path.direct_p99_ms
        );
    }
    judge(&report)
}

fn judge(report: &TrialReport) -> Result<(), CommandError> {
    let violations = report.violations();
    if violations.is_empty() {
        eprintln!("no violation in {} requests", report.requests);
        return Ok(());
    }
    let lines: Vec<String> = violations
        .iter()
        .map(|(name, count)| format!("{name}: {count}"))
        .collect();
    Err(eyre!("violations\n{}", lines.join("\n")).into())
}

fn keep_running(plan: &TrialPlan) -> Result<(), CommandError> {
    async_std::task::block_on(async {
        let deployment = Deployment::start(plan).await?;
        for running in deployment.running() {
            let addresses = running.host.addresses();
            println!(
                "{} in {}: callers {} admin {}",
                running.name, running.domain, addresses.callers, addresses.admin
            );
        }
        if let Some(running) = deployment.running().first() {
            let switches = serve_switches(deployment.clone()).await?;
            println!("break things: curl -X POST 'http://{switches}/faults/host-loss?seconds=5'");
            println!("bearer token of the administration API: {ADMIN_TOKEN}");
            println!(
                "try: curl -i http://{}/mapview/charts/golfo-san-jorge",
                running.host.addresses().callers
            );
        }
        futures::future::pending::<Result<(), CommandError>>().await
    })
}
