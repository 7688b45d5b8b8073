//! Many clients with large bodies come at once, with a length or in chunks.

use crate::store::Store;
use crate::wire::read_message;
use crate::{Folder, Host, Record};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// `memory_mb` in the hosts' settings; a process that exceeds it is killed.
const MEMORY_MB: u64 = 182;
/// Number of ends of its own after which a machine counts.
const ENDS: u32 = 3;
const DURATION: Duration = Duration::from_secs(40);
const WORK: Duration = Duration::from_millis(400);
/// Clients of a wave for each host as usual, with bodies in chunks and with a length; a
/// burst has twice as many.
const CHUNKED_CLIENTS: u32 = 4;
const FIXED_CLIENTS: u32 = 1;
const BURST: u32 = 2;
const CHUNKED_BYTES: usize = 11 << 20;
const FIXED_BYTES: usize = 44 << 20;
const CHUNK_BYTES: [usize; 4] = [4_200, 6_000, 9_000, 13_000];

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<u32, String> {
    let store = Store::start();
    store.set(
        "op",
        "config",
        r#"{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"host":"charts.example","rule_set":[{"name":"r-1","kind":"non_idempotent","target_latency_ms":3000,"priority":1,"match":{"prefix":"/charts/"},"action":{"service":"mapview","timeout_ms":6000,"max_attempts":2}}]}],"clusters":[{"name":"mapview","health_path":"/health","max_connections":749,"protocol":"h1","tls":false}]}"#,
    );
    for number in 1..=4 {
        start_server(&store, number, record);
    }
    let folder = Folder::new();
    let start = |number: usize| Host::start(&folder, &format!("front-{number}"), store.address);
    let mut hosts = [start(0), start(1)];
    if !hosts.iter().all(Host::wait_until_ready) {
        return Err("a host did not become ready".to_owned());
    }
    let is_ended = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU32::new(0));
    let factor = if has_trouble { BURST } else { 1 };
    let targets: Arc<std::sync::Mutex<Vec<SocketAddr>>> = Arc::default();
    *targets.lock().unwrap() = hosts.iter().map(|host| host.front).collect();
    for index in 0..hosts.len() {
        let (targets, is_ended) = (Arc::clone(&targets), Arc::clone(&is_ended));
        let (served, record) = (Arc::clone(&served), Arc::clone(record));
        std::thread::spawn(move || {
            let mut wave = 0;
            while !is_ended.load(Ordering::SeqCst) {
                let address = targets.lock().unwrap()[index];
                wave += 1;
                send_wave(address, CHUNKED_CLIENTS * factor, true, (index, wave), &served, &record);
                send_wave(address, FIXED_CLIENTS * factor, false, (index, wave), &served, &record);
            }
        });
    }
    let mut ends = [0_u32; 2];
    let mut peaks = [0_u64; 2];
    let deadline = Instant::now() + DURATION;
    while Instant::now() < deadline && ends.iter().any(|count| *count < ENDS) {
        std::thread::sleep(Duration::from_millis(20));
        for index in 0..hosts.len() {
            let resident = hosts[index].resident_mb();
            peaks[index] = peaks[index].max(resident);
            if resident <= MEMORY_MB {
                continue;
            }
            ends[index] += 1;
            record.note(&format!("platform: {} has {resident} MB and is killed, end {}", hosts[index].name, ends[index]));
            hosts[index].kill();
            std::thread::sleep(Duration::from_millis(500));
            hosts[index] = start(index);
            targets.lock().unwrap()[index] = hosts[index].front;
            if !hosts[index].wait_until_ready() {
                return Err("a host did not become ready again".to_owned());
            }
        }
    }
    is_ended.store(true, Ordering::SeqCst);
    let served = served.load(Ordering::SeqCst);
    record.note(&format!("requests served: {served}; peaks {peaks:?} MB; ends {ends:?}"));
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(u32::from(ends.iter().all(|count| *count >= ENDS)))
}

fn start_server(store: &Store, number: u32, record: &Arc<Record>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("bound");
    store.set(
        "servers",
        &format!("i-{number}"),
        &format!(
            r#"{{"service":"mapview","address":"{address}","zone":"z1","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}}"#
        ),
    );
    let record = Arc::clone(record);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = Arc::clone(&record);
            std::thread::spawn(move || serve(stream, number, &record));
        }
    });
}

fn serve(stream: TcpStream, number: u32, record: &Record) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((id, length)) = read_head(&mut reader) {
        let mut body = (&mut reader).take(length);
        if std::io::copy(&mut body, &mut std::io::sink()).ok() != Some(length) {
            return;
        }
        record.note(&format!("server i-{number}: runs request {id}, {length} bytes"));
        std::thread::sleep(WORK);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: i-{number}.1\r\n\
             Content-Length: 4\r\n\r\ndone"
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a head; returns the request's id and the length of its body.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, u64)> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some((id, length));
        }
        if let Some((name, value)) = text.split_once(':') {
            match name.to_ascii_lowercase().as_str() {
                "request-id" => id = value.trim().to_owned(),
                "content-length" => length = value.trim().parse().ok()?,
                _ => {}
            }
        }
    }
}

/// Sends requests at the same time, and waits for their answers.
fn send_wave(
    address: SocketAddr,
    clients: u32,
    is_chunked: bool,
    (host, wave): (usize, u32),
    served: &Arc<AtomicU32>,
    record: &Arc<Record>,
) {
    let threads: Vec<_> = (0..clients)
        .map(|client| {
            let id = format!("{host:02x}{wave:04x}{:x}{client:x}", u32::from(is_chunked));
            let (served, record) = (Arc::clone(served), Arc::clone(record));
            std::thread::spawn(move || {
                let chunk = CHUNK_BYTES[client as usize % CHUNK_BYTES.len()];
                let status = send(address, &id, is_chunked, chunk).unwrap_or(0);
                record.note(&format!("client: request {id} chunked={is_chunked} answered {status}"));
                served.fetch_add(u32::from(status == 200), Ordering::SeqCst);
            })
        })
        .collect();
    for thread in threads {
        let _result = thread.join();
    }
    std::thread::sleep(Duration::from_millis(100));
}

fn send(address: SocketAddr, id: &str, is_chunked: bool, chunk: usize) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    stream.set_write_timeout(Some(Duration::from_secs(8)))?;
    let framing = if is_chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {FIXED_BYTES}")
    };
    let head = format!(
        "POST /charts/{id} HTTP/1.1\r\nHost: charts.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 6000\r\nConnection: close\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let data = vec![b'5'; 64 << 10];
    let (total, part) = if is_chunked { (CHUNKED_BYTES, chunk) } else { (FIXED_BYTES, data.len()) };
    let mut sent = 0;
    while sent < total {
        let bytes = part.min(total - sent);
        let written = if is_chunked {
            let mut text = format!("{bytes:x}\r\n").into_bytes();
            text.extend_from_slice(&data[..bytes]);
            text.extend_from_slice(b"\r\n");
            stream.write_all(&text)
        } else {
            stream.write_all(&data[..bytes])
        };
        // The host may have refused the request before it has read its body.
        if written.is_err() {
            break;
        }
        sent += bytes;
    }
    if is_chunked && sent == total {
        stream.write_all(b"0\r\n\r\n")?;
    }
    let answer = read_message(&mut BufReader::new(stream));
    Ok(answer.map_or(0, |answer| answer.status()))
}
