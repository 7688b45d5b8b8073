//! The upstream's HTTP side.

use crate::upstream::{RunningWork, UpstreamLife, UpstreamState};
use crate::{FakeUpstream, RunId, RunRecord};
use async_std::net::{TcpListener, TcpStream};
use h1::{Connection, HeadLimits, HeaderList, RequestHead, encode_response_head};
use kernel::{Epoch, ShardId};
use owner::LeaseRequest;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const MAX_BODY_BYTES: u64 = 64 << 20;
const RESTART_PAUSE: Duration = Duration::from_millis(20);
const WORK_STEP: Duration = Duration::from_millis(5);
const RESTART_AFTER_CRASH: Duration = Duration::from_millis(400);
const DEFAULT_COST_MS: u64 = 5;
const DEFAULT_ANSWER_BYTES: u64 = 64;
/// Answers above this size are sent in pieces over the time of the work.
const STREAMED_ABOVE_BYTES: usize = 256 << 10;
const STREAM_PIECES: usize = 20;

/// An answer, ready to be written.
#[derive(Debug)]
struct FakeAnswer {
    status: u16,
    headers: HeaderList,
    body: Vec<u8>,
    /// Time over which the body is sent.
    pace: Duration,
    run: Option<RunGuard>,
}

impl FakeAnswer {
    fn json(status: u16, body: Vec<u8>) -> Self {
        let mut headers = HeaderList::new();
        headers.push("content-type", "application/json");
        Self {
            status,
            headers,
            body,
            pace: Duration::ZERO,
            run: None,
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
            pace: Duration::ZERO,
            run: None,
        }
    }
}

/// Gives the slot back and records the end of a run when dropped.
#[derive(Debug)]
struct RunGuard {
    state: Arc<UpstreamState>,
    life: Arc<UpstreamLife>,
    work: u64,
    run: RunId,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.life.running.lock().swap_remove(&self.work);
        let _fits = self.life.slot_tokens.0.try_send(());
        if !self.life.is_dead() {
            self.state.run_log.end(self.run);
        }
    }
}

