//! Faults by name, injected one after another while load runs.

use crate::Deployment;
use crate::deploy::RunningHost;
use crate::load::{LoadSender, LoadWave};
use eyre::Result;
use fake::{FakeUpstream, UpstreamFaults};
use h1::{BodyLength, Connection, HeadLimits, HeaderList, encode_request_head};
use kernel::{CustomerName, ServiceName};
use log::info;
use sheet::Rank;
use std::fmt;
use std::time::Duration;

/// Load of a flood, as a multiple of the service's capacity.
const FLOOD_FACTOR: f64 = 2.0;
const CRASH_SENDS: u32 = 8;
const CRASH_PAUSE: Duration = Duration::from_millis(350);
const CRASH_LIMIT: Duration = Duration::from_secs(4);
/// Until the balancer notices that a host is gone.
const BALANCER_LAG: Duration = Duration::from_millis(300);
const LEAVE_SPAN: Duration = Duration::from_secs(5);

macro_rules! fault_names {
    ($($(#[$doc:meta])* $name:ident => $text:literal;)*) => {
        /// A fault that a trial can inject.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum FaultName {
            $($(#[$doc])* $name,)*
        }

        impl FaultName {
            /// All faults.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name used on the command line.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

fault_names! {
    /// An entry host ends at once and is started again later.
    HostLoss => "host-loss";
    /// An entry host's control thread stands still.
    HostPause => "host-pause";
    /// An entry host is stopped as planned and started again.
    PlannedStop => "planned-stop";
    /// An upstream ends at once and is started again later.
    UpstreamLoss => "upstream-loss";
    /// An upstream freezes and returns.
    UpstreamFreeze => "upstream-freeze";
    /// An upstream is listed as leaving.
    UpstreamLeave => "upstream-leave";
    /// The platform answers nothing.
    StoreDown => "store-down";
    /// The platform's answers are lost after the write has taken effect.
    LostAnswers => "lost-answers";
    /// A failure domain is cut off from the others and from the platform.
    DomainCut => "domain-cut";
    /// Open connections go silent while new ones work.
    SilentConnections => "silent-connections";
    /// Upstreams give answers to other requests, and answers nobody asked for.
    CrossedAnswers => "crossed-answers";
    /// Upstreams cut answers short.
    TruncatedAnswers => "truncated-answers";
    /// A request crashes each upstream that runs it and is sent again and again.
    CrashRequest => "crash-request";
    /// A flood of the least urgent work.
    FloodLow => "flood-low";
    /// A flood of the most urgent work.
    FloodHigh => "flood-high";
}

/// No fault has this name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownFault(String);

impl fmt::Display for UnknownFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known: Vec<&str> = FaultName::ALL.iter().map(|fault| fault.as_str()).collect();
        write!(
            f,
            "unknown fault `{}`, expected one of {}",
            self.0,
            known.join(", ")
        )
    }
}

impl std::error::Error for UnknownFault {}

impl std::str::FromStr for FaultName {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, UnknownFault> {
        let found = Self::ALL.iter().find(|fault| fault.as_str() == text);
        found.copied().ok_or_else(|| UnknownFault(text.to_owned()))
    }
}

impl FaultName {
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
    /// Injects one fault and returns once it has been taken back.
    pub async fn inject(&mut self, fault: FaultName, span: Duration) -> Result<()> {
        info!(target: "trial", "fault={} begins", fault.as_str());
        match fault {
            FaultName::HostLoss => self.lose_host(span).await?,
            FaultName::HostPause => {
                if let Some(running) = self.some_host() {
                    running
                        .host
                        .stall_control(span.min(Duration::from_millis(1_500)));
                }
                async_std::task::sleep(span).await;
            }
            FaultName::PlannedStop => self.stop_host().await?,
            FaultName::UpstreamLoss => self.lose_upstream(span).await?,
            FaultName::UpstreamFreeze => {
                let upstream = self.some_upstream();
                upstream.set_frozen(true);
                async_std::task::sleep(span.min(Duration::from_secs(2))).await;
                upstream.set_frozen(false);
            }
            FaultName::UpstreamLeave => {
                let upstream = self.some_upstream();
                self.deployment.list_upstream(&upstream, true);
                async_std::task::sleep(span.max(LEAVE_SPAN)).await;
                self.deployment.list_upstream(&upstream, false);
            }
            FaultName::StoreDown => {
                self.deployment.platform.change_faults(|f| f.is_down = true);
                async_std::task::sleep(span).await;
                self.deployment
                    .platform
                    .change_faults(|f| f.is_down = false);
            }
            FaultName::LostAnswers => {
                let platform = self.deployment.platform.clone();
                platform.change_faults(|f| f.lost_answers_percent = 40);
                async_std::task::sleep(span).await;
                platform.change_faults(|f| f.lost_answers_percent = 0);
            }
            FaultName::DomainCut => self.cut_domain(span).await,
            FaultName::SilentConnections => {
                for _ in 0..3 {
                    self.some_upstream().silence_connections();
                }
                self.deployment.silence_relays();
                async_std::task::sleep(span).await;
            }
            FaultName::CrossedAnswers => {
                self.fault_upstreams(span, |f| {
                    f.crossed_percent = 4;
                    f.doubled_percent = 4;
                })
                .await;
            }
            FaultName::TruncatedAnswers => {
                self.fault_upstreams(span, |f| f.truncated_percent = 4)
                    .await;
            }
            FaultName::CrashRequest => self.crash_upstreams().await,
            FaultName::FloodLow => self.flood(Rank::Bulk, span).await,
            FaultName::FloodHigh => self.flood(Rank::Urgent, span).await,
        }
        info!(target: "trial", "fault={} ends", fault.as_str());
        Ok(())
    }

    fn some_host(&mut self) -> Option<RunningHost> {
        let running = self.deployment.running();
        self.rng.choice(running)
    }

    fn some_upstream(&mut self) -> FakeUpstream {
        let upstreams = &self.deployment.upstreams;
        let index = self.rng.usize(..upstreams.len());
        upstreams[index].clone()
    }

    async fn lose_host(&mut self, span: Duration) -> Result<()> {
        let Some(lost) = self.some_host() else {
            return Ok(());
        };
        lost.host.kill();
        async_std::task::sleep(BALANCER_LAG).await;
        self.deployment.forget_host(&lost.name);
        async_std::task::sleep(span.saturating_sub(BALANCER_LAG)).await;
        self.deployment.start_host(lost.settings).await
    }

    async fn stop_host(&mut self) -> Result<()> {
        let Some(stopping) = self.some_host() else {
            return Ok(());
        };
        self.sender.note_stopping(&stopping.name);
        self.deployment.balancer.close(&stopping.name);
        stopping.host.stop().await;
        self.deployment.forget_host(&stopping.name);
        self.deployment.start_host(stopping.settings).await
    }

    async fn lose_upstream(&mut self, span: Duration) -> Result<()> {
        let upstream = self.some_upstream();
        upstream.kill();
        async_std::task::sleep(span).await;
        upstream.restart().await?;
        Ok(())
    }

    async fn cut_domain(&mut self, span: Duration) {
        let domains = self.deployment.plan.domains.clone();
        let Some(domain) = self.rng.choice(domains) else {
            return;
        };
        self.deployment.cut_domain(&domain, true, true);
        async_std::task::sleep(span).await;
        self.deployment.cut_domain(&domain, false, false);
        // What stood between the domains has forgotten the open connections.
        self.deployment.silence_relays();
    }

    async fn fault_upstreams(&self, span: Duration, change: impl Fn(&mut UpstreamFaults)) {
        for upstream in self.deployment.upstreams.values() {
            let mut faults = upstream.faults();
            change(&mut faults);
            upstream.set_faults(faults);
        }
        async_std::task::sleep(span).await;
        for upstream in self.deployment.upstreams.values() {
            let is_frozen = upstream.faults().is_frozen;
            upstream.set_faults(UpstreamFaults {
                is_frozen,
                ..UpstreamFaults::default()
            });
        }
    }

    /// Sends a request that crashes its upstream, again and again.
    async fn crash_upstreams(&mut self) {
        let Some((target, method)) = self.crash_target() else {
            return;
        };
        for _ in 0..CRASH_SENDS {
            let Some(running) = self.some_host() else {
                return;
            };
            let address = running.host.addresses().callers.clone();
            let sending = send_crash(&address, &method, &target);
            // Whatever it is told, its caller sends it again.
            let _told = async_std::future::timeout(CRASH_LIMIT, sending).await;
            async_std::task::sleep(CRASH_PAUSE).await;
        }
    }

    fn crash_target(&self) -> Option<(String, String)> {
        let plan = &self.deployment.plan;
        for (service, service_plan) in &plan.sheet.services {
            for kind in &service_plan.kinds {
                if kind.idempotent && kind.method == "GET" && !kind.long {
                    let path = kind
                        .path
                        .split('/')
                        .map(|part| if part.starts_with('{') { "crash" } else { part });
                    let path = path.collect::<Vec<_>>().join("/");
                    return Some((format!("/{service}{path}"), kind.method.clone()));
                }
            }
        }
        None
    }

    /// Floods each service with its kind of the given rank.
    async fn flood(&self, rank: Rank, span: Duration) {
        let mut waves = Vec::new();
        for (service, name, rate) in self.flood_kinds(rank) {
            let sender = self.sender.clone();
            waves.push(async move {
                sender
                    .send(LoadWave {
                        rate,
                        span,
                        only: Some((service, name)),
                        customer: Some(CustomerName::from("flooder")),
                        is_flood: true,
                    })
                    .await;
            });
        }
        futures::future::join_all(waves).await;
    }

    fn flood_kinds(&self, rank: Rank) -> Vec<(ServiceName, String, f64)> {
        let plan = &self.deployment.plan;
        let mut kinds = Vec::new();
        for load in &plan.load {
            let service = &plan.sheet.services[&load.service];
            let kind = service.kinds.iter().find(|kind| kind.name == load.kind);
            let Some(kind) = kind.filter(|kind| kind.rank == rank && kind.idempotent) else {
                continue;
            };
            let capacity = f64::from(plan.slots_of(&load.service)) * 1_000.0 / load.cost_ms as f64;
            kinds.push((
                load.service.clone(),
                kind.name.clone(),
                capacity * FLOOD_FACTOR,
            ));
        }
        kinds
    }
}

async fn send_crash(address: &str, method: &str, target: &str) -> h1::Result<u16> {
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
