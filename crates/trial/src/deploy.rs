//! Deployment on loopback: real entry hosts with a simulated platform and upstreams.

use crate::TrialPlan;
use crate::balancer::LoadBalancer;
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

/// Token for the administration API in trials; the API listens on loopback only.
pub const ADMIN_TOKEN: &str = "trial-operator";
const PEER_SECRET: &str = "a secret for trials on loopback";
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry host of a deployment.
#[derive(Clone, Debug)]
pub struct RunningHost {
    /// Name of the host, which restarts keep.
    pub name: String,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Settings of the host, with fixed ports.
    pub settings: HostSettings,
    /// Handle of the host.
    pub host: EntryHost,
}

/// A running deployment on loopback; clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Plan that the deployment was started from.
    pub plan: TrialPlan,
    /// Simulated platform.
    pub platform: FakePlatform,
    /// Log of all requests that ran at the upstreams.
    pub run_log: RunLog,
    /// Simulated upstreams by id.
    pub upstreams: Arc<IndexMap<UpstreamId, FakeUpstream>>,
    /// Running entry hosts by name.
    pub hosts: Arc<RwLock<IndexMap<String, RunningHost>>>,
    /// Relays between hosts of different domains, by `(from, to)`.
    relays: Arc<IndexMap<(DomainName, DomainName), Vec<FaultyRelay>>>,
    /// Load balancer that chooses hosts for clients.
    pub(crate) balancer: LoadBalancer,
}

/// Name, domain and listen addresses of a host that has not been started yet.
#[derive(Clone, Debug)]
struct PlannedHost {
    name: String,
    domain: DomainName,
    listen: ListenSettings,
}

