//! Simulation of a few hosts, upstreams and a table in virtual time.

use crate::message::{Endpoint, Message};
use crate::script::WorldStep;
use crate::setup::WorldSetup;
use crate::upstream::WorldUpstream;
use fake::FakeTable;
use indexmap::{IndexMap, IndexSet};
use kernel::{DomainName, HostId, Moment, ServiceName, ShardId, UpstreamId, find_plugin};
use member::Heartbeat;
use owner::{
    ConfigRow, ControlCore, Event, HostAddress, PlacementPlugin, PlatformList, ShardGrant,
    ShardLoad, ShardPhase, TableTransaction,
};
use sheet::{Sheet, SheetDigest};
use std::sync::Arc;
use std::time::Duration;
use wire::{parse_stored_row, to_store_transaction};

pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(10);
const LIST_INTERVAL: Duration = Duration::from_millis(400);
const LIST_BACKGROUND_FACTOR: u32 = 16;
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
const SERVICE: &str = "charts";

#[derive(Clone, Debug)]
pub(crate) struct WorldHost {
    pub id: HostId,
    pub core: Option<ControlCore>,
    pub is_paused: bool,
    domain: DomainName,
    run_count: u32,
    pub(crate) queued_messages: Vec<Message>,
    next_tick_at: Moment,
    next_list_at: Moment,
    next_loads_at: Moment,
    published: Option<PublishedView>,
}

/// State last published for request routing.
///
/// Request routing reads it again only when the generation increases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PublishedView {
    generation: u64,
    grants: Vec<(UpstreamId, Vec<(ShardGrant, ShardPhase)>)>,
}

impl PublishedView {
    fn of(core: &ControlCore) -> Self {
        let upstreams = core.primary_upstreams().into_iter();
        Self {
            generation: core.generation(),
            grants: upstreams
                .map(|upstream| (upstream.id, upstream.grants))
                .collect(),
        }
    }
}

/// A simulated deployment in virtual time.
#[derive(Clone, Debug)]
pub struct World {
    pub(crate) setup: WorldSetup,
    pub(crate) now: Moment,
    pub(crate) hosts: Vec<WorldHost>,
    pub(crate) upstreams: IndexMap<UpstreamId, WorldUpstream>,
    pub(crate) table: FakeTable,
    pub(crate) messages: Vec<Message>,
    pub(crate) table_is_down: bool,
    pub(crate) loses_answers: bool,
    pub(crate) cuts: IndexSet<(Endpoint, Endpoint)>,
    pub(crate) ended_calls: IndexSet<u64>,
    pub(crate) next_message_number: u64,
    pub(crate) next_call_number: u64,
    pub(crate) rng: fastrand::Rng,
    pub(crate) sheet: Arc<Sheet>,
    violations: Vec<String>,
    pub(crate) commits: u64,
    max_unowned_time: Duration,
    unowned_since: IndexMap<ShardId, Moment>,
}

impl World {
    /// Builds a world whose hosts have just started and whose table holds a sheet.
    pub fn new(setup: &WorldSetup) -> Self {
        let service = ServiceName::from(SERVICE);
        let sheet = Arc::new(sheet_with_shards(setup.shards));
        let mut upstreams = IndexMap::new();
        for number in 0..setup.upstreams {
            let domain = format!("d{}", number % setup.domains);
            // Clocks of neighboring upstreams drift in opposite directions.
            let drift = if number % 2 == 0 {
                setup.drift_ppm
            } else {
                -setup.drift_ppm
            };
            let upstream = WorldUpstream::new(number, &domain, drift, &service);
            upstreams.insert(upstream.list_entry.id.clone(), upstream);
        }
        let mut world = Self {
            setup: setup.clone(),
            now: Moment::from_millis(1_000),
            hosts: Vec::new(),
            upstreams,
            table: table_with_sheet(),
            messages: Vec::new(),
            table_is_down: false,
            loses_answers: false,
            cuts: IndexSet::new(),
            ended_calls: IndexSet::new(),
            next_message_number: 0,
            next_call_number: 0,
            rng: fastrand::Rng::with_seed(setup.seed),
            sheet,
            violations: Vec::new(),
            commits: 0,
            max_unowned_time: Duration::ZERO,
            unowned_since: IndexMap::new(),
        };
        for number in 0..setup.hosts {
            let domain = DomainName::from(format!("d{}", number % setup.domains));
            world.hosts.push(WorldHost {
                id: HostId::from(""),
                core: None,
                is_paused: false,
                domain,
                run_count: 0,
                queued_messages: Vec::new(),
                next_tick_at: world.now,
                next_list_at: world.now,
                next_loads_at: world.now,
                published: None,
            });
            world.start_host(number as usize);
        }
        world
    }

