//! External faults, chosen by a seeded generator; several may be active at a time.

use crate::fleet::{Fleet, HostProcess, RelayedUpstream};
use crate::stand_in::sheet;
use fake::RelayMode;
use fastrand::Rng;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use rustix::process::Signal;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Mean time between the starts of two faults.
const MEAN_INTERVAL_MS: u64 = 700;
/// Number of fault kinds.
const FAULT_KIND_COUNT: u32 = 15;
/// Minimum number of upstreams of a service for one to leave; the others take over its
/// requests.
const MIN_UPSTREAMS_TO_LEAVE: usize = 2;

/// Starts faults for `duration`, and returns when the last one has ended.
pub async fn inject_faults(fleet: &Fleet, seed: u64, duration: Duration) {
    let mut rng = Rng::with_seed(seed);
    let deadline = Instant::now() + duration;
    let mut running = FuturesUnordered::new();
    let mut number = 0;
    while Instant::now() < deadline {
        let interval = Duration::from_millis(rng.u64(..MEAN_INTERVAL_MS * 2));
        let mut next_fault = async_std::task::sleep(interval).boxed_local().fuse();
        loop {
            futures::select! {
                () = next_fault => break,
                _ended = running.select_next_some() => {}
            }
        }
        number += 1;
        running.push(pick_fault(fleet, &mut rng, number));
    }
    while running.next().await.is_some() {}
}

/// Chooses a random fault and returns the future that injects and ends it.
fn pick_fault<'a>(fleet: &'a Fleet, rng: &mut Rng, number: u32) -> LocalBoxFuture<'a, ()> {
    let host = &fleet.hosts[rng.usize(..fleet.hosts.len())];
    let service = if rng.bool() { "keyed" } else { "plain" };
    let remaining = fleet.remaining_upstreams(service);
    let upstream = Arc::clone(&remaining[rng.usize(..remaining.len())]);
    let short = Duration::from_millis(rng.u64(200..1_500));
    let long = Duration::from_millis(rng.u64(500..4_000));
    let delay_ms = rng.u64(50..250);
    let kind = rng.u32(..FAULT_KIND_COUNT);
    println!(
        "fault={number} kind={kind} host={} upstream={} short_ms={} long_ms={}",
        host.name,
        upstream.upstream.id,
        short.as_millis(),
        long.as_millis(),
    );
    match kind {
        0 => inject_process_fault(host, async move { host.kill_and_restart(short).await }),
        1 => inject_process_fault(host, pause_host(fleet, host, long)),
        2 => inject_process_fault(host, async move { host.stop_and_restart().await }),
        3 => inject_process_fault(host, async move { host.signal(Signal::HUP) }),
        4 => cut_upstream(upstream, RelayMode::Reset, short),
        5 => cut_upstream(upstream, RelayMode::Discard, long),
        6 => cut_upstream(upstream, RelayMode::DiscardResponses, long),
        7 => async move {
            upstream.relay.set_delay_ms(delay_ms);
            async_std::task::sleep(long).await;
            upstream.relay.set_delay_ms(0);
        }
        .boxed_local(),
        8 => async move { upstream.relay.silence_connections() }.boxed_local(),
        9 => cut_store(fleet, host, RelayMode::Discard, long),
        10 => cut_store(fleet, host, RelayMode::DiscardResponses, short),
        11 => refuse_host(fleet, host, long),
        12 => break_store(fleet, rng.bool(), long),
        13 => replace_upstream(fleet, upstream, number, remaining.len()),
        _ => restart_or_update_sheet(fleet, &upstream, rng.bool()),
    }
}

/// Injects a fault of a host's process, unless another one is active there.
fn inject_process_fault<'a>(
    host: &'a HostProcess,
    fault: impl Future<Output = ()> + 'a,
) -> LocalBoxFuture<'a, ()> {
    async move {
        if host.has_process_fault.swap(true, Ordering::SeqCst) {
            return;
        }
        fault.await;
        host.has_process_fault.store(false, Ordering::SeqCst);
    }
    .boxed_local()
}

