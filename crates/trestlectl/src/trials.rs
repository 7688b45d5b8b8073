//! The command `trestlectl trial`.

use crate::CommandError;
use crate::admin::parse;
use eyre::{WrapErr, eyre};
use getopts::{Matches, Options};
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::time::Duration;
use trial::{
    ADMIN_TOKEN, Deployment, FaultKind, TrialOptions, TrialPlan, TrialReport, run_trial,
    serve_fault_api,
};

const USAGE: &str = "\
usage: trestlectl trial [OPTIONS]

Without --seconds it runs until it is killed, and prints an example request.";
const DEFAULT_RATE: f64 = 400.0;

/// Runs a trial, or a deployment without load if `--seconds` is absent.
pub(crate) fn run(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    options
        .optopt("", "seconds", "duration of the load", "N")
        .optopt("", "seed", "seed of the random number generators", "S")
        .optopt("", "settings", "deployment and load, in JSON", "FILE")
        .optopt(
            "",
            "faults",
            "faults, injected one after another",
            "NAME,NAME",
        )
        .optopt("", "load", "requests per second", "RPS")
        .optopt("", "queue", "queue policy: floors, strict or fifo", "NAME")
        .optopt("", "placement", "placement policy: load or static", "NAME")
        .optopt(
            "",
            "retry-percent",
            "retry budget in percent of first attempts",
            "N",
        )
        .optopt("", "report", "file for the report, in JSON", "FILE")
        .optflag("", "path", "first measure the latency that a host adds")
        .optflag("v", "verbose", "also log routing and placement decisions")
        .optflag("h", "help", "print this help");
    let Some(matches) = parse(&options, USAGE, arguments)? else {
        return Ok(());
    };
    start_log(matches.opt_present("verbose"))?;
    let plan = read_plan(&matches)?;
    match parse_number::<u64>(&matches, "seconds")? {
        Some(seconds) => run_with_load(&matches, plan, seconds),
        None => run_until_killed(&plan),
    }
}

/// Starts logging to standard error.
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
            let text =
                std::fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
            serde_json::from_str(&text).wrap_err_with(|| format!("{path}: invalid trial plan"))?
        }
        None => TrialPlan::small(),
    };
    if let Some(queue) = matches.opt_str("queue") {
        plan.queue = queue;
    }
    if let Some(placement) = matches.opt_str("placement") {
        plan.placement = placement;
    }
    if let Some(percent) = parse_number(matches, "retry-percent")? {
        plan.retry_percent = percent;
    }
    plan.validate()
        .map_err(|problems| eyre!("invalid trial plan\n{}", problems.join("\n")))?;
    Ok(plan)
}

/// Parses the value of a numeric option; `None` if it is absent.
fn parse_number<T: std::str::FromStr>(
    matches: &Matches,
    name: &str,
) -> Result<Option<T>, CommandError> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(CommandError::Usage(format!(
            "--{name}: expected a number, got `{text}`"
        ))),
    }
}

/// Parses the list of faults.
fn parse_faults(matches: &Matches) -> Result<Vec<FaultKind>, CommandError> {
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

fn run_with_load(matches: &Matches, plan: TrialPlan, seconds: u64) -> Result<(), CommandError> {
    let options = TrialOptions {
        plan,
        duration: Duration::from_secs(seconds),
        rate: parse_number(matches, "load")?.unwrap_or(DEFAULT_RATE),
        seed: parse_number(matches, "seed")?.unwrap_or(1),
        faults: parse_faults(matches)?,
        measures_path_cost: matches.opt_present("path"),
    };
    let (report, path_cost) = async_std::task::block_on(run_trial(options))?;
    let text = serde_json::to_string_pretty(&report)?;
    match matches.opt_str("report") {
        Some(file) => std::fs::write(&file, format!("{text}\n"))
            .wrap_err_with(|| format!("cannot write {file}"))?,
        None => println!("{text}"),
    }
    if let Some(path_cost) = path_cost {
        eprintln!(
            "path: routed p50 {:.3} ms p99 {:.3} ms, direct p50 {:.3} ms p99 {:.3} ms",
            path_cost.routed_p50_ms,
            path_cost.routed_p99_ms,
            path_cost.direct_p50_ms,
            path_cost.direct_p99_ms
        );
    }
    check_violations(&report)
}

/// Returns an error if the report has violations.
fn check_violations(report: &TrialReport) -> Result<(), CommandError> {
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

/// Starts a deployment, prints how to use it and runs it until the process ends.
fn run_until_killed(plan: &TrialPlan) -> Result<(), CommandError> {
    async_std::task::block_on(async {
        let deployment = Deployment::start(plan).await?;
        for running in deployment.running_hosts() {
            let addresses = running.host.addresses();
            println!(
                "{} in {}: callers {} admin {}",
                running.name, running.domain, addresses.clients, addresses.admin
            );
        }
        if let Some(running) = deployment.running_hosts().first() {
            let fault_api_address = serve_fault_api(deployment.clone()).await?;
            println!(
                "inject a fault: curl -X POST 'http://{fault_api_address}/faults/host-loss?seconds=5'"
            );
            println!("bearer token of the administration API: {ADMIN_TOKEN}");
            println!(
                "send a request: curl -i http://{}/mapview/charts/golfo-san-jorge",
                running.host.addresses().clients
            );
        }
        futures::future::pending::<Result<(), CommandError>>().await
    })
}