impl Deployment {
    /// Starts all parts and waits until they are ready to serve requests.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started or does not become ready in time.
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
            balancer: LoadBalancer::default(),
        };
        for host in &planned {
            let settings = deployment.host_settings(host, &planned);
            deployment.start_host(settings).await?;
        }
        deployment.submit_sheet(0, "first").await?;
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    fn host_settings(&self, planned: &PlannedHost, all: &[PlannedHost]) -> HostSettings {
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
            peer_secret: PEER_SECRET.to_owned(),
            seeds: seeds.collect(),
            translations: self.translations_for(&planned.domain),
            tokens: vec![AdminToken {
                name: "trial".to_owned(),
                role: AdminRole::Operator,
                sha256: SheetDigest::digest_of(ADMIN_TOKEN.as_bytes())
                    .as_str()
                    .to_owned(),
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

    /// Starts a host, or restarts it under the same name.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot be started.
    pub async fn start_host(&self, settings: HostSettings) -> Result<()> {
        let host = EntryHost::start(settings.clone())
            .await
            .wrap_err_with(|| format!("cannot start host {}", settings.name))?;
        let addresses = host.addresses();
        self.platform.list_host(PlatformHost {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            address: HostAddress {
                peer: addresses.peers.clone(),
                control: addresses.control.clone(),
            },
        });
        self.balancer.add(&settings.name, &addresses.clients);
        let running = RunningHost {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            settings,
            host,
        };
        self.hosts.write().insert(running.name.clone(), running);
        Ok(())
    }

    /// Returns all running hosts.
    pub fn running_hosts(&self) -> Vec<RunningHost> {
        self.hosts.read().values().cloned().collect()
    }

    /// Removes a host that has stopped from the load balancer and all lists.
    pub(crate) fn remove_host(&self, name: &str) {
        self.balancer.remove(name);
        self.platform.unlist_host(name);
        self.hosts.write().shift_remove(name);
    }

    /// Submits the plan's sheet on top of version `base` and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error if the sheet is not accepted.
    pub async fn submit_sheet(&self, base: u64, token: &str) -> Result<u64> {
        let body = serde_json::to_vec_pretty(&self.plan.sheet)?;
        self.submit_body(base, token, &body).await
    }

    pub(crate) async fn submit_body(&self, base: u64, token: &str, body: &[u8]) -> Result<u64> {
        let host = self
            .running_hosts()
            .first()
            .cloned()
            .ok_or_else(|| eyre!("no host is running"))?;
        let admin = &host.host.addresses().admin;
        let client = JsonClient::with_bearer(admin, Duration::from_secs(15), ADMIN_TOKEN);
        let path = format!("/sheet?base={base}&submission={token}");
        let reply = client.send(http_types::Method::Post, &path, body).await?;
        let response: serde_json::Value = reply.parse()?;
        if !reply.is_success() {
            return Err(eyre!("sheet was not accepted: {response}"));
        }
        response["version"]
            .as_u64()
            .ok_or_else(|| eyre!("response to the sheet has no version: {response}"))
    }

    /// Waits until every upstream has a usable lease and every shard has an owner.
    async fn wait_ready(&self) -> Result<()> {
        let started = std::time::Instant::now();
        let mut problem = "status not checked".to_owned();
        while started.elapsed() < READY_TIMEOUT {
            match self.find_readiness_problem().await {
                None => return Ok(()),
                Some(found) => problem = found,
            }
            async_std::task::sleep(READY_POLL_INTERVAL).await;
        }
        Err(eyre!(
            "deployment not ready after {READY_TIMEOUT:?}: {problem}"
        ))
    }

    /// Returns why the deployment is not ready; `None` if it is.
    async fn find_readiness_problem(&self) -> Option<String> {
        let mut usable = IndexMap::new();
        for running in self.running_hosts() {
            let Some(status) = running.host.status().await else {
                return Some(format!("host {} has stopped", running.name));
            };
            if status.sheet_version.0 == 0 {
                return Some(format!("host {} has no sheet", running.name));
            }
            let shards = total_shards(&self.plan);
            let owned: usize = status
                .upstreams
                .iter()
                .map(|upstream| upstream.shards)
                .sum();
            if owned != shards {
                return Some(format!(
                    "host {} knows owners of {owned} of {shards} shards",
                    running.name
                ));
            }
            for upstream in &status.upstreams {
                let is_usable = upstream.is_usable.unwrap_or(false);
                *usable.entry(upstream.upstream.clone()).or_insert(false) |= is_usable;
            }
        }
        let unusable: Vec<&UpstreamId> = self
            .upstreams
            .keys()
            .filter(|id| !usable.get(*id).copied().unwrap_or(false))
            .collect();
        (!unusable.is_empty()).then(|| format!("no usable lease at upstreams {unusable:?}"))
    }

    /// Isolates a domain from the hosts of other domains, from the platform, or both.
    ///
    /// With both flags false, it reconnects the domain.
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

    /// Stops forwarding on all current connections between domains, without closing
    /// them.
    pub fn silence_relays(&self) {
        for relay in self.relays.values().flatten() {
            relay.silence_connections();
        }
    }

    /// Lists an upstream with the platform as live or leaving.
    pub fn list_upstream(&self, upstream: &FakeUpstream, is_leaving: bool) {
        self.platform
            .list_upstream(platform_entry(upstream, is_leaving));
    }

    /// Kills all hosts and upstreams.
    pub fn shut_down(&self) {
        for running in self.running_hosts() {
            running.host.kill();
        }
        for upstream in self.upstreams.values() {
            upstream.kill();
        }
    }
}

fn total_shards(plan: &TrialPlan) -> usize {
    let services = plan.sheet.services.values();
    let keys = services.filter_map(|service| service.keys.as_ref());
    keys.map(|keys| keys.shards as usize).sum()
}

fn platform_entry(upstream: &FakeUpstream, is_leaving: bool) -> PlatformUpstream {
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
                cold_duration_ms: 500,
            };
            let upstream = FakeUpstream::start(setup, run_log.clone()).await?;
            platform.list_upstream(platform_entry(&upstream, false));
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

/// Returns a loopback address whose port was free just now.
///
/// The ports are below the ephemeral port range, so that no outgoing connection can
/// take one before its host listens.
async fn free_address() -> Result<String> {
    const FIRST_PORT: u16 = 18_000;
    const PORT_COUNT: u16 = 13_000;
    const MAX_ATTEMPTS: u32 = 200;
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    static START_OFFSET: OnceLock<u16> = OnceLock::new();
    // A random start makes collisions with other processes unlikely; within a process
    // no port is returned twice.
    let start = *START_OFFSET.get_or_init(|| fastrand::u16(..PORT_COUNT));
    for _ in 0..MAX_ATTEMPTS {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(offset) % PORT_COUNT;
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(address.as_str()).await.is_ok() {
            return Ok(address);
        }
    }
    Err(eyre!("no free port found, starting from {FIRST_PORT}"))
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
