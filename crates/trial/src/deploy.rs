//! A deployment on loopback: stand-ins and real entry hosts.

use crate::TrialPlan;
use crate::balancer::Balancer;
use async_std::net::TcpListener;
use eyre::{Result, WrapErr, eyre};
use fake::{FakePlatform, FakeUpstream, FaultyRelay, RelayMode, RunLog, UpstreamSetup};
use gate::GateLimits;
use host::{
    AdminRole, AdminToken, EntryHost, HostSettings, ListenSettings, LogSettings, PlatformSettings,
    SeedHost,
};
use indexmap::IndexMap;
use kernel::{DomainName, UpstreamId};
use owner::{HostAddress, PlatformHost, PlatformUpstream};
use parking_lot::RwLock;
use sheet::SheetDigest;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use store::JsonClient;

/// Token of the administration API in trials; it guards nothing but loopback.
pub const ADMIN_TOKEN: &str = "trial-operator";
const SECRET: &str = "a secret for trials on loopback";
const READY_LIMIT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(50);

/// An entry host of a deployment.
#[derive(Clone, Debug)]
pub struct RunningHost {
    /// Its name, kept over restarts.
    pub name: String,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its settings, with fixed ports.
    pub settings: HostSettings,
    /// The running host.
    pub host: EntryHost,
}

/// A deployment on loopback.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// What was deployed.
    pub plan: TrialPlan,
    /// The platform.
    pub platform: FakePlatform,
    /// The truth.
    pub run_log: RunLog,
    /// Upstream instances.
    pub upstreams: Arc<IndexMap<UpstreamId, FakeUpstream>>,
    /// Entry hosts by name.
    pub hosts: Arc<RwLock<IndexMap<String, RunningHost>>>,
    /// Relays by pair of domains `(from, to)`.
    relays: Arc<IndexMap<(DomainName, DomainName), Vec<FaultyRelay>>>,
    /// Chooses hosts for callers.
    pub(crate) balancer: Balancer,
}

/// Addresses that a host will listen on.
#[derive(Clone, Debug)]
struct PlannedHost {
    name: String,
    domain: DomainName,
    listen: ListenSettings,
}

