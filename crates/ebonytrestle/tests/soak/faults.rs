//! Faults from outside, drawn from a seed; several may be in force at a time.

use crate::fleet::{SoakFleet, SoakHost, SoakUpstream};
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

/// Mean time between two faults.
const MEAN_PAUSE_MS: u64 = 700;
/// Kinds of faults.
const KINDS: u32 = 15;
/// Upstreams of a service of which one may leave; the others carry its work.
const LEAST_STAYING: usize = 2;

/// Plays faults for a time, and ends when the last one has ended.
pub async fn play(fleet: &SoakFleet, seed: u64, span: Duration) {
    let mut rng = Rng::with_seed(seed);
    let until = Instant::now() + span;
    let mut running = FuturesUnordered::new();
    let mut number = 0;
    while Instant::now() < until {
        let pause = Duration::from_millis(rng.u64(..MEAN_PAUSE_MS * 2));
        let mut waiting = async_std::task::sleep(pause).boxed_local().fuse();
        loop {
            futures::select! {
                () = waiting => break,
                _ended = running.select_next_some() => {}
            }
        }
        number += 1;
        running.push(draw(fleet, &mut rng, number));
    }
    while running.next().await.is_some() {}
}

fn draw<'a>(fleet: &'a SoakFleet, rng: &mut Rng, number: u32) -> LocalBoxFuture<'a, ()> {
    let host = &fleet.hosts[rng.usize(..fleet.hosts.len())];
    let service = if rng.bool() { "keyed" } else { "plain" };
    let staying = fleet.staying(service);
    let upstream = Arc::clone(&staying[rng.usize(..staying.len())]);
    let short = Duration::from_millis(rng.u64(200..1_500));
    let long = Duration::from_millis(rng.u64(500..4_000));
    let delay_ms = rng.u64(50..250);
    let kind = rng.u32(..KINDS);
    println!(
        "fault={number} kind={kind} host={} upstream={} short_ms={} long_ms={}",
        host.name,
        upstream.upstream.id,
        short.as_millis(),
        long.as_millis(),
    );
    match kind {
        0 => on_process(host, async move { host.kill_and_restart(short).await }),
        1 => on_process(host, pause(fleet, host, long)),
        2 => on_process(host, async move { host.stop_and_restart().await }),
        3 => on_process(host, async move { host.signal(Signal::HUP) }),
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
        11 => turn_away(fleet, host, long),
        12 => harm_store(fleet, rng.bool(), long),
        13 => replace(fleet, upstream, number, staying.len()),
        _ => change(fleet, &upstream, rng.bool()),
    }
}

/// Runs a fault on a host's process, unless another one is at work there.
fn on_process<'a>(
    host: &'a SoakHost,
    fault: impl Future<Output = ()> + 'a,
) -> LocalBoxFuture<'a, ()> {
    async move {
        if host.is_busy.swap(true, Ordering::SeqCst) {
            return;
        }
        fault.await;
        host.is_busy.store(false, Ordering::SeqCst);
    }
    .boxed_local()
}

async fn pause(fleet: &SoakFleet, host: &SoakHost, span: Duration) {
    host.is_disturbed.store(true, Ordering::SeqCst);
    host.signal(Signal::STOP);
    async_std::task::sleep(span).await;
    *fleet.resumed_at.lock() = Some(Instant::now());
    host.signal(Signal::CONT);
}

fn cut_upstream<'a>(
    soaked: Arc<SoakUpstream>,
    mode: RelayMode,
    span: Duration,
) -> LocalBoxFuture<'a, ()> {
    async move {
        soaked.relay.set_mode(mode);
        async_std::task::sleep(span).await;
        soaked.relay.set_mode(RelayMode::Pass);
    }
    .boxed_local()
}

/// Lets the store, or a path to it, misbehave for a time.
async fn harm(fleet: &SoakFleet, span: Duration) {
    let began_at = Instant::now();
    let ends_at = began_at + span;
    fleet.store_harms.lock().push((began_at, ends_at));
    async_std::task::sleep(span).await;
}

fn cut_store<'a>(
    fleet: &'a SoakFleet,
    host: &'a SoakHost,
    mode: RelayMode,
    span: Duration,
) -> LocalBoxFuture<'a, ()> {
    async move {
        host.relay.set_mode(mode);
        harm(fleet, span).await;
        host.relay.set_mode(RelayMode::Pass);
    }
    .boxed_local()
}

fn turn_away<'a>(
    fleet: &'a SoakFleet,
    host: &'a SoakHost,
    span: Duration,
) -> LocalBoxFuture<'a, ()> {
    async move {
        fleet.store.turn_away_from(host.door);
        harm(fleet, span).await;
        fleet.store.readmit_all();
    }
    .boxed_local()
}

/// Lets the store refuse everything, or lose its answers to writes.
fn harm_store(fleet: &SoakFleet, is_down: bool, span: Duration) -> LocalBoxFuture<'_, ()> {
    let switch = if is_down {
        &fleet.store.is_down
    } else {
        &fleet.store.loses_answers
    };
    async move {
        switch.store(true, Ordering::SeqCst);
        harm(fleet, span).await;
        switch.store(false, Ordering::SeqCst);
        fleet.store.is_forgetful.store(is_down, Ordering::SeqCst);
    }
    .boxed_local()
}

/// Lets an upstream leave after another one of its service has joined.
fn replace(
    fleet: &SoakFleet,
    soaked: Arc<SoakUpstream>,
    number: u32,
    staying: usize,
) -> LocalBoxFuture<'_, ()> {
    async move {
        let service = soaked.upstream.service.clone();
        fleet.add_upstream(&format!("new-{number}"), &service).await;
        if staying < LEAST_STAYING || soaked.left_at.lock().is_some() {
            return;
        }
        soaked.upstream.register(&fleet.store, "draining");
        *soaked.left_at.lock() = Some(Instant::now());
        async_std::task::sleep(Duration::from_secs(3)).await;
        fleet.store.remove("servers", &soaked.upstream.id);
    }
    .boxed_local()
}

/// Restarts an upstream under its id, or sends a newer sheet.
fn change<'a>(
    fleet: &'a SoakFleet,
    soaked: &Arc<SoakUpstream>,
    is_restart: bool,
) -> LocalBoxFuture<'a, ()> {
    let soaked = Arc::clone(soaked);
    async move {
        if is_restart && soaked.left_at.lock().is_none() {
            soaked.upstream.restart(&fleet.store);
            return;
        }
        let version = fleet.sheet_version.fetch_add(3, Ordering::SeqCst) + 3;
        fleet.store.set("op", "config", &sheet(version));
    }
    .boxed_local()
}
