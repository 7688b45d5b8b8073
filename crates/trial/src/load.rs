//! Open-loop load: requests are sent when they are due, answered or not.

use crate::balancer::{Balancer, ChosenHost};
use crate::caller::{CallerOutcome, CallerPool, CallerRequest};
use crate::record::{CallLog, CallRecord};
use crate::{LoadPlan, TrialPlan};
use h1::HeaderList;
use indexmap::IndexSet;
use kernel::{CustomerName, Verdict};
use parking_lot::{Mutex, RwLock};
use sheet::{KeyPlace, KindPlan};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Re-sends of a charge that was not answered, as skippers do.
const RESENDS: u32 = 3;
const RESEND_PAUSE: Duration = Duration::from_millis(300);
/// Tries of a caller whose connection is refused, each at another host.
const CONNECT_TRIES: u32 = 4;

/// Sends load.
#[derive(Clone, Debug)]
pub(crate) struct LoadSender {
    shared: Arc<SenderShared>,
}

#[derive(Debug)]
struct SenderShared {
    kinds: Vec<LoadKind>,
    balancer: Balancer,
    pool: CallerPool,
    log: CallLog,
    rng: Mutex<fastrand::Rng>,
    next_tag: AtomicU64,
    open: AtomicU64,
    stopping: RwLock<IndexSet<String>>,
    is_over: AtomicBool,
}

/// One kind of work with its load.
#[derive(Clone, Debug)]
struct LoadKind {
    load: LoadPlan,
    kind: KindPlan,
    /// Cumulated popularity of keys, from 0 to 1.
    popularity: Vec<f64>,
}

/// Which requests to send.
#[derive(Clone, Debug)]
pub(crate) struct LoadWave {
    /// Requests per second.
    pub rate: f64,
    /// How long.
    pub span: Duration,
    /// Only kinds of which this holds; `None` for the plan's mix.
    pub only: Option<(kernel::ServiceName, String)>,
    /// Customer who sends all of it; `None` for the plan's customers.
    pub customer: Option<CustomerName>,
    /// Whether it is a flood.
    pub is_flood: bool,
}

