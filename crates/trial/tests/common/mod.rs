//! A small deployment and raw exchanges with it.

#![allow(dead_code, reason = "each test file uses the part that it needs")]

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use std::time::Duration;
use trial::{Deployment, TrialPlan};

/// Returns the built-in plan cut down to so many hosts and instances each.
pub fn plan(hosts: u32, instances: u32) -> TrialPlan {
    let mut plan = TrialPlan::small();
    plan.hosts = hosts;
    plan.domains.truncate(1);
    for instance in &mut plan.instances {
        instance.count = instances;
    }
    plan
}

/// Starts a deployment.
pub async fn start(plan: &TrialPlan) -> Deployment {
    Deployment::start(plan)
        .await
        .expect("the deployment starts")
}

/// Returns the callers' address of a host.
pub fn callers(deployment: &Deployment, host: usize) -> String {
    let running = deployment.running();
    running[host].host.addresses().callers.clone()
}

/// Sends bytes and returns all that comes back until the peer closes or falls
/// silent.
pub async fn exchange(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("the request is sent");
    read_all(&mut stream, Duration::from_secs(4)).await
}

/// Reads until the peer closes or is silent for `silence`.
pub async fn read_all(stream: &mut TcpStream, silence: Duration) -> String {
    let mut answer = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        let reading = stream.read(&mut buffer);
        match async_std::future::timeout(silence, reading).await {
            Ok(Ok(bytes)) if bytes > 0 => answer.extend_from_slice(&buffer[..bytes]),
            _ => return String::from_utf8_lossy(&answer).into_owned(),
        }
    }
}

/// Builds a request without a body.
pub fn get(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: t\r\n{headers}connection: close\r\n\r\n").into_bytes()
}

/// Builds a charge.
pub fn charge(key: &str, body: &str, headers: &str) -> Vec<u8> {
    format!(
        "POST /abonos/charges HTTP/1.1\r\nhost: t\r\nidempotency-key: {key}\r\n{headers}\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Returns a header's value in an answer.
pub fn header<'a>(answer: &'a str, name: &str) -> Option<&'a str> {
    let (head, _) = answer.split_once("\r\n\r\n")?;
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

/// Returns an answer's status code.
pub fn status(answer: &str) -> u16 {
    let code = answer.split(' ').nth(1);
    code.and_then(|code| code.parse().ok()).unwrap_or(0)
}