    /// Returns the violations of invariants found so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns the current virtual time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now.as_micros() / 1_000
    }

    /// Returns the number of transactions that took effect.
    pub fn commits(&self) -> u64 {
        self.commits
    }

    /// Returns the maximum time for which a shard had no owner, since the last call
    /// of [`World::reset_unowned_time`].
    pub fn max_unowned_time(&self) -> Duration {
        let current = self.unowned_since.values().map(|since| self.now - *since);
        current.max().unwrap_or_default().max(self.max_unowned_time)
    }

    /// Restarts the measurement of how long shards have no owner.
    pub fn reset_unowned_time(&mut self) {
        self.max_unowned_time = Duration::ZERO;
        self.unowned_since.clear();
    }

    /// Returns the number of shards that no running upstream owns.
    pub fn unowned_shards(&self) -> usize {
        let shards = (0..self.setup.shards).map(ShardId);
        shards.filter(|shard| !self.is_owned(*shard)).count()
    }

    /// Returns the number of upstreams that are live according to the table's rows.
    pub fn live_upstreams(&self) -> usize {
        let rows = self.table_rows();
        let domains = rows.iter().filter_map(|row| match &row.content {
            owner::RowContent::Domain(domain) => Some(domain),
            _ => None,
        });
        let entries = domains.flat_map(|domain| domain.upstreams.values());
        entries
            .filter(|entry| entry.state == owner::UpstreamState::Live)
            .count()
    }

    /// Returns the sum of the shards' epochs, which increases with each move.
    pub fn epoch_sum(&self) -> u64 {
        let mut sum = 0;
        for row in self.table.scan(&["assign/"]) {
            let Ok(row) = parse_stored_row(&row.key, row.version, &row.value) else {
                continue;
            };
            if let owner::RowContent::Assign(assign) = row.content {
                sum += assign
                    .shards
                    .values()
                    .map(|entry| entry.epoch.0)
                    .sum::<u64>();
            }
        }
        sum
    }

    /// Returns a readable description of the hosts, the upstreams and the table.
    pub fn describe(&self) -> String {
        let mut lines = vec![format!("at {} ms", self.now_ms())];
        for host in &self.hosts {
            let status = host.core.as_ref().map(|core| core.status(self.now));
            lines.push(format!("{} paused={} {status:?}", host.id, host.is_paused));
        }
        for upstream in self.upstreams.values() {
            let shards = (0..self.setup.shards).map(ShardId);
            let owned: Vec<u32> = shards
                .filter(|shard| upstream.owns(self.now, *shard))
                .map(|shard| shard.0)
                .collect();
            let id = &upstream.list_entry.id;
            let (is_alive, is_frozen) = (upstream.is_alive, upstream.is_frozen);
            lines.push(format!(
                "{id} alive={is_alive} frozen={is_frozen} owns={owned:?}"
            ));
        }
        for row in self.table.scan(&["domain/", "assign/"]) {
            lines.push(format!("{} v{} {}", row.key, row.version, row.value));
        }
        lines.extend(self.violations.iter().cloned());
        lines.join("\n")
    }

    /// Applies a step at the current time and checks the invariants.
    pub fn apply(&mut self, step: WorldStep) {
        match step {
            WorldStep::CrashHost(n) => self.host_mut(n).core = None,
            WorldStep::StartHost(n) => self.start_host(n as usize % self.hosts.len()),
            WorldStep::PauseHost(n) => self.host_mut(n).is_paused = true,
            WorldStep::ResumeHost(n) => self.resume_host(n),
            WorldStep::LeaveHost(n) => {
                let id = self.host_mut(n).id.clone();
                self.handle(&id, Event::LeaveRequested);
            }
            WorldStep::CrashUpstream(n) => self.upstream_mut(n).is_alive = false,
            WorldStep::StartUpstream(n) => {
                let now = self.now;
                self.upstream_mut(n).restart(now);
            }
            WorldStep::FreezeUpstream(n) => self.upstream_mut(n).is_frozen = true,
            WorldStep::ThawUpstream(n) => self.upstream_mut(n).is_frozen = false,
            WorldStep::LeaveUpstream(n) => self.upstream_mut(n).list_entry.is_leaving = true,
            WorldStep::ReturnUpstream(n) => self.upstream_mut(n).list_entry.is_leaving = false,
            WorldStep::DeclareLost(host, domain) => self.declare_loss(host, domain, true),
            WorldStep::DeclareBack(host, domain) => self.declare_loss(host, domain, false),
            WorldStep::CutHosts(a, b) => {
                let a = Endpoint::Host(self.host_mut(a).id.clone());
                let b = Endpoint::Host(self.host_mut(b).id.clone());
                self.cut(a, b);
            }
            WorldStep::CutSides(mask) => self.cut_sides(mask),
            WorldStep::CutUpstream(host, upstream) => {
                let host = Endpoint::Host(self.host_mut(host).id.clone());
                let upstream =
                    Endpoint::Upstream(self.upstream_mut(upstream).list_entry.id.clone());
                self.cut(host, upstream);
            }
            WorldStep::CutTable(n) => {
                let host = Endpoint::Host(self.host_mut(n).id.clone());
                self.cut(host, Endpoint::Table);
            }
            WorldStep::HealCuts => self.cuts.clear(),
            WorldStep::TableDown => self.table_is_down = true,
            WorldStep::TableUp => self.table_is_down = false,
            WorldStep::LoseAnswers(loses) => self.loses_answers = loses,
            WorldStep::SetTiming(n, timing) => {
                if let Some(core) = &mut self.host_mut(n).core {
                    core.set_timing(timing);
                }
            }
            WorldStep::ForgeWitnesses(n) => self.forge_witnesses(n),
        }
        self.check_invariants();
    }

    /// Runs the world until `millis` milliseconds of virtual time.
    pub fn run_until_ms(&mut self, millis: u64) {
        let end = Moment::from_millis(millis);
        while self.handle_next_before(end) {}
        self.now = end.max(self.now);
        self.check_invariants();
    }

    /// Returns the parts of the state by which explored states are compared.
    pub(crate) fn state_view(&self) -> impl std::fmt::Debug {
        (
            &self.hosts,
            &self.upstreams,
            &self.messages,
            &self.cuts,
            self.table_is_down,
        )
    }

    fn host_mut(&mut self, number: u32) -> &mut WorldHost {
        let count = self.hosts.len();
        &mut self.hosts[number as usize % count]
    }

    fn upstream_mut(&mut self, number: u32) -> &mut WorldUpstream {
        let count = self.upstreams.len();
        &mut self.upstreams[number as usize % count]
    }

    fn cut_sides(&mut self, mask: u32) {
        let is_set = |index: usize| mask >> (index % 32) & 1 == 1;
        for a in 0..self.hosts.len() {
            for b in 0..self.hosts.len() {
                if !is_set(a) || is_set(b) {
                    continue;
                }
                let a = Endpoint::Host(self.hosts[a].id.clone());
                let b = Endpoint::Host(self.hosts[b].id.clone());
                self.cut(a, b);
            }
        }
    }

    fn declare_loss(&mut self, host: u32, domain: u32, is_lost: bool) {
        let id = self.host_mut(host).id.clone();
        let domain = DomainName::from(format!("d{domain}"));
        self.handle(&id, Event::LossDeclared { domain, is_lost });
    }

    fn cut(&mut self, a: Endpoint, b: Endpoint) {
        self.cuts.insert((a.clone(), b.clone()));
        self.cuts.insert((b, a));
    }

    fn start_host(&mut self, index: usize) {
        let now = self.now;
        let timing = self.setup.timing;
        let Some(host) = self.hosts.get_mut(index) else {
            return;
        };
        if host.core.is_some() {
            return;
        }
        host.run_count += 1;
        host.id = HostId::of_run(&format!("h{index}"), &host.run_count.to_string());
        host.is_paused = false;
        host.queued_messages.clear();
        host.published = None;
        host.next_tick_at = now;
        host.next_list_at = now;
        let address = HostAddress {
            peer: host.id.as_str().to_owned(),
            control: host.id.as_str().to_owned(),
        };
        // The `owner` crate registers this policy.
        let plugin = find_plugin::<PlacementPlugin>("load").expect("policy `load` is registered");
        let policy = (plugin.build)();
        let id = host.id.clone();
        let domain = host.domain.clone();
        host.core = Some(ControlCore::new(now, id, domain, address, timing, policy));
    }

    fn resume_host(&mut self, number: u32) {
        let now = self.now;
        let host = self.host_mut(number);
        host.is_paused = false;
        let mut queued_messages = std::mem::take(&mut host.queued_messages);
        for message in &mut queued_messages {
            message.due_at = now;
        }
        self.messages.extend(queued_messages);
    }

    /// Feeds a host acknowledgements which claim that every other host knows all rows.
    fn forge_witnesses(&mut self, number: u32) {
        let host = self.host_mut(number).id.clone();
        let others: Vec<(HostId, DomainName)> = self
            .hosts
            .iter()
            .filter(|other| other.id != host)
            .map(|other| (other.id.clone(), other.domain.clone()))
            .collect();
        for (from, domain) in others {
            let heartbeat = Heartbeat {
                from,
                domain,
                is_leaving: false,
                row_version: kernel::Version(u64::MAX),
                fingerprint: 0,
                sheet_version: kernel::Version(0),
                loads: None,
                suspects: Vec::new(),
            };
            self.handle(&host, Event::PushAcknowledged(heartbeat));
        }
    }

    /// Handles the next tick or message due before `end`; returns whether there was
    /// one.
    fn handle_next_before(&mut self, end: Moment) -> bool {
        let ticks = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| host.core.is_some() && !host.is_paused);
        let next_tick = ticks.map(|(index, host)| (host.next_tick_at, index)).min();
        let next_message = self
            .messages
            .iter()
            .enumerate()
            .map(|(index, message)| (message.due_at, message.number, index))
            .min();
        match (next_tick, next_message) {
            (Some((due, index)), message)
                if due < end && message.is_none_or(|(at, ..)| due <= at) =>
            {
                self.now = self.now.max(due);
                self.tick(index);
                true
            }
            (_, Some((due, _, index))) if due < end => {
                self.now = self.now.max(due);
                let message = self.messages.swap_remove(index);
                self.deliver(message);
                true
            }
            _ => false,
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        host.next_tick_at = now + TICK_INTERVAL;
        let id = host.id.clone();
        let is_list_due = now >= host.next_list_at;
        if is_list_due {
            // As in production, only one host of each domain reads the list often.
            let is_reader = host
                .core
                .as_ref()
                .is_some_and(|core| core.is_table_reader(now));
            let rounds = if is_reader { 1 } else { LIST_BACKGROUND_FACTOR };
            host.next_list_at = now + LIST_INTERVAL * rounds;
            let upstreams = self.upstreams.values();
            let list = PlatformList {
                hosts: Vec::new(),
                upstreams: upstreams
                    .map(|upstream| upstream.list_entry.clone())
                    .collect(),
            };
            self.handle(&id, Event::ListRead(list));
        }
        if now >= self.hosts[index].next_loads_at {
            self.hosts[index].next_loads_at = now + LOAD_INTERVAL;
            self.measure_loads(index);
        }
        self.handle(&id, Event::Tick);
        self.check_invariants();
    }

    /// Reports to a host the loads of the shards that its primary upstreams own.
    fn measure_loads(&mut self, index: usize) {
        let loads = &self.setup.loads;
        let Some(core) = &mut self.hosts[index].core else {
            return;
        };
        let mut measured = Vec::new();
        for upstream in core.primary_upstreams() {
            for (grant, _) in &upstream.grants {
                measured.push(ShardLoad {
                    upstream: upstream.id.clone(),
                    shard: Some(grant.shard),
                    slot_ms: loads.get(grant.shard.0 as usize).copied().unwrap_or(0),
                });
            }
        }
        core.record_loads(&measured);
    }

    /// Returns the maximum load of an upstream, in percent of the mean load.
    pub fn imbalance_percent(&self) -> u64 {
        let mut by_upstream: IndexMap<UpstreamId, u64> = IndexMap::new();
        for row in self.table_rows() {
            let owner::RowContent::Assign(assign) = row.content else {
                continue;
            };
            for (shard, entry) in &assign.shards {
                let load = self.setup.loads.get(shard.0 as usize).copied().unwrap_or(0);
                *by_upstream.entry(entry.upstream.clone()).or_insert(0) += u64::from(load);
            }
        }
        let total: u64 = by_upstream.values().sum();
        let max_load = by_upstream.values().copied().max().unwrap_or(0);
        max_load * 100 * u64::from(self.setup.upstreams) / total.max(1)
    }

    pub(crate) fn handle(&mut self, host: &HostId, event: Event) {
        let now = self.now;
        let found = self
            .hosts
            .iter_mut()
            .find(|candidate| candidate.id == *host);
        let Some(target) = found else {
            return;
        };
        let Some(core) = target.core.as_mut() else {
            return;
        };
        core.handle(now, event);
        let view = PublishedView::of(core);
        let is_unpublished = target
            .published
            .as_ref()
            .is_some_and(|old| old.generation == view.generation && old.grants != view.grants);
        target.published = Some(view);
        let actions = core.drain_actions();
        if is_unpublished && self.violations.len() < 10 {
            let at = self.now_ms();
            self.violations.push(format!(
                "{at} ms: host {host} changed its grants without a new generation"
            ));
        }
        for action in actions {
            self.perform(host, action);
        }
    }

    fn is_owned(&self, shard: ShardId) -> bool {
        self.upstreams
            .values()
            .any(|upstream| !upstream.is_frozen && upstream.owns(self.now, shard))
    }

    /// Checks that no shard has two owners, and updates the times without an owner.
    pub(crate) fn check_invariants(&mut self) {
        let now = self.now;
        for number in 0..self.setup.shards {
            let shard = ShardId(number);
            let owners: Vec<&str> = self
                .upstreams
                .values()
                .filter(|upstream| upstream.owns(now, shard))
                .map(|upstream| upstream.list_entry.id.as_str())
                .collect();
            if owners.len() > 1 && self.violations.len() < 10 {
                let at = self.now_ms();
                self.violations.push(format!(
                    "{at} ms: shard {number} owned by {}",
                    owners.join(" and ")
                ));
            }
            if self.is_owned(shard) {
                if let Some(since) = self.unowned_since.swap_remove(&shard) {
                    self.max_unowned_time = self.max_unowned_time.max(now - since);
                }
            } else {
                self.unowned_since.entry(shard).or_insert(now);
            }
        }
    }
}