impl LoadSender {
    pub fn new(plan: &TrialPlan, balancer: Balancer, seed: u64) -> Self {
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
                popularity: popularity(load.keys, load.skew),
            });
        }
        Self {
            shared: Arc::new(SenderShared {
                kinds,
                balancer,
                pool: CallerPool::default(),
                log: CallLog::default(),
                rng: Mutex::new(fastrand::Rng::with_seed(seed)),
                next_tag: AtomicU64::new(1),
                open: AtomicU64::new(0),
                stopping: RwLock::default(),
                is_over: AtomicBool::new(false),
            }),
        }
    }

    pub fn log(&self) -> &CallLog {
        &self.shared.log
    }

    /// Counts cut requests of a host as cut by its planned stop.
    pub fn note_stopping(&self, host: &str) {
        self.shared.stopping.write().insert(host.to_owned());
    }

    /// Sends a wave; returns when its last request has been sent.
    pub async fn send(&self, wave: LoadWave) {
        let started = Instant::now();
        let mut due = started;
        while due < started + wave.span && !self.shared.is_over.load(Ordering::Relaxed) {
            let pause = due.saturating_duration_since(Instant::now());
            if !pause.is_zero() {
                async_std::task::sleep(pause).await;
            }
            if let Some((index, key, customer)) = self.draw(&wave) {
                self.spawn(index, key, customer, due, wave.is_flood);
            }
            // Exponential gaps make arrivals independent of each other.
            let gap = -self.shared.rng.lock().f64().max(1e-9).ln() / wave.rate;
            due += Duration::from_secs_f64(gap);
        }
    }

    /// Waits until all requests have ended, at most for `limit`.
    pub async fn settle(&self, limit: Duration) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        let started = Instant::now();
        while self.shared.open.load(Ordering::SeqCst) > 0 && started.elapsed() < limit {
            async_std::task::sleep(Duration::from_millis(10)).await;
        }
    }

    fn draw(&self, wave: &LoadWave) -> Option<(usize, u32, CustomerName)> {
        let shared = &self.shared;
        let mut rng = shared.rng.lock();
        let weight_of = |kind: &LoadKind| match &wave.only {
            Some((service, name)) => {
                let is_wanted = kind.load.service == *service && kind.load.kind == *name;
                if is_wanted { 1.0 } else { 0.0 }
            }
            None => kind.load.weight,
        };
        let total: f64 = shared.kinds.iter().map(weight_of).sum();
        let mut at = rng.f64() * total;
        let index = shared.kinds.iter().position(|kind| {
            at -= weight_of(kind);
            at < 0.0
        })?;
        let kind = &shared.kinds[index];
        let point = rng.f64();
        let key = kind.popularity.partition_point(|edge| *edge < point) as u32;
        let customers = &kind.load.customers;
        let customer = match &wave.customer {
            Some(customer) => customer.clone(),
            None if customers.is_empty() => CustomerName::from("default"),
            None => customers[rng.usize(..customers.len())].clone(),
        };
        Some((index, key.min(kind.load.keys - 1), customer))
    }

    fn spawn(&self, index: usize, key: u32, customer: CustomerName, due: Instant, is_flood: bool) {
        let sender = self.clone();
        sender.shared.open.fetch_add(1, Ordering::SeqCst);
        async_std::task::spawn(async move {
            sender.call(index, key, customer, due, is_flood).await;
            sender.shared.open.fetch_sub(1, Ordering::SeqCst);
        });
    }

    async fn call(
        &self,
        index: usize,
        key: u32,
        customer: CustomerName,
        due: Instant,
        is_flood: bool,
    ) {
        let kind = &self.shared.kinds[index];
        let charge = self.shared.next_tag.fetch_add(1, Ordering::Relaxed);
        let mut earlier_tags = Vec::new();
        let mut intended_at = due;
        for resend in 0..=RESENDS {
            let tag = format!("t{charge}.{resend}");
            let request = Self::request(kind, key, &customer, charge, &tag, &earlier_tags);
            let (outcome, host) = self.send_somewhere(&request).await;
            let verdict = outcome.verdict;
            let record = CallRecord {
                service: kind.load.service.clone(),
                rank: kind.kind.rank,
                customer: customer.clone(),
                tag: tag.clone(),
                intended_at,
                took: intended_at.elapsed(),
                target: Duration::from_millis(kind.load.target_ms),
                cost: Duration::from_millis(kind.load.cost_ms),
                verdict,
                is_cut_by_stop: outcome.is_cut && self.is_stopping(host.as_ref()),
                cause: outcome.cause,
                is_incomplete: outcome.is_incomplete,
                is_crossed: outcome.is_crossed,
                is_flood,
            };
            self.shared.log.add(record);
            if verdict == Verdict::Ran || kind.kind.idempotent || is_flood {
                return;
            }
            earlier_tags.push(tag);
            async_std::task::sleep(RESEND_PAUSE).await;
            intended_at = Instant::now();
        }
    }

    fn is_stopping(&self, host: Option<&ChosenHost>) -> bool {
        host.is_some_and(|host| self.shared.stopping.read().contains(&host.name))
    }

    /// Sends to some host, and to another when the connection is refused.
    async fn send_somewhere(&self, request: &CallerRequest) -> (CallerOutcome, Option<ChosenHost>) {
        let mut last = None;
        for _ in 0..CONNECT_TRIES {
            let chosen = self.shared.balancer.choose(&mut self.shared.rng.lock());
            let Some(host) = chosen else {
                break;
            };
            let outcome = self.shared.pool.send(&host.address, request).await;
            if !outcome.is_unsent {
                return (outcome, Some(host));
            }
            last = Some((outcome, Some(host)));
        }
        last.unwrap_or_else(|| {
            let outcome = CallerOutcome {
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

    fn request(
        kind: &LoadKind,
        key: u32,
        customer: &CustomerName,
        charge: u64,
        tag: &str,
        earlier_tags: &[String],
    ) -> CallerRequest {
        let mut headers = HeaderList::new();
        headers.push("x-customer", customer.as_str());
        headers.push("x-cost-ms", kind.load.cost_ms.to_string());
        headers.push("x-answer-bytes", kind.load.answer_bytes.to_string());
        if !kind.kind.idempotent {
            headers.push("idempotency-key", format!("charge-{charge}"));
        }
        let mut target = format!("/{}{}", kind.load.service, kind.kind.path);
        let name = format!("key-{key}");
        match &kind.kind.key {
            Some(KeyPlace::Path(parameter)) => {
                target = target.replace(&format!("{{{parameter}}}"), &name);
            }
            Some(KeyPlace::Query(parameter)) => {
                target = format!("{target}?{parameter}={name}");
            }
            Some(KeyPlace::Header(parameter)) => {
                headers.push(&parameter.to_ascii_lowercase(), name.as_str());
            }
            None => {}
        }
        CallerRequest {
            method: kind.kind.method.clone(),
            target: fill_parameters(&target, &name),
            headers,
            body: body_of(kind, charge),
            tag: tag.to_owned(),
            earlier_tags: earlier_tags.to_vec(),
            answer_bytes: kind.load.answer_bytes,
            limit: Duration::from_millis(kind.kind.timeout_ms),
        }
    }
}

fn body_of(kind: &LoadKind, charge: u64) -> Vec<u8> {
    if kind.kind.method == "POST" {
        return format!("{{\"charge\":{charge}}}").into_bytes();
    }
    Vec::new()
}

/// Fills path parameters other than the key.
fn fill_parameters(target: &str, value: &str) -> String {
    let parts = target.split('/').map(|part| {
        let is_parameter = part.starts_with('{') && part.ends_with('}');
        if is_parameter || part == "*" {
            value
        } else {
            part
        }
    });
    parts.collect::<Vec<_>>().join("/")
}

/// Returns cumulated shares of keys whose popularity falls with their number.
fn popularity(keys: u32, skew: f64) -> Vec<f64> {
    let weights: Vec<f64> = (0..keys)
        .map(|key| 1.0 / f64::from(key + 1).powf(skew))
        .collect();
    let total: f64 = weights.iter().sum();
    let mut sum = 0.0;
    let mut edges = Vec::with_capacity(weights.len());
    for weight in weights {
        sum += weight / total;
        edges.push(sum);
    }
    edges
}
