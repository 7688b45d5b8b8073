//! Faults that a trial can inject while load runs.

use crate::Deployment;
use crate::deploy::RunningHost;
use crate::load::{LoadSender, LoadSpec};
use eyre::Result;
use fake::{FakeUpstream, UpstreamFaults};
use h1::{BodyLength, Connection, HeadLimits, HeaderList, encode_request_head};
use kernel::{CustomerName, ServiceName};
use log::info;
use sheet::Rank;
use std::fmt;
use std::time::Duration;

/// Request rate of a flood, as a multiple of the service's capacity.
const FLOOD_FACTOR: f64 = 2.0;
/// Number of times that the request that crashes upstreams is sent.
const CRASH_REQUEST_COUNT: u32 = 8;
const CRASH_REQUEST_DELAY: Duration = Duration::from_millis(350);
const CRASH_REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Time until the load balancer notices that a host is down.
const BALANCER_DELAY: Duration = Duration::from_millis(300);
/// Minimum time for which an upstream is listed as leaving.
const MIN_LEAVE_DURATION: Duration = Duration::from_secs(5);

macro_rules! fault_names {
    ($($(#[$doc:meta])* $name:ident => $text:literal;)*) => {
        /// A fault that a trial can inject.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum FaultKind {
            $($(#[$doc])* $name,)*
        }

        impl FaultKind {
            /// All fault kinds.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name used on the command line.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

fault_names! {
    /// An entry host is killed and restarted later.
    HostLoss => "host-loss";
    /// The control thread of an entry host is blocked for a while.
    HostPause => "host-pause";
    /// An entry host is stopped gracefully and restarted.
    PlannedStop => "planned-stop";
    /// An upstream is killed and restarted later.
    UpstreamLoss => "upstream-loss";
    /// An upstream freezes and continues later.
    UpstreamFreeze => "upstream-freeze";
    /// An upstream is listed as leaving for a while.
    UpstreamLeave => "upstream-leave";
    /// The platform does not respond.
    StoreDown => "store-down";
    /// Responses of the platform to writes that took effect are lost.
    LostAnswers => "lost-answers";
    /// A failure domain is isolated from the others and from the platform.
    DomainCut => "domain-cut";
    /// Open connections stop responding while new ones work.
    SilentConnections => "silent-connections";
    /// Upstreams swap responses between requests and send some of them twice.
    CrossedAnswers => "crossed-answers";
    /// Upstreams truncate responses.
    TruncatedAnswers => "truncated-answers";
    /// A request that crashes each upstream that runs it is sent repeatedly.
    CrashRequest => "crash-request";
    /// A flood of requests of the lowest rank, bulk.
    FloodLow => "flood-low";
    /// A flood of requests of the highest rank, urgent.
    FloodHigh => "flood-high";
}

/// The error for a name that no [`FaultKind`] has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownFault(String);

impl fmt::Display for UnknownFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known: Vec<&str> = FaultKind::ALL.iter().map(|fault| fault.as_str()).collect();
        write!(
            f,
            "unknown fault `{}`, expected one of {}",
            self.0,
            known.join(", ")
        )
    }
}

impl std::error::Error for UnknownFault {}

impl std::str::FromStr for FaultKind {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, UnknownFault> {
        let found = Self::ALL.iter().find(|fault| fault.as_str() == text);
        found.copied().ok_or_else(|| UnknownFault(text.to_owned()))
    }
}

impl FaultKind {
    /// Returns whether the fault is a flood.
    pub const fn is_flood(self) -> bool {
        matches!(self, Self::FloodLow | Self::FloodHigh)
    }
}

/// Injects faults into a deployment.
pub(crate) struct FaultInjector {
    pub deployment: Deployment,
    pub sender: LoadSender,
    pub rng: fastrand::Rng,
}

impl FaultInjector {
    /// Injects a fault and returns once it has been removed.
    ///
    /// Most faults last for `duration`; some limit, extend or ignore it.
    pub async fn inject(&mut self, fault: FaultKind, duration: Duration) -> Result<()> {
        info!(target: "trial", "fault={} begins", fault.as_str());
        match fault {
            FaultKind::HostLoss => self.crash_host(duration).await?,
            FaultKind::HostPause => {
                if let Some(running) = self.random_host() {
                    running
                        .host
                        .block_control_thread(duration.min(Duration::from_millis(1_500)));
                }
                async_std::task::sleep(duration).await;
            }
            FaultKind::PlannedStop => self.stop_host().await?,
            FaultKind::UpstreamLoss => self.crash_upstream(duration).await?,
            FaultKind::UpstreamFreeze => {
                let upstream = self.random_upstream();
                upstream.set_frozen(true);
                async_std::task::sleep(duration.min(Duration::from_secs(2))).await;
                upstream.set_frozen(false);
            }
            FaultKind::UpstreamLeave => {
                let upstream = self.random_upstream();
                self.deployment.list_upstream(&upstream, true);
                async_std::task::sleep(duration.max(MIN_LEAVE_DURATION)).await;
                self.deployment.list_upstream(&upstream, false);
            }
            FaultKind::StoreDown => {
                self.deployment
                    .platform
                    .change_faults(|faults| faults.is_down = true);
                async_std::task::sleep(duration).await;
                self.deployment
                    .platform
                    .change_faults(|faults| faults.is_down = false);
            }
            FaultKind::LostAnswers => {
                let platform = self.deployment.platform.clone();
                platform.change_faults(|faults| faults.lost_answers_percent = 40);
                async_std::task::sleep(duration).await;
                platform.change_faults(|faults| faults.lost_answers_percent = 0);
            }
            FaultKind::DomainCut => self.cut_domain(duration).await,
            FaultKind::SilentConnections => {
                for _ in 0..3 {
                    self.random_upstream().silence_connections();
                }
                self.deployment.silence_relays();
                async_std::task::sleep(duration).await;
            }
            FaultKind::CrossedAnswers => {
                self.set_upstream_faults(duration, |faults| {
                    faults.crossed_percent = 4;
                    faults.doubled_percent = 4;
                })
                .await;
            }
            FaultKind::TruncatedAnswers => {
                self.set_upstream_faults(duration, |faults| faults.truncated_percent = 4)
                    .await;
            }
            FaultKind::CrashRequest => self.send_crash_requests().await,
            FaultKind::FloodLow => self.flood(Rank::Bulk, duration).await,
            FaultKind::FloodHigh => self.flood(Rank::Urgent, duration).await,
        }
        info!(target: "trial", "fault={} ends", fault.as_str());
        Ok(())
    }

    fn random_host(&mut self) -> Option<RunningHost> {
        let running = self.deployment.running_hosts();
        self.rng.choice(running)
    }

    fn random_upstream(&mut self) -> FakeUpstream {
        let upstreams = &self.deployment.upstreams;
        let index = self.rng.usize(..upstreams.len());
        upstreams[index].clone()
    }

    async fn crash_host(&mut self, duration: Duration) -> Result<()> {
        let Some(killed) = self.random_host() else {
            return Ok(());
        };
        killed.host.kill();
        async_std::task::sleep(BALANCER_DELAY).await;
        self.deployment.remove_host(&killed.name);
        async_std::task::sleep(duration.saturating_sub(BALANCER_DELAY)).await;
        self.deployment.start_host(killed.settings).await
    }

    async fn stop_host(&mut self) -> Result<()> {
        let Some(stopping) = self.random_host() else {
            return Ok(());
        };
        self.sender.record_planned_stop(&stopping.name);
        self.deployment.balancer.remove(&stopping.name);
        stopping.host.stop().await;
        self.deployment.remove_host(&stopping.name);
        self.deployment.start_host(stopping.settings).await
    }

    async fn crash_upstream(&mut self, duration: Duration) -> Result<()> {
        let upstream = self.random_upstream();
        upstream.kill();
        async_std::task::sleep(duration).await;
        upstream.restart().await?;
        Ok(())
    }

    async fn cut_domain(&mut self, duration: Duration) {
        let domains = self.deployment.plan.domains.clone();
        let Some(domain) = self.rng.choice(domains) else {
            return;
        };
        self.deployment.cut_domain(&domain, true, true);
        async_std::task::sleep(duration).await;
        self.deployment.cut_domain(&domain, false, false);
        // All open connections between domains go silent, as when the stateful
        // firewalls between them have lost their connection tables.
        self.deployment.silence_relays();
    }

    async fn set_upstream_faults(&self, duration: Duration, change: impl Fn(&mut UpstreamFaults)) {
        for upstream in self.deployment.upstreams.values() {
            let mut faults = upstream.faults();
            change(&mut faults);
            upstream.set_faults(faults);
        }
        async_std::task::sleep(duration).await;
        for upstream in self.deployment.upstreams.values() {
            let is_frozen = upstream.faults().is_frozen;
            upstream.set_faults(UpstreamFaults {
                is_frozen,
                ..UpstreamFaults::default()
            });
        }
    }

    /// Repeatedly sends a request that crashes the upstream that runs it.
    async fn send_crash_requests(&mut self) {
        let Some((target, method)) = self.crash_request_target() else {
            return;
        };
        for _ in 0..CRASH_REQUEST_COUNT {
            let Some(running) = self.random_host() else {
                return;
            };
            let address = running.host.addresses().clients.clone();
            let request = send_crash_request(&address, &method, &target);
            // The client sends the request again whatever the outcome.
            let _outcome = async_std::future::timeout(CRASH_REQUEST_TIMEOUT, request).await;
            async_std::task::sleep(CRASH_REQUEST_DELAY).await;
        }
    }

    fn crash_request_target(&self) -> Option<(String, String)> {
        let plan = &self.deployment.plan;
        for (service, service_plan) in &plan.sheet.services {
            for kind in &service_plan.kinds {
                if kind.idempotent && kind.method == "GET" && !kind.long {
                    let path = kind.path.split('/').map(|segment| {
                        if segment.starts_with('{') {
                            "crash"
                        } else {
                            segment
                        }
                    });
                    let path = path.collect::<Vec<_>>().join("/");
                    return Some((format!("/{service}{path}"), kind.method.clone()));
                }
            }
        }
        None
    }

    /// Floods each service with requests of its idempotent kinds of the given rank.
    async fn flood(&self, rank: Rank, duration: Duration) {
        let mut floods = Vec::new();
        for (service, name, rate) in self.kinds_to_flood(rank) {
            let sender = self.sender.clone();
            floods.push(async move {
                sender
                    .send(LoadSpec {
                        rate,
                        duration,
                        only: Some((service, name)),
                        customer: Some(CustomerName::from("flooder")),
                        is_flood: true,
                    })
                    .await;
            });
        }
        futures::future::join_all(floods).await;
    }

    fn kinds_to_flood(&self, rank: Rank) -> Vec<(ServiceName, String, f64)> {
        let plan = &self.deployment.plan;
        let mut kinds = Vec::new();
        for load in &plan.load {
            let service = &plan.sheet.services[&load.service];
            let kind = service.kinds.iter().find(|kind| kind.name == load.kind);
            let Some(kind) = kind.filter(|kind| kind.rank == rank && kind.idempotent) else {
                continue;
            };
            let capacity =
                f64::from(plan.total_slots(&load.service)) * 1_000.0 / load.cost_ms as f64;
            kinds.push((
                load.service.clone(),
                kind.name.clone(),
                capacity * FLOOD_FACTOR,
            ));
        }
        kinds
    }
}

async fn send_crash_request(address: &str, method: &str, target: &str) -> h1::Result<u16> {
    let stream = async_std::net::TcpStream::connect(address).await?;
    let mut connection = Connection::new(stream);
    let mut headers = HeaderList::new();
    headers.push("host", "trial");
    headers.push("x-crash", "1");
    connection
        .write(&encode_request_head(method, target, &headers))
        .await?;
    let head = connection
        .read_response(&HeadLimits::default(), method)
        .await?;
    if head.body != BodyLength::UntilClose {
        connection.read_whole_body(head.body, 1 << 20).await?;
    }
    Ok(head.status)
}