fn sheet_with_shards(shards: u32) -> Sheet {
    let text = format!(
        r#"{{ "services": {{ "{SERVICE}": {{ "keys": {{ "shards": {shards} }}, "kinds": [{{
            "name": "chart", "method": "GET", "path": "/charts/{{region}}",
            "key": {{ "path": "region" }}, "rank": "urgent", "idempotent": true,
            "timeout_ms": 1000, "cost_ms": 5 }}] }} }} }}"#
    );
    // The text is a constant of this module, apart from the number of shards.
    Sheet::parse(&text).expect("the world's sheet is valid")
}

fn table_with_sheet() -> FakeTable {
    let mut table = FakeTable::default();
    let transaction = TableTransaction {
        checks: Vec::new(),
        writes: vec![owner::RowWrite {
            key: owner::RowKey::Config,
            base: kernel::Version(0),
            content: owner::RowContent::Config(Arc::new(ConfigRow {
                digest: SheetDigest::digest_of(b""),
                submitted_by: "world".to_owned(),
                submission: "first".to_owned(),
                committed_at_ms: 0,
            })),
        }],
    };
    // The table is empty, so the row is absent as the transaction requires.
    table
        .commit(&to_store_transaction(&transaction))
        .expect("the first write of an empty table succeeds");
    table
}