pub(crate) async fn serve_listener(
    state: Arc<UpstreamState>,
    life: Arc<UpstreamLife>,
    listener: TcpListener,
) {
    use futures::future::{Either, select};
    use std::pin::pin;
    loop {
        let accepting = pin!(listener.accept());
        let ended = pin!(life.scope.closed());
        let Either::Left((accepted, _)) = select(accepting, ended).await else {
            break;
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        state.wait_thawed().await;
        let has_room = life.connections.lock().len() < state.setup.connections as usize;
        if !has_room || life.is_dead() || stream.set_nodelay(true).is_err() {
            continue;
        }
        let number = life.next_connection.fetch_add(1, Ordering::SeqCst);
        life.connections.lock().insert(number, stream.clone());
        let (state, life) = (Arc::clone(&state), Arc::clone(&life));
        async_std::task::spawn(async move {
            serve_connection(&state, &life, number, stream).await;
            life.connections.lock().swap_remove(&number);
        });
    }
    // A process that ends closes its listener and its connections together.
    drop(listener);
    life.close_connections();
}

async fn serve_connection(
    state: &Arc<UpstreamState>,
    life: &Arc<UpstreamLife>,
    number: u64,
    stream: TcpStream,
) {
    let mut connection = Connection::new(stream);
    loop {
        let read = read_message(&mut connection).await;
        state.wait_thawed().await;
        let Some((head, body)) = read else {
            return;
        };
        if life.is_dead() {
            return;
        }
        if is_silent(life, number) {
            futures::future::pending::<()>().await;
        }
        let answer = respond(state, life, &head, &body).await;
        state.wait_thawed().await;
        if is_silent(life, number) {
            // The work is done and its slot free; the answer is written to nobody.
            drop(answer);
            return futures::future::pending::<()>().await;
        }
        if life.is_dead() || !write_answer(state, life, &mut connection, answer).await {
            return;
        }
    }
}

fn is_silent(life: &UpstreamLife, number: u64) -> bool {
    number < life.silent_below.load(Ordering::SeqCst)
}

async fn read_message(connection: &mut Connection<TcpStream>) -> Option<(RequestHead, Vec<u8>)> {
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
    life: &Arc<UpstreamLife>,
    head: &RequestHead,
    body: &[u8],
) -> FakeAnswer {
    match head.target.as_str() {
        "/control/lease" => respond_to_order(state, life, body),
        "/control/cancel" => cancel(life, body),
        "/load" => report_load(state, life),
        "/health" => FakeAnswer::json(200, b"{\"healthy\":true}".to_vec()),
        _ => run_work(state, life, head).await,
    }
}

fn respond_to_order(state: &UpstreamState, life: &UpstreamLife, body: &[u8]) -> FakeAnswer {
    let Ok(order) = serde_json::from_slice::<LeaseRequest>(body) else {
        return FakeAnswer::json(400, b"{\"error\":\"malformed lease order\"}".to_vec());
    };
    match state.request_lease(life, &order) {
        Ok(reply) => FakeAnswer::json(200, serde_json::to_vec(&reply).unwrap_or_default()),
        Err(crate::upstream_lease::LeaseRefusal::Superseded(epoch)) => {
            let body = serde_json::json!({ "superseded": epoch });
            FakeAnswer::json(409, body.to_string().into_bytes())
        }
        Err(refusal) => {
            let body = serde_json::json!({ "error": refusal.as_str() });
            FakeAnswer::json(400, body.to_string().into_bytes())
        }
    }
}

fn cancel(life: &UpstreamLife, body: &[u8]) -> FakeAnswer {
    let request = String::from_utf8_lossy(body);
    for work in life.running.lock().values() {
        if work.request == request {
            work.is_cancelled.store(true, Ordering::SeqCst);
        }
    }
    FakeAnswer::json(200, b"{}".to_vec())
}

fn report_load(state: &UpstreamState, life: &UpstreamLife) -> FakeAnswer {
    let running = if state.faults.lock().hides_load {
        0
    } else {
        life.running.lock().len()
    };
    let body = serde_json::json!({ "running": running, "slots": state.setup.slots });
    FakeAnswer::json(200, body.to_string().into_bytes())
}

async fn run_work(
    state: &Arc<UpstreamState>,
    life: &Arc<UpstreamLife>,
    head: &RequestHead,
) -> FakeAnswer {
    let headers = &head.headers;
    let request = headers.get("x-request-id").unwrap_or_default().to_owned();
    let epoch = Epoch(headers.get_number("x-primary-epoch").unwrap_or(0));
    let shard = shard_of(headers);
    if let Err(refusal) = state.check_work(life, epoch, shard) {
        return FakeAnswer::not_run(&request, refusal.as_str());
    }
    let waiting = life.waiting.fetch_add(1, Ordering::SeqCst);
    let sheds = percent_hits(state.faults.lock().shed_percent) || waiting >= state.setup.queue;
    let token = if sheds {
        None
    } else {
        life.slot_tokens.1.recv().await.ok()
    };
    life.waiting.fetch_sub(1, Ordering::SeqCst);
    if token.is_none() {
        return FakeAnswer::not_run(&request, "shed");
    }
    // The grant may have lapsed while the request waited for a slot.
    state.wait_thawed().await;
    if let Err(refusal) = state.check_work(life, epoch, shard) {
        let _fits = life.slot_tokens.0.try_send(());
        return FakeAnswer::not_run(&request, refusal.as_str());
    }
    run_in_slot(state, life, head, request, epoch, shard).await
}

async fn run_in_slot(
    state: &Arc<UpstreamState>,
    life: &Arc<UpstreamLife>,
    head: &RequestHead,
    request: String,
    epoch: Epoch,
    shard: Option<(ShardId, Epoch)>,
) -> FakeAnswer {
    let cost = work_cost(state, life, &head.headers);
    let is_cancelled = Arc::new(AtomicBool::new(false));
    let guard = begin_run(state, life, head, &request, shard, cost, &is_cancelled);
    if head.headers.get("x-crash").is_some() {
        crash(state);
        futures::future::pending::<()>().await;
    }
    let answer_bytes = head.headers.get_number("x-answer-bytes");
    let size = answer_bytes.unwrap_or(DEFAULT_ANSWER_BYTES) as usize;
    let is_streamed = size > STREAMED_ABOVE_BYTES;
    let deadline = Instant::now() + if is_streamed { Duration::ZERO } else { cost };
    while Instant::now() < deadline {
        let left = deadline.saturating_duration_since(Instant::now());
        async_std::task::sleep(left.min(WORK_STEP)).await;
        let has_lapsed = shard.is_some() && state.check_work(life, epoch, shard).is_err();
        if is_cancelled.load(Ordering::SeqCst) || has_lapsed && is_lease_over(state, life) {
            drop(guard);
            return FakeAnswer::json(500, b"{\"error\":\"aborted\"}".to_vec());
        }
    }
    let mut headers = HeaderList::new();
    headers.push("x-request-id", request.as_str());
    headers.push("x-upstream", state.setup.id.as_str());
    FakeAnswer {
        status: 200,
        headers,
        body: answer_body(tag_of(&head.headers, &request), size),
        pace: if is_streamed { cost } else { Duration::ZERO },
        run: Some(guard),
    }
}

fn is_lease_over(state: &UpstreamState, life: &UpstreamLife) -> bool {
    let until = life.lease.lock().until_us();
    state.setup.checks_grants && until.is_none_or(|until| life.clock_us() >= until)
}

fn work_cost(state: &UpstreamState, life: &UpstreamLife, headers: &HeaderList) -> Duration {
    let asked = headers.get_number("x-cost-ms").unwrap_or(DEFAULT_COST_MS);
    let mut cost = Duration::from_millis(asked + u64::from(state.faults.lock().slow_ms));
    let cold_span = Duration::from_millis(u64::from(state.setup.cold_span_ms));
    if life.boot > 1 && life.started.elapsed() < cold_span {
        cost += Duration::from_millis(u64::from(state.setup.cold_ms));
    }
    cost
}

fn begin_run(
    state: &Arc<UpstreamState>,
    life: &Arc<UpstreamLife>,
    head: &RequestHead,
    request: &str,
    shard: Option<(ShardId, Epoch)>,
    cost: Duration,
    is_cancelled: &Arc<AtomicBool>,
) -> RunGuard {
    let run = state.run_log.begin(RunRecord {
        request: tag_of(&head.headers, request).to_owned(),
        idempotency_key: head.headers.get("idempotency-key").map(str::to_owned),
        service: state.setup.service.clone(),
        upstream: state.setup.id.clone(),
        shard,
        started: Instant::now(),
        ended: None,
        slot_ms: cost.as_millis() as u64,
    });
    let work = life.next_work.fetch_add(1, Ordering::SeqCst);
    life.running.lock().insert(
        work,
        RunningWork {
            request: request.to_owned(),
            shard: shard.map(|(shard, _)| shard),
            is_cancelled: Arc::clone(is_cancelled),
        },
    );
    RunGuard {
        state: Arc::clone(state),
        life: Arc::clone(life),
        work,
        run,
    }
}

fn crash(state: &Arc<UpstreamState>) {
    state.kill();
    let upstream = FakeUpstream {
        state: Arc::clone(state),
    };
    async_std::task::spawn(async move {
        async_std::task::sleep(RESTART_AFTER_CRASH).await;
        for _ in 0..20 {
            if upstream.restart().await.is_ok() {
                return;
            }
            async_std::task::sleep(RESTART_PAUSE).await;
        }
    });
}

fn shard_of(headers: &HeaderList) -> Option<(ShardId, Epoch)> {
    let shard = headers.get_number("x-shard")?;
    let epoch = headers.get_number("x-shard-epoch")?;
    Some((ShardId(shard as u32), Epoch(epoch)))
}

/// Returns the caller's own mark of a request, or its id.
fn tag_of<'a>(headers: &'a HeaderList, request: &'a str) -> &'a str {
    headers.get("x-trial-tag").unwrap_or(request)
}

/// Builds a body that names its request and whose every byte follows from it.
fn answer_body(request: &str, size: usize) -> Vec<u8> {
    let pattern = format!("{request};");
    let mut body = Vec::with_capacity(size);
    while body.len() < size {
        let left = size - body.len();
        body.extend_from_slice(&pattern.as_bytes()[..left.min(pattern.len())]);
    }
    body
}

fn percent_hits(percent: u8) -> bool {
    percent > 0 && fastrand::u8(0..100) < percent
}

async fn write_answer(
    state: &UpstreamState,
    life: &UpstreamLife,
    connection: &mut Connection<TcpStream>,
    mut answer: FakeAnswer,
) -> bool {
    let faults = *state.faults.lock();
    let is_work = answer.run.is_some();
    if is_work && percent_hits(faults.crossed_percent) {
        cross_answer(life, &mut answer);
    }
    answer
        .headers
        .push("content-length", answer.body.len().to_string());
    let mut bytes = encode_response_head(answer.status, &answer.headers);
    if is_work && percent_hits(faults.truncated_percent) {
        bytes.extend_from_slice(&answer.body[..answer.body.len() / 2]);
        let _closed_anyway = connection.write(&bytes).await;
        return false;
    }
    let is_written = if answer.pace.is_zero() {
        bytes.extend_from_slice(&answer.body);
        connection.write(&bytes).await.is_ok()
    } else {
        write_paced(state, life, connection, &bytes, &answer).await
    };
    drop(answer.run.take());
    if is_work && percent_hits(faults.doubled_percent) {
        let mut again = encode_response_head(answer.status, &answer.headers);
        again.extend_from_slice(&answer.body);
        return connection.write(&again).await.is_ok();
    }
    is_written
}

/// Replaces an answer by the one that was written before it.
fn cross_answer(life: &UpstreamLife, answer: &mut FakeAnswer) {
    let own_id = answer.headers.get("x-request-id").unwrap_or_default();
    let own = (own_id.to_owned(), answer.body.clone());
    let other = life.last_answer.lock().replace(own);
    let Some((request, body)) = other else {
        return;
    };
    answer.headers.remove_where(|name| name == "x-request-id");
    answer.headers.push("x-request-id", request);
    answer.body = body;
}

async fn write_paced(
    state: &UpstreamState,
    life: &UpstreamLife,
    connection: &mut Connection<TcpStream>,
    head: &[u8],
    answer: &FakeAnswer,
) -> bool {
    if connection.write(head).await.is_err() {
        return false;
    }
    let piece = answer.body.len().div_ceil(STREAM_PIECES).max(1);
    for part in answer.body.chunks(piece) {
        async_std::task::sleep(answer.pace / STREAM_PIECES as u32).await;
        state.wait_thawed().await;
        if life.is_dead() || connection.write(part).await.is_err() {
            return false;
        }
    }
    true
}
