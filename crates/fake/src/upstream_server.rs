//! HTTP interface of [`FakeUpstream`].

use crate::upstream::{RunningRequest, UpstreamProcess, UpstreamState};
use crate::{FakeUpstream, RunId, RunRecord};
use async_std::net::{TcpListener, TcpStream};
use h1::{Connection, HeadLimits, HeaderList, RequestHead, encode_response_head};
use kernel::{Epoch, ShardId};
use owner::LeaseRequest;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const MAX_BODY_BYTES: u64 = 64 << 20;
/// Delay before another attempt to restart a crashed upstream.
const RESTART_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which a running request checks for cancellation and lease expiry.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const RESTART_DELAY_AFTER_CRASH: Duration = Duration::from_millis(400);
const DEFAULT_COST_MS: u64 = 5;
const DEFAULT_RESPONSE_BYTES: u64 = 64;
/// Larger responses are sent in chunks, spread over the request's processing time.
const MAX_UNSTREAMED_BYTES: usize = 256 << 10;
const STREAM_CHUNKS: usize = 20;

/// A complete response that has not been written yet.
#[derive(Debug)]
struct FakeResponse {
    status: u16,
    headers: HeaderList,
    body: Vec<u8>,
    /// Time over which the body is sent; zero to send it at once.
    send_duration: Duration,
    run_guard: Option<RunGuard>,
}

impl FakeResponse {
    fn json(status: u16, body: Vec<u8>) -> Self {
        let mut headers = HeaderList::new();
        headers.push("content-type", "application/json");
        Self {
            status,
            headers,
            body,
            send_duration: Duration::ZERO,
            run_guard: None,
        }
    }

    fn not_run(request: &str, reason: &str) -> Self {
        let mut headers = HeaderList::new();
        headers.push("x-request-id", request);
        headers.push("x-not-run", reason);
        Self {
            status: 503,
            headers,
            body: Vec::new(),
            send_duration: Duration::ZERO,
            run_guard: None,
        }
    }
}

/// Frees the slot and records the end of the run when dropped.
#[derive(Debug)]
struct RunGuard {
    state: Arc<UpstreamState>,
    process: Arc<UpstreamProcess>,
    number: u64,
    run_id: RunId,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.process.running.lock().swap_remove(&self.number);
        let _never_full = self.process.slot_tokens.0.try_send(());
        if !self.process.has_exited() {
            self.state.run_log.end(self.run_id);
        }
    }
}

