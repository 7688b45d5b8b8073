//! Commands that talk to a host's administration API.

use crate::CommandError;
use eyre::{WrapErr, eyre};
use getopts::{Matches, Options};
use http_types::Method;
use std::time::Duration;
use store::{JsonClient, JsonReply};

const LIMIT: Duration = Duration::from_secs(20);
const TOKEN_VARIABLE: &str = "TRESTLE_TOKEN";

/// Adds the options that say which host to talk to.
pub(crate) fn add_options(options: &mut Options) {
    options
        .optopt("a", "admin", "administration address of a host", "IP:PORT")
        .optopt("t", "token-file", "file with the bearer token", "FILE")
        .optflag("h", "help", "print this help");
}

/// Parses a command's arguments; `None` when only help was asked for.
pub(crate) fn parse(
    options: &Options,
    usage: &str,
    arguments: &[String],
) -> Result<Option<Matches>, CommandError> {
    let matches = options
        .parse(arguments)
        .map_err(|error| CommandError::Usage(format!("{error}\n{}", options.usage(usage))))?;
    if matches.opt_present("help") {
        println!("{}", options.usage(usage));
        return Ok(None);
    }
    Ok(Some(matches))
}

/// Builds the client that the options ask for.
pub(crate) fn client(matches: &Matches) -> Result<JsonClient, CommandError> {
    let Some(address) = matches.opt_str("admin") else {
        return Err(CommandError::Usage(
            "--admin IP:PORT is required".to_owned(),
        ));
    };
    let token = match matches.opt_str("token-file") {
        Some(path) => std::fs::read_to_string(&path)
            .wrap_err_with(|| format!("{path}: can't be read"))?
            .trim()
            .to_owned(),
        None => std::env::var(TOKEN_VARIABLE).map_err(|_unset| {
            CommandError::Usage(format!("--token-file or {TOKEN_VARIABLE} is required"))
        })?,
    };
    Ok(JsonClient::with_bearer(&address, LIMIT, &token))
}

/// Sends a request and returns the answer.
pub(crate) fn send(
    client: &JsonClient,
    method: Method,
    path: &str,
    body: &[u8],
) -> Result<JsonReply, CommandError> {
    let reply = async_std::task::block_on(client.send(method, path, body))?;
    Ok(reply)
}

/// Prints a successful answer, or fails with it.
pub(crate) fn print_or_fail(reply: &JsonReply) -> Result<(), CommandError> {
    let text = match reply.parse::<serde_json::Value>() {
        Ok(value) => serde_json::to_string_pretty(&value)?,
        Err(_) => String::from_utf8_lossy(&reply.body).into_owned(),
    };
    if reply.is_success() {
        println!("{text}");
        return Ok(());
    }
    Err(eyre!("status {}: {text}", reply.status).into())
}

/// `trestlectl status`.
pub(crate) fn status(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    add_options(&mut options);
    let usage = "usage: trestlectl status --admin IP:PORT [--token-file FILE]";
    let Some(matches) = parse(&options, usage, arguments)? else {
        return Ok(());
    };
    let reply = send(&client(&matches)?, Method::Get, "/status", &[])?;
    print_or_fail(&reply)
}

/// `trestlectl drain`.
pub(crate) fn drain(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    add_options(&mut options);
    options.optflag("", "undo", "let the upstream take new work again");
    let usage = "usage: trestlectl drain [UPSTREAM] --admin IP:PORT [--token-file FILE] [--undo]";
    let Some(matches) = parse(&options, usage, arguments)? else {
        return Ok(());
    };
    let is_leaving = !matches.opt_present("undo");
    let body = match matches.free.as_slice() {
        [] => serde_json::json!({ "leaving": is_leaving }),
        [upstream] => serde_json::json!({ "upstream": upstream, "leaving": is_leaving }),
        _ => return Err(CommandError::Usage("at most one upstream".to_owned())),
    };
    let body = body.to_string().into_bytes();
    let reply = send(&client(&matches)?, Method::Post, "/drain", &body)?;
    print_or_fail(&reply)
}

/// `trestlectl domain`.
pub(crate) fn domain(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    add_options(&mut options);
    let usage = "usage: trestlectl domain lost|back NAME --admin IP:PORT [--token-file FILE]";
    let Some(matches) = parse(&options, usage, arguments)? else {
        return Ok(());
    };
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let (is_lost, name) = match words.as_slice() {
        ["lost", name] => (true, *name),
        ["back", name] => (false, *name),
        _ => return Err(CommandError::Usage(usage.to_owned())),
    };
    let body = serde_json::json!({ "domain": name, "lost": is_lost });
    let body = body.to_string().into_bytes();
    let reply = send(&client(&matches)?, Method::Post, "/domains", &body)?;
    print_or_fail(&reply)
}
