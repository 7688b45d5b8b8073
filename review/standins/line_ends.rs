//! A faulty server ends the lines of some heads with LF alone.

use crate::store::Store;
use crate::wire::read_message;
use crate::{Folder, Host, Record};
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const REQUESTS: u32 = 400;
/// The servers, and how many of them are faulty.
const SERVERS: u32 = 2;
const FAULTY_SERVERS: u32 = 1;
/// A faulty server spoils one of so many answers.
const SPOILED_EVERY: u32 = 20;
/// The server's whole body: two parts, with an empty line between head and text of each,
/// as in a multipart document.
const BODY: &str = "--b\r\nContent-Type: text/plain\r\n\r\nsea temperature 11.4\r\n--b\r\n\
    Content-Type: text/plain\r\n\r\nsea temperature 9.8\r\n--b--\r\n";

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<u32, String> {
    let store = Store::start();
    store.set(
        "op",
        "config",
        r#"{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"host":"charts.example","rule_set":[{"name":"r-1","kind":"non_idempotent","target_latency_ms":400,"priority":1,"match":{"prefix":"/charts/"},"action":{"service":"mapview","timeout_ms":1500,"max_attempts":2}}]}],"clusters":[{"name":"mapview","health_path":"/health","max_connections":232,"protocol":"h1","tls":false}]}"#,
    );
    for number in 1..=SERVERS {
        let is_faulty = has_trouble && number <= FAULTY_SERVERS;
        start_server(record, &store, number, is_faulty)?;
    }
    let folder = Folder::new();
    let hosts = [1, 2].map(|number| Host::start(&folder, &format!("front-{number}"), store.address));
    if !hosts.iter().all(Host::wait_until_ready) {
        return Err("a host did not become ready".to_owned());
    }
    let mut broken = 0;
    let mut succeeded = 0;
    for number in 0..REQUESTS {
        let host = &hosts[number as usize % hosts.len()];
        let (status, has_stamp, body) = ask(host, number).map_err(|error| error.to_string())?;
        let is_success = (200..300).contains(&status);
        let is_whole = body == BODY.as_bytes();
        succeeded += u32::from(is_success);
        let is_broken = is_success && !(is_whole && has_stamp);
        broken += u32::from(is_broken);
        record.note(&format!(
            "client: request {number:08x} at {} answered {status} stamp={has_stamp} body={} of {} bytes{}",
            host.name, body.len(), BODY.len(),
            if is_broken { " BROKEN: a success whose body is not the server's" } else { "" },
        ));
    }
    if succeeded == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(broken)
}

fn start_server(
    record: &Arc<Record>,
    store: &Store,
    number: u32,
    is_faulty: bool,
) -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let id = format!("i-{number}");
    store.set(
        "servers",
        &id,
        &format!(
            r#"{{"service":"mapview","address":"{address}","zone":"z1","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
            born.as_millis()
        ),
    );
    let record = Arc::clone(record);
    std::thread::spawn(move || {
        let answered = AtomicU32::new(0);
        for stream in listener.incoming().flatten() {
            serve(stream, &id, &record, &answered, is_faulty);
        }
    });
    Ok(())
}

/// Answers one request without a length; the body ends with the connection.
fn serve(stream: TcpStream, id: &str, record: &Record, answered: &AtomicU32, is_faulty: bool) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let Some(request) = read_message(&mut reader) else { return };
    let request_id = request.header("request-id");
    let count = answered.fetch_add(1, Ordering::SeqCst) + 1;
    let is_spoiled = is_faulty && count.is_multiple_of(SPOILED_EVERY);
    let end = if is_spoiled { "\n" } else { "\r\n" };
    record.note(&format!(
        "server {id}: ran request {request_id}, answers 200 with {} bytes{}",
        BODY.len(),
        if is_spoiled { ", lines of the head end with LF alone" } else { "" },
    ));
    let head = format!(
        "HTTP/1.1 200 OK{end}Request-Id: {request_id}{end}Response-Stamp: {id}.00.1{end}\
         Connection: close{end}{end}"
    );
    // A host that has left needs no answer.
    let _written = writer.write_all(format!("{head}{BODY}").as_bytes());
}

/// Sends a request, and returns the status, whether there was a stamp, and the body.
fn ask(host: &Host, number: u32) -> std::io::Result<(u16, bool, Vec<u8>)> {
    let mut stream = TcpStream::connect(host.front)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let request = format!(
        "POST /charts/{number} HTTP/1.1\r\nHost: charts.example\r\nRequest-Id: {number:08x}\r\n\
         Deadline-Ms: 1500\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some(answer) = read_message(&mut reader) else {
        return Ok((0, false, Vec::new()));
    };
    let mut body = answer.body.clone();
    if answer.header("content-length").is_empty() {
        reader.read_to_end(&mut body)?;
    }
    Ok((answer.status(), !answer.header("response-stamp").is_empty(), body))
}
