//! Open-loop load: requests are sent when they are due, even if previous ones have
//! not been answered.

use crate::balancer::{ChosenHost, LoadBalancer};
use crate::client::{ClientOutcome, ClientPool, ClientRequest};
use crate::record::{RequestLog, RequestRecord};
use crate::{LoadPlan, TrialPlan};
use h1::HeaderList;
use indexmap::IndexSet;
use kernel::{CustomerName, Verdict};
use parking_lot::{Mutex, RwLock};
use sheet::{KeyLocation, KindPlan};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Maximum number of times that a client resends a non-idempotent request without a
/// successful response, as real clients do.
const MAX_RESENDS: u32 = 3;
const RESEND_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of connection attempts, each to a randomly chosen host.
const MAX_CONNECT_ATTEMPTS: u32 = 4;

/// Sends the load of a trial and records the outcomes; clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct LoadSender {
    shared: Arc<SenderShared>,
}

#[derive(Debug)]
struct SenderShared {
    kinds: Vec<LoadKind>,
    balancer: LoadBalancer,
    pool: ClientPool,
    log: RequestLog,
    rng: Mutex<fastrand::Rng>,
    next_request_number: AtomicU64,
    in_flight: AtomicU64,
    stopping_hosts: RwLock<IndexSet<String>>,
    is_stopped: AtomicBool,
}

/// A request kind of the sheet with its load.
#[derive(Clone, Debug)]
struct LoadKind {
    load: LoadPlan,
    kind: KindPlan,
    /// Cumulative probability of the keys, from 0 to 1.
    key_distribution: Vec<f64>,
}

/// Rate, duration and selection of requests to send.
#[derive(Clone, Debug)]
pub(crate) struct LoadSpec {
    /// Requests per second.
    pub rate: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Service and kind to send; `None` for the plan's mix.
    pub only: Option<(kernel::ServiceName, String)>,
    /// Customer of all requests; `None` for the plan's customers.
    pub customer: Option<CustomerName>,
    /// Whether the requests are part of a flood.
    pub is_flood: bool,
}

impl LoadSender {
    pub fn new(plan: &TrialPlan, balancer: LoadBalancer, seed: u64) -> Self {
        let mut kinds = Vec::new();
        for load in &plan.load {
            let service = &plan.sheet.services[&load.service];
            let found = service.kinds.iter().find(|kind| kind.name == load.kind);
            let Some(kind) = found else {
                continue;
            };
            kinds.push(LoadKind {
                load: load.clone(),
                kind: kind.clone(),
                key_distribution: cumulative_probabilities(load.keys, load.skew),
            });
        }
        Self {
            shared: Arc::new(SenderShared {
                kinds,
                balancer,
                pool: ClientPool::default(),
                log: RequestLog::default(),
                rng: Mutex::new(fastrand::Rng::with_seed(seed)),
                next_request_number: AtomicU64::new(1),
                in_flight: AtomicU64::new(0),
                stopping_hosts: RwLock::default(),
                is_stopped: AtomicBool::new(false),
            }),
        }
    }

    pub fn log(&self) -> &RequestLog {
        &self.shared.log
    }

    /// Records that a host is being stopped as planned.
    ///
    /// Requests that it cuts from now on count as cut by the planned stop.
    pub fn record_planned_stop(&self, host: &str) {
        self.shared.stopping_hosts.write().insert(host.to_owned());
    }

    /// Sends requests as specified and returns once the last one has been sent.
    pub async fn send(&self, spec: LoadSpec) {
        let started = Instant::now();
        let mut scheduled_at = started;
        while scheduled_at < started + spec.duration
            && !self.shared.is_stopped.load(Ordering::Relaxed)
        {
            let delay = scheduled_at.saturating_duration_since(Instant::now());
            if !delay.is_zero() {
                async_std::task::sleep(delay).await;
            }
            if let Some((index, key, customer)) = self.pick_request(&spec) {
                self.spawn_request(index, key, customer, scheduled_at, spec.is_flood);
            }
            // Exponentially distributed intervals give a Poisson process.
            let interval = -self.shared.rng.lock().f64().max(1e-9).ln() / spec.rate;
            scheduled_at += Duration::from_secs_f64(interval);
        }
    }

