//! The command `trestlectl explain`: from a request's id to the cause of its outcome, by
//! the hosts' logs alone.

use crate::CommandError;
use crate::admin::parse;
use eyre::{WrapErr, eyre};
use getopts::Options;
use std::io::{self, BufRead, BufReader};

const USAGE: &str = "\
usage: trestlectl explain ID [LOG...]

Prints the log lines that tell what became of a request, in order over all hosts, and
the cause in one sentence. Reads standard input if no log file is named.";

/// Time before and after a request from which lines on its upstream and key are shown, in
/// milliseconds: a lease and a move take less.
const CONTEXT_MS: i64 = 5_000;

/// One line of a host's log: a timestamp, a level, a target and `name=value` pairs.
#[derive(Clone, Debug)]
struct LogLine {
    time_ms: i64,
    target: String,
    text: String,
}

impl LogLine {
    /// Parses a line; text before its timestamp, such as a host's name, is kept.
    fn parse(text: &str) -> Option<Self> {
        let (before, after) = text.split_once(" [")?;
        let time_ms = parse_time(before.rsplit(' ').next()?)?;
        let (_level, rest) = after.split_once("] ")?;
        let (target, _fields) = rest.split_once(": ")?;
        Some(Self {
            time_ms,
            target: target.to_owned(),
            text: text.to_owned(),
        })
    }

    /// Returns the value of a field.
    fn field(&self, name: &str) -> Option<&str> {
        for pair in self.text.split(' ') {
            let Some((key, value)) = pair.split_once('=') else {
                continue;
            };
            if key == name {
                return Some(value);
            }
        }
        None
    }

    /// Returns whether the line tells of keys that include `key`.
    fn covers_key(&self, key: u16) -> bool {
        let range = self.field("keys").and_then(|keys| keys.split_once(".."));
        range.is_some_and(|(first, last)| {
            let first: Option<u16> = first.parse().ok();
            let last: Option<u16> = last.parse().ok();
            first.is_some_and(|first| first <= key) && last.is_some_and(|last| key <= last)
        })
    }
}

/// Parses the time of day of an RFC 3339 timestamp, in milliseconds.
fn parse_time(text: &str) -> Option<i64> {
    let (_date, time) = text.split_once('T')?;
    let mut parts = time.trim_end_matches('Z').split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(((hours * 60.0 + minutes) * 60_000.0 + seconds * 1_000.0) as i64)
}

/// Prints the log lines that tell what became of a request, and its cause.
pub(crate) fn run(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    let Some(matches) = parse(&options, USAGE, arguments)? else {
        return Ok(());
    };
    let Some((id, paths)) = matches.free.split_first() else {
        return Err(CommandError::Usage(USAGE.to_owned()));
    };
    let mut lines = Vec::new();
    for path in paths {
        let file = std::fs::File::open(path).wrap_err_with(|| format!("cannot open {path}"))?;
        read_lines(BufReader::new(file), &mut lines)
            .wrap_err_with(|| format!("cannot read {path}"))?;
    }
    if paths.is_empty() {
        read_lines(io::stdin().lock(), &mut lines).wrap_err("cannot read standard input")?;
    }
    lines.sort_by_key(|line| line.time_ms);
    let outcome = lines
        .iter()
        .find(|line| line.target == "request" && line.field("request") == Some(id))
        .ok_or_else(|| eyre!("no log line tells how request {id} ended"))?;
    for line in related_lines(&lines, outcome, id) {
        println!("{}", line.text);
    }
    println!("{}", explain(outcome));
    Ok(())
}

fn read_lines(reader: impl BufRead, lines: &mut Vec<LogLine>) -> io::Result<()> {
    for line in reader.split(b'\n') {
        // Lines of other programs may be mixed in.
        let text = String::from_utf8_lossy(&line?).into_owned();
        lines.extend(LogLine::parse(&text));
    }
    Ok(())
}

/// Returns the lines on the request itself, and those around its time on its upstream,
/// its key, the leader and the store.
fn related_lines<'a>(lines: &'a [LogLine], outcome: &LogLine, id: &str) -> Vec<&'a LogLine> {
    let upstream = outcome.field("upstream").filter(|name| *name != "none");
    let key: Option<u16> = outcome.field("key").and_then(|key| key.parse().ok());
    let is_related = |line: &&LogLine| {
        if line.field("request") == Some(id) {
            return true;
        }
        if (line.time_ms - outcome.time_ms).abs() > CONTEXT_MS {
            return false;
        }
        match line.target.as_str() {
            "fleet" | "upstream" | "suspect" => {
                upstream.is_some() && line.field("upstream") == upstream
            }
            "grant" => key.is_some_and(|key| line.covers_key(key)),
            "lead" | "store" => true,
            _ => false,
        }
    };
    lines.iter().filter(is_related).collect()
}

/// Returns the cause of an outcome in one sentence.
fn explain(outcome: &LogLine) -> String {
    let cause = outcome.field("cause").unwrap_or("unknown");
    let upstream = outcome.field("upstream").unwrap_or("none");
    let took = outcome.field("took_ms").unwrap_or("?");
    let sentence = match cause {
        "none" => format!("Upstream {upstream} answered after {took} ms."),
        "overloaded" => {
            "Every upstream that could run it was expected to take too long, so it was refused \
             as not run."
                .to_owned()
        }
        "share-exceeded" => {
            "Its service was short and the share of its rank used up, so it was refused as not \
             run: look for the lines of target share."
                .to_owned()
        }
        "shard-moving" => {
            "Its key had no holder: look for a release of the key that took long, or for a \
             leader that was lost."
                .to_owned()
        }
        "key-misplaced" => format!(
            "Upstream {upstream} did not hold its key: the host had not heard of the key's move."
        ),
        "upstream-lost" => format!(
            "The connection to upstream {upstream} failed after the request was sent, so it may \
             have run."
        ),
        "upstream-timeout" => format!(
            "Upstream {upstream} did not answer within the request's time, so it may have run."
        ),
        "upstream-unreachable" => {
            "No connection to an upstream could be made, so nothing was sent.".to_owned()
        }
        "upstream-refused" => {
            format!("Upstream {upstream} answered that it did not run the request.")
        }
        "answer-invalid" => format!(
            "Upstream {upstream} sent bytes that are no complete answer to the request, which \
             may have run."
        ),
        "quarantined" => {
            "Requests with the same content have crashed upstreams, so it was refused.".to_owned()
        }
        "no-route" => "No route of the sheet in force matched it.".to_owned(),
        "no-configuration" => "The host had no sheet yet.".to_owned(),
        "no-owner" => "The host knew no upstream of its service.".to_owned(),
        "host-stopping" => "The host was stopping.".to_owned(),
        other => format!("It ended with the cause {other}."),
    };
    format!("cause={cause}: {sentence}")
}