pub(crate) async fn serve_listener(
    state: Arc<UpstreamState>,
    process: Arc<UpstreamProcess>,
    listener: TcpListener,
) {
    use futures::future::{Either, select};
    use std::pin::pin;
    loop {
        let accepting = pin!(listener.accept());
        let ended = pin!(process.scope.closed());
        let Either::Left((accepted, _)) = select(accepting, ended).await else {
            break;
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        state.wait_thawed().await;
        let has_capacity = process.connections.lock().len() < state.setup.connections as usize;
        if !has_capacity || process.has_exited() || stream.set_nodelay(true).is_err() {
            continue;
        }
        let number = process.next_connection.fetch_add(1, Ordering::SeqCst);
        process.connections.lock().insert(number, stream.clone());
        let (state, process) = (Arc::clone(&state), Arc::clone(&process));
        async_std::task::spawn(async move {
            serve_connection(&state, &process, number, stream).await;
            process.connections.lock().swap_remove(&number);
        });
    }
    // Listener and connections close together, as when a process ends.
    drop(listener);
    process.close_connections();
}

async fn serve_connection(
    state: &Arc<UpstreamState>,
    process: &Arc<UpstreamProcess>,
    number: u64,
    stream: TcpStream,
) {
    let mut connection = Connection::new(stream);
    loop {
        let message = read_request(&mut connection).await;
        state.wait_thawed().await;
        let Some((head, body)) = message else {
            return;
        };
        if process.has_exited() {
            return;
        }
        if is_silent(process, number) {
            futures::future::pending::<()>().await;
        }
        let response = respond(state, process, &head, &body).await;
        state.wait_thawed().await;
        if is_silent(process, number) {
            // The request has run and frees its slot, but its response is discarded.
            drop(response);
            return futures::future::pending::<()>().await;
        }
        if process.has_exited() || !write_response(state, process, &mut connection, response).await
        {
            return;
        }
    }
}

fn is_silent(process: &UpstreamProcess, number: u64) -> bool {
    number < process.silent_before.load(Ordering::SeqCst)
}

async fn read_request(connection: &mut Connection<TcpStream>) -> Option<(RequestHead, Vec<u8>)> {
    let head = connection
        .read_request(&HeadLimits::default())
        .await
        .ok()??;
    let body = connection
        .read_whole_body(head.body, MAX_BODY_BYTES)
        .await
        .ok()?;
    Some((head, body))
}

async fn respond(
    state: &Arc<UpstreamState>,
    process: &Arc<UpstreamProcess>,
    head: &RequestHead,
    body: &[u8],
) -> FakeResponse {
    match head.target.as_str() {
        "/control/lease" => handle_lease_request(state, process, body),
        "/control/cancel" => cancel_request(process, body),
        "/load" => report_load(state, process),
        "/health" => FakeResponse::json(200, b"{\"healthy\":true}".to_vec()),
        _ => run_request(state, process, head).await,
    }
}

fn handle_lease_request(
    state: &UpstreamState,
    process: &UpstreamProcess,
    body: &[u8],
) -> FakeResponse {
    let Ok(request) = serde_json::from_slice::<LeaseRequest>(body) else {
        return FakeResponse::json(400, b"{\"error\":\"malformed lease order\"}".to_vec());
    };
    match state.apply_lease_request(process, &request) {
        Ok(reply) => FakeResponse::json(200, serde_json::to_vec(&reply).unwrap_or_default()),
        Err(crate::upstream_lease::LeaseRefusal::Superseded(epoch)) => {
            let body = serde_json::json!({ "superseded": epoch });
            FakeResponse::json(409, body.to_string().into_bytes())
        }
        Err(refusal) => {
            let body = serde_json::json!({ "error": refusal.as_str() });
            FakeResponse::json(400, body.to_string().into_bytes())
        }
    }
}

fn cancel_request(process: &UpstreamProcess, body: &[u8]) -> FakeResponse {
    let request = String::from_utf8_lossy(body);
    for running in process.running.lock().values() {
        if running.id == request {
            running.is_cancelled.store(true, Ordering::SeqCst);
        }
    }
    FakeResponse::json(200, b"{}".to_vec())
}

fn report_load(state: &UpstreamState, process: &UpstreamProcess) -> FakeResponse {
    let running = if state.faults.lock().hides_load {
        0
    } else {
        process.running.lock().len()
    };
    let body = serde_json::json!({ "running": running, "slots": state.setup.slots });
    FakeResponse::json(200, body.to_string().into_bytes())
}

async fn run_request(
    state: &Arc<UpstreamState>,
    process: &Arc<UpstreamProcess>,
    head: &RequestHead,
) -> FakeResponse {
    let headers = &head.headers;
    let request = headers.get("x-request-id").unwrap_or_default().to_owned();
    let epoch = Epoch(headers.get_number("x-primary-epoch").unwrap_or(0));
    let shard = shard_of(headers);
    if let Err(refusal) = state.check_request(process, epoch, shard) {
        return FakeResponse::not_run(&request, refusal.as_str());
    }
    let waiting = process.waiting.fetch_add(1, Ordering::SeqCst);
    let is_shed = occurs(state.faults.lock().shed_percent) || waiting >= state.setup.queue;
    let token = if is_shed {
        None
    } else {
        process.slot_tokens.1.recv().await.ok()
    };
    process.waiting.fetch_sub(1, Ordering::SeqCst);
    if token.is_none() {
        return FakeResponse::not_run(&request, "shed");
    }
    // The lease or the grant may have ended while the request waited for a slot.
    state.wait_thawed().await;
    if let Err(refusal) = state.check_request(process, epoch, shard) {
        let _never_full = process.slot_tokens.0.try_send(());
        return FakeResponse::not_run(&request, refusal.as_str());
    }
    run_in_slot(state, process, head, request, epoch, shard).await
}

async fn run_in_slot(
    state: &Arc<UpstreamState>,
    process: &Arc<UpstreamProcess>,
    head: &RequestHead,
    request: String,
    epoch: Epoch,
    shard: Option<(ShardId, Epoch)>,
) -> FakeResponse {
    let cost = request_cost(state, process, &head.headers);
    let is_cancelled = Arc::new(AtomicBool::new(false));
    let guard = begin_run(state, process, head, &request, shard, cost, &is_cancelled);
    if head.headers.get("x-crash").is_some() {
        crash(state);
        futures::future::pending::<()>().await;
    }
    let response_bytes = head.headers.get_number("x-answer-bytes");
    let size = response_bytes.unwrap_or(DEFAULT_RESPONSE_BYTES) as usize;
    let is_streamed = size > MAX_UNSTREAMED_BYTES;
    let deadline = Instant::now() + if is_streamed { Duration::ZERO } else { cost };
    while Instant::now() < deadline {
        let remaining = deadline.saturating_duration_since(Instant::now());
        async_std::task::sleep(remaining.min(CANCEL_CHECK_INTERVAL)).await;
        let is_refused = shard.is_some() && state.check_request(process, epoch, shard).is_err();
        if is_cancelled.load(Ordering::SeqCst) || is_refused && has_lease_expired(state, process) {
            drop(guard);
            return FakeResponse::json(500, b"{\"error\":\"aborted\"}".to_vec());
        }
    }
    let mut headers = HeaderList::new();
    headers.push("x-request-id", request.as_str());
    headers.push("x-upstream", state.setup.id.as_str());
    FakeResponse {
        status: 200,
        headers,
        body: response_body(request_tag(&head.headers, &request), size),
        send_duration: if is_streamed { cost } else { Duration::ZERO },
        run_guard: Some(guard),
    }
}

fn has_lease_expired(state: &UpstreamState, process: &UpstreamProcess) -> bool {
    let until = process.lease.lock().until_us();
    state.setup.checks_grants && until.is_none_or(|until| process.clock_us() >= until)
}

fn request_cost(
    state: &UpstreamState,
    process: &UpstreamProcess,
    headers: &HeaderList,
) -> Duration {
    let requested_ms = headers.get_number("x-cost-ms").unwrap_or(DEFAULT_COST_MS);
    let mut cost = Duration::from_millis(requested_ms + u64::from(state.faults.lock().slow_ms));
    let cold_duration = Duration::from_millis(u64::from(state.setup.cold_duration_ms));
    if process.boot > 1 && process.started.elapsed() < cold_duration {
        cost += Duration::from_millis(u64::from(state.setup.cold_ms));
    }
    cost
}

fn begin_run(
    state: &Arc<UpstreamState>,
    process: &Arc<UpstreamProcess>,
    head: &RequestHead,
    request: &str,
    shard: Option<(ShardId, Epoch)>,
    cost: Duration,
    is_cancelled: &Arc<AtomicBool>,
) -> RunGuard {
    let run_id = state.run_log.begin(RunRecord {
        request: request_tag(&head.headers, request).to_owned(),
        idempotency_key: head.headers.get("idempotency-key").map(str::to_owned),
        service: state.setup.service.clone(),
        upstream: state.setup.id.clone(),
        shard,
        started: Instant::now(),
        ended: None,
        slot_ms: cost.as_millis() as u64,
    });
    let number = process.next_run_number.fetch_add(1, Ordering::SeqCst);
    process.running.lock().insert(
        number,
        RunningRequest {
            id: request.to_owned(),
            shard: shard.map(|(shard, _)| shard),
            is_cancelled: Arc::clone(is_cancelled),
        },
    );
    RunGuard {
        state: Arc::clone(state),
        process: Arc::clone(process),
        number,
        run_id,
    }
}

fn crash(state: &Arc<UpstreamState>) {
    state.kill();
    let upstream = FakeUpstream {
        state: Arc::clone(state),
    };
    async_std::task::spawn(async move {
        async_std::task::sleep(RESTART_DELAY_AFTER_CRASH).await;
        for _ in 0..20 {
            if upstream.restart().await.is_ok() {
                return;
            }
            async_std::task::sleep(RESTART_RETRY_DELAY).await;
        }
    });
}

fn shard_of(headers: &HeaderList) -> Option<(ShardId, Epoch)> {
    let shard = headers.get_number("x-shard")?;
    let epoch = headers.get_number("x-shard-epoch")?;
    Some((ShardId(shard as u32), Epoch(epoch)))
}

/// Returns the tag that the client gave the request, or else the request id.
fn request_tag<'a>(headers: &'a HeaderList, request: &'a str) -> &'a str {
    headers.get("x-trial-tag").unwrap_or(request)
}

/// Builds a response body that repeats the request's tag, so that every byte can be
/// checked.
fn response_body(tag: &str, size: usize) -> Vec<u8> {
    let pattern = format!("{tag};");
    let mut body = Vec::with_capacity(size);
    while body.len() < size {
        let remaining = size - body.len();
        body.extend_from_slice(&pattern.as_bytes()[..remaining.min(pattern.len())]);
    }
    body
}

fn occurs(percent: u8) -> bool {
    percent > 0 && fastrand::u8(0..100) < percent
}

async fn write_response(
    state: &UpstreamState,
    process: &UpstreamProcess,
    connection: &mut Connection<TcpStream>,
    mut response: FakeResponse,
) -> bool {
    let faults = *state.faults.lock();
    let is_from_run = response.run_guard.is_some();
    if is_from_run && occurs(faults.crossed_percent) {
        swap_with_previous_response(process, &mut response);
    }
    response
        .headers
        .push("content-length", response.body.len().to_string());
    let mut bytes = encode_response_head(response.status, &response.headers);
    if is_from_run && occurs(faults.truncated_percent) {
        bytes.extend_from_slice(&response.body[..response.body.len() / 2]);
        let _closed_anyway = connection.write(&bytes).await;
        return false;
    }
    let is_written = if response.send_duration.is_zero() {
        bytes.extend_from_slice(&response.body);
        connection.write(&bytes).await.is_ok()
    } else {
        write_streamed(state, process, connection, &bytes, &response).await
    };
    drop(response.run_guard.take());
    if is_from_run && occurs(faults.doubled_percent) {
        let mut duplicate = encode_response_head(response.status, &response.headers);
        duplicate.extend_from_slice(&response.body);
        return connection.write(&duplicate).await.is_ok();
    }
    is_written
}

/// Replaces the id and body of a response by those of the previous one, and keeps the
/// replaced ones for the next swap.
fn swap_with_previous_response(process: &UpstreamProcess, response: &mut FakeResponse) {
    let current_id = response.headers.get("x-request-id").unwrap_or_default();
    let current = (current_id.to_owned(), response.body.clone());
    let previous = process.previous_response.lock().replace(current);
    let Some((request, body)) = previous else {
        return;
    };
    response.headers.remove_where(|name| name == "x-request-id");
    response.headers.push("x-request-id", request);
    response.body = body;
}

async fn write_streamed(
    state: &UpstreamState,
    process: &UpstreamProcess,
    connection: &mut Connection<TcpStream>,
    head: &[u8],
    response: &FakeResponse,
) -> bool {
    if connection.write(head).await.is_err() {
        return false;
    }
    let chunk_bytes = response.body.len().div_ceil(STREAM_CHUNKS).max(1);
    for chunk in response.body.chunks(chunk_bytes) {
        async_std::task::sleep(response.send_duration / STREAM_CHUNKS as u32).await;
        state.wait_thawed().await;
        if process.has_exited() || connection.write(chunk).await.is_err() {
            return false;
        }
    }
    true
}
