//! The command `trestlectl slopes`.

use crate::CommandError;
use crate::admin::parse;
use crate::trials::start_log;
use eyre::WrapErr;
use getopts::Options;
use trial::{SlopeFit, measure_slopes};

const USAGE: &str = "usage: trestlectl slopes [--report FILE]";

/// Measures the cost of the control plane for several deployment sizes.
pub(crate) fn run(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    options
        .optopt("", "report", "file for all measurements, in JSON", "FILE")
        .optflag("h", "help", "print this help");
    let Some(matches) = parse(&options, USAGE, arguments)? else {
        return Ok(());
    };
    start_log(false)?;
    let report = async_std::task::block_on(measure_slopes())?;
    println!("hosts upstreams shards  control_%  KB/s/host  MB/host  reads/s  writes/s");
    for point in &report.points {
        println!(
            "{:5} {:9} {:6}  {:9.3}  {:9.2}  {:7.2}  {:7.1}  {:8.1}",
            point.size.hosts,
            point.size.upstreams,
            point.size.shards,
            point.control_percent,
            point.kb_per_s,
            point.process_mb / f64::from(point.size.hosts),
            point.reads_per_s,
            point.writes_per_s,
        );
    }
    print_model("control_%", &report.control_percent);
    print_model("KB/s/host", &report.kb_per_s);
    print_model("MB/host", &report.host_mb);
    if let Some(file) = matches.opt_str("report") {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(&file, format!("{text}\n"))
            .wrap_err_with(|| format!("cannot write {file}"))?;
    }
    Ok(())
}

fn print_model(name: &str, model: &SlopeFit) {
    println!(
        "{name}: {:.4} + {:.4} per link + {:.4} per upstream held + {:.4} per 1,000 shards \
         (residual {:.4})",
        model.base, model.per_link, model.per_upstream, model.per_kshard, model.residual
    );
}
