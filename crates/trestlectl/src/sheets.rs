//! The command `trestlectl sheet`.

use crate::CommandError;
use crate::admin::{add_options, create_client, parse, print_or_fail, send};
use eyre::{WrapErr, eyre};
use getopts::Options;
use http_types::Method;
use sheet::{Sheet, SheetDigest};

const USAGE: &str = "\
usage: trestlectl sheet check FILE
       trestlectl sheet submit FILE --base VERSION [--submission TOKEN] [--dry-run]
                               --admin IP:PORT [--token-file FILE]
       trestlectl sheet show --admin IP:PORT [--token-file FILE]";

/// Runs the subcommand that the arguments name.
pub(crate) fn run(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    add_options(&mut options);
    options
        .optopt(
            "b",
            "base",
            "version that the sheet is based on, 0 for none",
            "VERSION",
        )
        .optopt(
            "",
            "submission",
            "token that names this submission",
            "TOKEN",
        )
        .optflag("", "dry-run", "only show what would change");
    let Some(matches) = parse(&options, USAGE, arguments)? else {
        return Ok(());
    };
    match matches
        .free
        .iter()
        .map(String::as_str)
        .collect::<Vec<_>>()
        .as_slice()
    {
        ["check", path] => {
            read_valid_sheet(path)?;
            println!("{path}: valid");
            Ok(())
        }
        ["submit", path] => submit(&matches, path),
        ["show"] => {
            let reply = send(&create_client(&matches)?, Method::Get, "/sheet", &[])?;
            print_or_fail(&reply)
        }
        _ => Err(CommandError::Usage(USAGE.to_owned())),
    }
}

fn submit(matches: &getopts::Matches, path: &str) -> Result<(), CommandError> {
    let body = read_valid_sheet(path)?;
    let base = matches
        .opt_str("base")
        .and_then(|text| text.parse::<u64>().ok());
    let Some(base) = base else {
        return Err(CommandError::Usage("--base VERSION is required".to_owned()));
    };
    // Without an explicit token, submitting the same sheet on top of the same version
    // again counts as the same submission.
    let token = matches
        .opt_str("submission")
        .unwrap_or_else(|| format!("{base}-{}", SheetDigest::digest_of(body.as_bytes())));
    let mut target = format!("/sheet?base={base}&submission={token}");
    if matches.opt_present("dry-run") {
        target.push_str("&dry_run=1");
    }
    let reply = send(
        &create_client(matches)?,
        Method::Post,
        &target,
        body.as_bytes(),
    )?;
    print_or_fail(&reply)
}

/// Reads a sheet and returns its text if it is valid.
fn read_valid_sheet(path: &str) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))?;
    match Sheet::parse(&text) {
        Ok(_) => Ok(text),
        Err(error) => {
            let lines: Vec<String> = error
                .problems()
                .iter()
                .map(|problem| format!("{path}: {problem}"))
                .collect();
            Err(eyre!("invalid sheet\n{}", lines.join("\n")).into())
        }
    }
}