async fn pause_host(fleet: &Fleet, host: &HostProcess, duration: Duration) {
    host.may_cut_connections.store(true, Ordering::SeqCst);
    host.signal(Signal::STOP);
    async_std::task::sleep(duration).await;
    *fleet.resumed_at.lock() = Some(Instant::now());
    host.signal(Signal::CONT);
}

fn cut_upstream<'a>(
    relayed: Arc<RelayedUpstream>,
    mode: RelayMode,
    duration: Duration,
) -> LocalBoxFuture<'a, ()> {
    async move {
        relayed.relay.set_mode(mode);
        async_std::task::sleep(duration).await;
        relayed.relay.set_mode(RelayMode::Pass);
    }
    .boxed_local()
}

/// Records a fault of the store or of a path to it, and waits for its end.
async fn record_store_fault(fleet: &Fleet, duration: Duration) {
    let began_at = Instant::now();
    let ends_at = began_at + duration;
    fleet.store_faults.lock().push((began_at, ends_at));
    async_std::task::sleep(duration).await;
}

fn cut_store<'a>(
    fleet: &'a Fleet,
    host: &'a HostProcess,
    mode: RelayMode,
    duration: Duration,
) -> LocalBoxFuture<'a, ()> {
    async move {
        host.relay.set_mode(mode);
        record_store_fault(fleet, duration).await;
        host.relay.set_mode(RelayMode::Pass);
    }
    .boxed_local()
}

/// Lets the store refuse all calls of a host.
fn refuse_host<'a>(
    fleet: &'a Fleet,
    host: &'a HostProcess,
    duration: Duration,
) -> LocalBoxFuture<'a, ()> {
    async move {
        fleet.store.refuse_address(host.store_address);
        record_store_fault(fleet, duration).await;
        fleet.store.clear_refusals();
    }
    .boxed_local()
}

/// Lets the store refuse all calls, or lose its responses to writes.
fn break_store(fleet: &Fleet, is_down: bool, duration: Duration) -> LocalBoxFuture<'_, ()> {
    let switch = if is_down {
        &fleet.store.is_down
    } else {
        &fleet.store.loses_answers
    };
    async move {
        switch.store(true, Ordering::SeqCst);
        record_store_fault(fleet, duration).await;
        switch.store(false, Ordering::SeqCst);
        fleet
            .store
            .has_lost_history
            .store(is_down, Ordering::SeqCst);
    }
    .boxed_local()
}

/// Adds an upstream to a service, then lets one that was there leave.
fn replace_upstream(
    fleet: &Fleet,
    relayed: Arc<RelayedUpstream>,
    number: u32,
    remaining: usize,
) -> LocalBoxFuture<'_, ()> {
    async move {
        let service = relayed.upstream.service.clone();
        fleet.add_upstream(&format!("new-{number}"), &service).await;
        if remaining < MIN_UPSTREAMS_TO_LEAVE || relayed.leaving_since.lock().is_some() {
            return;
        }
        relayed.upstream.register(&fleet.store, "draining");
        *relayed.leaving_since.lock() = Some(Instant::now());
        async_std::task::sleep(Duration::from_secs(3)).await;
        fleet.store.remove("servers", &relayed.upstream.id);
    }
    .boxed_local()
}

/// Restarts an upstream with the same id, or writes a newer sheet to the store.
fn restart_or_update_sheet<'a>(
    fleet: &'a Fleet,
    relayed: &Arc<RelayedUpstream>,
    is_restart: bool,
) -> LocalBoxFuture<'a, ()> {
    let relayed = Arc::clone(relayed);
    async move {
        if is_restart && relayed.leaving_since.lock().is_none() {
            relayed.upstream.restart(&fleet.store);
            return;
        }
        let version = fleet.sheet_version.fetch_add(3, Ordering::SeqCst) + 3;
        fleet.store.set("op", "config", &sheet(version));
    }
    .boxed_local()
}