    /// Stops sending and waits until all requests have ended, for at most `timeout`.
    pub async fn drain(&self, timeout: Duration) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        let started = Instant::now();
        while self.shared.in_flight.load(Ordering::SeqCst) > 0 && started.elapsed() < timeout {
            async_std::task::sleep(Duration::from_millis(10)).await;
        }
    }

    fn pick_request(&self, spec: &LoadSpec) -> Option<(usize, u32, CustomerName)> {
        let shared = &self.shared;
        let mut rng = shared.rng.lock();
        let weight_of = |kind: &LoadKind| match &spec.only {
            Some((service, name)) => {
                let is_wanted = kind.load.service == *service && kind.load.kind == *name;
                if is_wanted { 1.0 } else { 0.0 }
            }
            None => kind.load.weight,
        };
        let total: f64 = shared.kinds.iter().map(weight_of).sum();
        let mut remaining_weight = rng.f64() * total;
        let index = shared.kinds.iter().position(|kind| {
            remaining_weight -= weight_of(kind);
            remaining_weight < 0.0
        })?;
        let kind = &shared.kinds[index];
        let sample = rng.f64();
        let key = kind
            .key_distribution
            .partition_point(|probability| *probability < sample) as u32;
        let customers = &kind.load.customers;
        let customer = match &spec.customer {
            Some(customer) => customer.clone(),
            None if customers.is_empty() => CustomerName::from("default"),
            None => customers[rng.usize(..customers.len())].clone(),
        };
        Some((index, key.min(kind.load.keys - 1), customer))
    }

    fn spawn_request(
        &self,
        index: usize,
        key: u32,
        customer: CustomerName,
        scheduled_at: Instant,
        is_flood: bool,
    ) {
        let sender = self.clone();
        sender.shared.in_flight.fetch_add(1, Ordering::SeqCst);
        async_std::task::spawn(async move {
            sender
                .send_with_resends(index, key, customer, scheduled_at, is_flood)
                .await;
            sender.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        });
    }

    async fn send_with_resends(
        &self,
        index: usize,
        key: u32,
        customer: CustomerName,
        scheduled_at: Instant,
        is_flood: bool,
    ) {
        let kind = &self.shared.kinds[index];
        let request_number = self
            .shared
            .next_request_number
            .fetch_add(1, Ordering::Relaxed);
        let mut previous_tags = Vec::new();
        let mut scheduled_at = scheduled_at;
        for resend in 0..=MAX_RESENDS {
            let tag = format!("t{request_number}.{resend}");
            let request =
                Self::build_request(kind, key, &customer, request_number, &tag, &previous_tags);
            let (outcome, host) = self.send_to_any_host(&request).await;
            let verdict = outcome.verdict;
            let record = RequestRecord {
                service: kind.load.service.clone(),
                rank: kind.kind.rank,
                customer: customer.clone(),
                tag: tag.clone(),
                scheduled_at,
                latency: scheduled_at.elapsed(),
                target_latency: Duration::from_millis(kind.load.target_ms),
                cost: Duration::from_millis(kind.load.cost_ms),
                verdict,
                is_cut_by_planned_stop: outcome.is_cut && self.is_stopping(host.as_ref()),
                cause: outcome.cause,
                is_incomplete: outcome.is_incomplete,
                is_crossed: outcome.is_crossed,
                is_flood,
            };
            self.shared.log.add(record);
            if verdict == Verdict::Ran || kind.kind.idempotent || is_flood {
                return;
            }
            previous_tags.push(tag);
            async_std::task::sleep(RESEND_DELAY).await;
            scheduled_at = Instant::now();
        }
    }

    fn is_stopping(&self, host: Option<&ChosenHost>) -> bool {
        host.is_some_and(|host| self.shared.stopping_hosts.read().contains(&host.name))
    }

    /// Sends a request to a random host; chooses again if it cannot connect.
    async fn send_to_any_host(
        &self,
        request: &ClientRequest,
    ) -> (ClientOutcome, Option<ChosenHost>) {
        let mut last_failure = None;
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let chosen = self.shared.balancer.choose(&mut self.shared.rng.lock());
            let Some(host) = chosen else {
                break;
            };
            let outcome = self.shared.pool.send(&host.address, request).await;
            if !outcome.is_unsent {
                return (outcome, Some(host));
            }
            last_failure = Some((outcome, Some(host)));
        }
        last_failure.unwrap_or_else(|| {
            let outcome = ClientOutcome {
                verdict: Verdict::NotRun,
                cause: "no-host".to_owned(),
                is_incomplete: false,
                is_crossed: false,
                is_cut: false,
                is_unsent: true,
            };
            (outcome, None)
        })
    }

    fn build_request(
        kind: &LoadKind,
        key: u32,
        customer: &CustomerName,
        request_number: u64,
        tag: &str,
        previous_tags: &[String],
    ) -> ClientRequest {
        let mut headers = HeaderList::new();
        headers.push("x-customer", customer.as_str());
        headers.push("x-cost-ms", kind.load.cost_ms.to_string());
        headers.push("x-answer-bytes", kind.load.answer_bytes.to_string());
        if !kind.kind.idempotent {
            headers.push("idempotency-key", format!("charge-{request_number}"));
        }
        let mut target = format!("/{}{}", kind.load.service, kind.kind.path);
        let name = format!("key-{key}");
        match &kind.kind.key {
            Some(KeyLocation::Path(parameter)) => {
                target = target.replace(&format!("{{{parameter}}}"), &name);
            }
            Some(KeyLocation::Query(parameter)) => {
                target = format!("{target}?{parameter}={name}");
            }
            Some(KeyLocation::Header(parameter)) => {
                headers.push(&parameter.to_ascii_lowercase(), name.as_str());
            }
            None => {}
        }
        ClientRequest {
            method: kind.kind.method.clone(),
            target: fill_parameters(&target, &name),
            headers,
            body: request_body(kind, request_number),
            tag: tag.to_owned(),
            previous_tags: previous_tags.to_vec(),
            answer_bytes: kind.load.answer_bytes,
            timeout: Duration::from_millis(kind.kind.timeout_ms),
        }
    }
}

fn request_body(kind: &LoadKind, request_number: u64) -> Vec<u8> {
    if kind.kind.method == "POST" {
        return format!("{{\"charge\":{request_number}}}").into_bytes();
    }
    Vec::new()
}

/// Replaces the remaining path parameters and wildcards by `value`.
fn fill_parameters(target: &str, value: &str) -> String {
    let segments = target.split('/').map(|segment| {
        let is_parameter = segment.starts_with('{') && segment.ends_with('}');
        if is_parameter || segment == "*" {
            value
        } else {
            segment
        }
    });
    segments.collect::<Vec<_>>().join("/")
}

/// Returns the cumulative probabilities of a Zipf distribution with exponent `skew`.
fn cumulative_probabilities(keys: u32, skew: f64) -> Vec<f64> {
    let weights: Vec<f64> = (0..keys)
        .map(|key| 1.0 / f64::from(key + 1).powf(skew))
        .collect();
    let total: f64 = weights.iter().sum();
    let mut sum = 0.0;
    let mut probabilities = Vec::with_capacity(weights.len());
    for weight in weights {
        sum += weight / total;
        probabilities.push(sum);
    }
    probabilities
}
