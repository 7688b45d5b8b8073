//! Helpers that start a small deployment and send raw HTTP requests to it.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use std::time::Duration;
use trial::{Deployment, TrialPlan};

/// Returns the built-in plan with one failure domain, `hosts` hosts and `instances`
/// instances of each service.
pub fn small_plan(hosts: u32, instances: u32) -> TrialPlan {
    let mut plan = TrialPlan::small();
    plan.hosts = hosts;
    plan.domains.truncate(1);
    for instance in &mut plan.instances {
        instance.count = instances;
    }
    plan
}

/// Starts a deployment and waits until it is ready.
pub async fn start_deployment(plan: &TrialPlan) -> Deployment {
    Deployment::start(plan)
        .await
        .expect("the deployment starts")
}

/// Returns the address at which a host accepts client requests.
pub fn client_address(deployment: &Deployment, host: usize) -> String {
    let running = deployment.running_hosts();
    running[host].host.addresses().clients.clone()
}

/// Sends raw bytes and returns everything received until the peer closes the
/// connection or sends nothing for 4 seconds.
pub async fn exchange(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("the request is sent");
    read_all(&mut stream, Duration::from_secs(4)).await
}

/// Reads until the peer closes the connection or sends nothing for `timeout`.
pub async fn read_all(stream: &mut TcpStream, timeout: Duration) -> String {
    let mut response = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        let reading = stream.read(&mut buffer);
        match async_std::future::timeout(timeout, reading).await {
            Ok(Ok(bytes)) if bytes > 0 => response.extend_from_slice(&buffer[..bytes]),
            _ => return String::from_utf8_lossy(&response).into_owned(),
        }
    }
}

/// Builds a GET request without a body.
pub fn get(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: t\r\n{headers}connection: close\r\n\r\n").into_bytes()
}

/// Builds a charge, which is a non-idempotent POST request.
pub fn charge(key: &str, body: &str, headers: &str) -> Vec<u8> {
    format!(
        "POST /abonos/charges HTTP/1.1\r\nhost: t\r\nidempotency-key: {key}\r\n{headers}\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Returns the value of a response header.
pub fn header<'a>(response: &'a str, name: &str) -> Option<&'a str> {
    let (head, _) = response.split_once("\r\n\r\n")?;
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Returns the status code of a response, or 0 if it has none.
pub fn status(response: &str) -> u16 {
    let code = response.split(' ').nth(1);
    code.and_then(|code| code.parse().ok()).unwrap_or(0)
}