impl Deployment {
    /// Starts everything and waits until it serves.
    ///
    /// # Errors
    ///
    /// Fails when a part can't start or does not become ready.
    pub async fn start(plan: &TrialPlan) -> Result<Self> {
        let run_log = RunLog::default();
        let platform = FakePlatform::start(&plan.domains, run_log.clone()).await?;
        let upstreams = start_upstreams(plan, &platform, &run_log).await?;
        let planned = plan_hosts(plan).await?;
        let relays = start_relays(plan, &planned).await?;
        let deployment = Self {
            plan: plan.clone(),
            platform,
            run_log,
            upstreams: Arc::new(upstreams),
            hosts: Arc::default(),
            relays: Arc::new(relays),
            balancer: Balancer::default(),
        };
        for host in &planned {
            let settings = deployment.settings_of(host, &planned);
            deployment.start_host(settings).await?;
        }
        deployment.submit_sheet(0, "first").await?;
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    fn settings_of(&self, planned: &PlannedHost, all: &[PlannedHost]) -> HostSettings {
        let seeds = all
            .iter()
            .filter(|other| other.domain == planned.domain && other.name != planned.name)
            .map(|other| SeedHost {
                peer: other.listen.peers.clone(),
                control: other.listen.control.clone(),
            });
        HostSettings {
            name: planned.name.clone(),
            domain: planned.domain.clone(),
            listen: planned.listen.clone(),
            advertise: None,
            platform: PlatformSettings {
                address: self.platform.address(&planned.domain).to_owned(),
                relays: Vec::new(),
                timeout_ms: 500,
            },
            peer_secret: SECRET.to_owned(),
            seeds: seeds.collect(),
            translations: self.translations_for(&planned.domain),
            tokens: vec![AdminToken {
                name: "trial".to_owned(),
                role: AdminRole::Operator,
                sha256: SheetDigest::of(ADMIN_TOKEN.as_bytes()).as_str().to_owned(),
            }],
            timing: self.plan.timing,
            limits: GateLimits {
                retry_percent: self.plan.retry_percent,
                ..GateLimits::default()
            },
            placement: self.plan.placement.clone(),
            queue: self.plan.queue.clone(),
            log: LogSettings::default(),
        }
    }

    fn translations_for(&self, domain: &DomainName) -> IndexMap<String, String> {
        let mut translations = IndexMap::new();
        for ((from, _), relays) in self.relays.iter() {
            if from != domain {
                continue;
            }
            for relay in relays {
                translations.insert(relay.target().to_owned(), relay.address().to_owned());
            }
        }
        translations
    }

    /// Starts a host, or starts it again under the same name.
    ///
    /// # Errors
    ///
    /// Fails when it can't start.
    pub async fn start_host(&self, settings: HostSettings) -> Result<()> {
        let host = EntryHost::start(settings.clone())
            .await
            .wrap_err_with(|| format!("starting host {}", settings.name))?;
        let addresses = host.addresses();
        self.platform.list_host(PlatformHost {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            address: HostAddress {
                peer: addresses.peers.clone(),
                control: addresses.control.clone(),
            },
        });
        self.balancer.open(&settings.name, &addresses.callers);
        let running = RunningHost {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            settings,
            host,
        };
        self.hosts.write().insert(running.name.clone(), running);
        Ok(())
    }

    /// Returns the running hosts.
    pub fn running(&self) -> Vec<RunningHost> {
        self.hosts.read().values().cloned().collect()
    }

    /// Takes a host out of the list of running ones.
    pub(crate) fn forget_host(&self, name: &str) {
        self.balancer.close(name);
        self.platform.unlist_host(name);
        self.hosts.write().shift_remove(name);
    }

    /// Submits the plan's sheet over `base`; returns the accepted version.
    ///
    /// # Errors
    ///
    /// Fails when it is not accepted.
    pub async fn submit_sheet(&self, base: u64, token: &str) -> Result<u64> {
        let body = serde_json::to_vec_pretty(&self.plan.sheet)?;
        self.submit_body(base, token, &body).await
    }

    pub(crate) async fn submit_body(&self, base: u64, token: &str, body: &[u8]) -> Result<u64> {
        let host = self
            .running()
            .first()
            .cloned()
            .ok_or_else(|| eyre!("no host runs"))?;
        let admin = &host.host.addresses().admin;
        let client = JsonClient::with_bearer(admin, Duration::from_secs(15), ADMIN_TOKEN);
        let path = format!("/sheet?base={base}&submission={token}");
        let reply = client.send(http_types::Method::Post, &path, body).await?;
        let answer: serde_json::Value = reply.parse()?;
        if !reply.is_success() {
            return Err(eyre!("sheet not accepted: {answer}"));
        }
        answer["version"]
            .as_u64()
            .ok_or_else(|| eyre!("no version in {answer}"))
    }

    /// Waits until every upstream has a usable lease and every shard an owner.
    async fn wait_ready(&self) -> Result<()> {
        let started = std::time::Instant::now();
        let mut missing = "nothing known".to_owned();
        while started.elapsed() < READY_LIMIT {
            match self.find_missing().await {
                None => return Ok(()),
                Some(found) => missing = found,
            }
            async_std::task::sleep(READY_POLL).await;
        }
        Err(eyre!("not ready after {READY_LIMIT:?}: {missing}"))
    }

    async fn find_missing(&self) -> Option<String> {
        let mut usable = IndexMap::new();
        for running in self.running() {
            let Some(status) = running.host.status().await else {
                return Some(format!("{} has ended", running.name));
            };
            if status.sheet_version.0 == 0 {
                return Some(format!("{} has no sheet", running.name));
            }
            let shards = expected_shards(&self.plan);
            let owned: usize = status
                .upstreams
                .iter()
                .map(|upstream| upstream.shards)
                .sum();
            if owned != shards {
                return Some(format!(
                    "{} knows owners of {owned} of {shards} shards",
                    running.name
                ));
            }
            for upstream in &status.upstreams {
                let is_usable = upstream.is_usable.unwrap_or(false);
                *usable.entry(upstream.upstream.clone()).or_insert(false) |= is_usable;
            }
        }
        let without: Vec<&UpstreamId> = self
            .upstreams
            .keys()
            .filter(|id| !usable.get(*id).copied().unwrap_or(false))
            .collect();
        (!without.is_empty()).then(|| format!("no lease at {without:?}"))
    }

    /// Cuts a domain off from the others, from the platform, or both.
    pub fn cut_domain(&self, domain: &DomainName, from_hosts: bool, from_platform: bool) {
        let mode = if from_hosts {
            RelayMode::Hold
        } else {
            RelayMode::Pass
        };
        for ((from, to), relays) in self.relays.iter() {
            if from != domain && to != domain {
                continue;
            }
            for relay in relays {
                relay.set_mode(mode);
            }
        }
        self.platform.change_faults(|faults| {
            if from_platform {
                faults.cut_domains.insert(domain.clone());
            } else {
                faults.cut_domains.swap_remove(domain);
            }
        });
    }

    /// Loses track of the present connections between domains.
    pub fn silence_relays(&self) {
        for relay in self.relays.values().flatten() {
            relay.silence_connections();
        }
    }

    /// Lists an upstream as live or leaving.
    pub fn list_upstream(&self, upstream: &FakeUpstream, is_leaving: bool) {
        self.platform.list_upstream(listed(upstream, is_leaving));
    }

    /// Ends everything.
    pub fn shut_down(&self) {
        for running in self.running() {
            running.host.kill();
        }
        for upstream in self.upstreams.values() {
            upstream.kill();
        }
    }
}

fn expected_shards(plan: &TrialPlan) -> usize {
    let services = plan.sheet.services.values();
    let keys = services.filter_map(|service| service.keys.as_ref());
    keys.map(|keys| keys.shards as usize).sum()
}

fn listed(upstream: &FakeUpstream, is_leaving: bool) -> PlatformUpstream {
    let setup = upstream.setup();
    PlatformUpstream {
        id: setup.id.clone(),
        service: setup.service.clone(),
        domain: setup.domain.clone(),
        address: upstream.address().to_owned(),
        slots: setup.slots,
        connections: setup.connections,
        is_leaving,
    }
}

async fn start_upstreams(
    plan: &TrialPlan,
    platform: &FakePlatform,
    run_log: &RunLog,
) -> Result<IndexMap<UpstreamId, FakeUpstream>> {
    let mut upstreams = IndexMap::new();
    for instances in &plan.instances {
        for number in 0..instances.count {
            let domain = &plan.domains[number as usize % plan.domains.len()];
            let setup = UpstreamSetup {
                id: UpstreamId::from(format!("{}-{number}", instances.service)),
                service: instances.service.clone(),
                domain: domain.clone(),
                slots: instances.slots,
                connections: instances.connections,
                queue: instances.slots * 4,
                checks_grants: true,
                cold_ms: 5,
                cold_span_ms: 500,
            };
            let upstream = FakeUpstream::start(setup, run_log.clone()).await?;
            platform.list_upstream(listed(&upstream, false));
            upstreams.insert(upstream.setup().id.clone(), upstream);
        }
    }
    Ok(upstreams)
}

async fn plan_hosts(plan: &TrialPlan) -> Result<Vec<PlannedHost>> {
    let mut planned = Vec::new();
    for number in 0..plan.hosts {
        let domain = plan.domains[number as usize % plan.domains.len()].clone();
        planned.push(PlannedHost {
            name: format!("entry-{number}"),
            domain,
            listen: ListenSettings {
                callers: free_address().await?,
                peers: free_address().await?,
                control: free_address().await?,
                admin: free_address().await?,
            },
        });
    }
    Ok(planned)
}

/// Returns an address whose port was free a moment ago.
///
/// The ports lie below those that the operating system hands out to outgoing
/// connections, which could otherwise take one before its host listens.
async fn free_address() -> Result<String> {
    const FIRST: u16 = 18_000;
    const COUNT: u16 = 13_000;
    const TRIES: u32 = 200;
    static STEP: AtomicU16 = AtomicU16::new(0);
    static START: OnceLock<u16> = OnceLock::new();
    // Trials of other processes start elsewhere; within one no port comes twice.
    let start = *START.get_or_init(|| fastrand::u16(..COUNT));
    for _ in 0..TRIES {
        let step = STEP.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + start.wrapping_add(step) % COUNT;
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(address.as_str()).await.is_ok() {
            return Ok(address);
        }
    }
    Err(eyre!("no free port from {FIRST}"))
}

async fn start_relays(
    plan: &TrialPlan,
    planned: &[PlannedHost],
) -> Result<IndexMap<(DomainName, DomainName), Vec<FaultyRelay>>> {
    let mut relays: IndexMap<(DomainName, DomainName), Vec<FaultyRelay>> = IndexMap::new();
    for from in &plan.domains {
        for host in planned {
            if host.domain == *from {
                continue;
            }
            for target in [&host.listen.peers, &host.listen.control] {
                let relay = FaultyRelay::start(target).await?;
                relay.set_delay_ms(plan.domain_delay_ms);
                let pair = (from.clone(), host.domain.clone());
                relays.entry(pair).or_default().push(relay);
            }
        }
    }
    Ok(relays)
}
