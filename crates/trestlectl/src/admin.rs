//! Commands that use the administration API of a host.

use crate::CommandError;
use eyre::{WrapErr, eyre};
use getopts::{Matches, Options};
use http_types::Method;
use std::time::Duration;
use store::{JsonClient, JsonReply};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const TOKEN_VARIABLE: &str = "TRESTLE_TOKEN";

/// Adds the options that select the host and the token.
pub(crate) fn add_options(options: &mut Options) {
    options
        .optopt("a", "admin", "administration address of a host", "IP:PORT")
        .optopt("t", "token-file", "file with the bearer token", "FILE")
        .optflag("h", "help", "print this help");
}

/// Parses the arguments of a command; prints the help and returns `None` if it was
/// requested.
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

/// Creates a client for the host and the token that the options select.
pub(crate) fn create_client(matches: &Matches) -> Result<JsonClient, CommandError> {
    let Some(address) = matches.opt_str("admin") else {
        return Err(CommandError::Usage(
            "--admin IP:PORT is required".to_owned(),
        ));
    };
    let token = match matches.opt_str("token-file") {
        Some(path) => std::fs::read_to_string(&path)
            .wrap_err_with(|| format!("cannot read {path}"))?
            .trim()
            .to_owned(),
        None => std::env::var(TOKEN_VARIABLE).map_err(|_unset| {
            CommandError::Usage(format!("--token-file or {TOKEN_VARIABLE} is required"))
        })?,
    };
    Ok(JsonClient::with_bearer(&address, REQUEST_TIMEOUT, &token))
}

/// Sends a request and returns the response.
pub(crate) fn send(
    client: &JsonClient,
    method: Method,
    path: &str,
    body: &[u8],
) -> Result<JsonReply, CommandError> {
    let reply = async_std::task::block_on(client.send(method, path, body))?;
    Ok(reply)
}

/// Prints the body of a successful response, or returns it as an error.
pub(crate) fn print_or_fail(reply: &JsonReply) -> Result<(), CommandError> {
    let text = match reply.parse::<serde_json::Value>() {
        Ok(value) => serde_json::to_string_pretty(&value)?,
        Err(_) => String::from_utf8_lossy(&reply.body).into_owned(),
    };
    if reply.is_success() {
        println!("{text}");
        return Ok(());
    }
    Err(eyre!("host responded with status {}: {text}", reply.status).into())
}

/// Runs `trestlectl status`, which prints the status of a host.
pub(crate) fn status(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    add_options(&mut options);
    let usage = "usage: trestlectl status --admin IP:PORT [--token-file FILE]";
    let Some(matches) = parse(&options, usage, arguments)? else {
        return Ok(());
    };
    let reply = send(&create_client(&matches)?, Method::Get, "/status", &[])?;
    print_or_fail(&reply)
}

/// Runs `trestlectl drain`, which drains an upstream or a host, or ends a drain.
pub(crate) fn drain(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    add_options(&mut options);
    options.optflag("", "undo", "end the drain and accept new requests again");
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
    let reply = send(&create_client(&matches)?, Method::Post, "/drain", &body)?;
    print_or_fail(&reply)
}

/// Runs `trestlectl domain`, which declares a failure domain lost or available.
pub(crate) fn domain(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    add_options(&mut options);
    let usage = "usage: trestlectl domain lost|back NAME --admin IP:PORT [--token-file FILE]";
    let Some(matches) = parse(&options, usage, arguments)? else {
        return Ok(());
    };
    let operands: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let (is_lost, name) = match operands.as_slice() {
        ["lost", name] => (true, *name),
        ["back", name] => (false, *name),
        _ => return Err(CommandError::Usage(usage.to_owned())),
    };
    let body = serde_json::json!({ "domain": name, "lost": is_lost });
    let body = body.to_string().into_bytes();
    let reply = send(&create_client(&matches)?, Method::Post, "/domains", &body)?;
    print_or_fail(&reply)
}
