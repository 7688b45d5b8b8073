//! A few hosts, upstreams and a table in virtual time.

use crate::message::{Message, Place};
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
use wire::{store_row, store_transaction};

pub(crate) const TICK: Duration = Duration::from_millis(10);
const LIST_PERIOD: Duration = Duration::from_millis(400);
const LIST_BACKGROUND_FACTOR: u32 = 16;
const LOAD_PERIOD: Duration = Duration::from_millis(500);
const SERVICE: &str = "charts";

#[derive(Clone, Debug)]
pub(crate) struct WorldHost {
    pub id: HostId,
    pub core: Option<ControlCore>,
    pub is_paused: bool,
    domain: DomainName,
    boots: u32,
    pub(crate) waiting: Vec<Message>,
    next_tick: Moment,
    next_list: Moment,
    next_loads: Moment,
    published: Option<PublishedView>,
}

/// What traffic was last told; it looks again only when the generation grows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PublishedView {
    generation: u64,
    grants: Vec<(UpstreamId, Vec<(ShardGrant, ShardPhase)>)>,
}

impl PublishedView {
    fn of(core: &ControlCore) -> Self {
        let owned = core.primary_upstreams().into_iter();
        Self {
            generation: core.generation(),
            grants: owned
                .map(|upstream| (upstream.id, upstream.grants))
                .collect(),
        }
    }
}

/// A world in virtual time.
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
    pub(crate) cuts: IndexSet<(Place, Place)>,
    pub(crate) answered: IndexSet<u64>,
    pub(crate) next_number: u64,
    pub(crate) next_call: u64,
    pub(crate) rng: fastrand::Rng,
    pub(crate) sheet: Arc<Sheet>,
    violations: Vec<String>,
    pub(crate) commits: u64,
    longest_unowned: Duration,
    unowned_since: IndexMap<ShardId, Moment>,
}

impl World {
    /// Builds a world whose hosts have just started and whose sheet is accepted.
    pub fn new(setup: &WorldSetup) -> Self {
        let service = ServiceName::from(SERVICE);
        let sheet = Arc::new(sheet_of(setup.shards));
        let mut upstreams = IndexMap::new();
        for number in 0..setup.upstreams {
            let domain = format!("d{}", number % setup.domains);
            // Clocks of neighbours run apart as far as they may.
            let drift = if number % 2 == 0 {
                setup.drift_ppm
            } else {
                -setup.drift_ppm
            };
            let upstream = WorldUpstream::new(number, &domain, drift, &service);
            upstreams.insert(upstream.listed.id.clone(), upstream);
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
            answered: IndexSet::new(),
            next_number: 0,
            next_call: 0,
            rng: fastrand::Rng::with_seed(setup.seed),
            sheet,
            violations: Vec::new(),
            commits: 0,
            longest_unowned: Duration::ZERO,
            unowned_since: IndexMap::new(),
        };
        for number in 0..setup.hosts {
            let domain = DomainName::from(format!("d{}", number % setup.domains));
            world.hosts.push(WorldHost {
                id: HostId::from(""),
                core: None,
                is_paused: false,
                domain,
                boots: 0,
                waiting: Vec::new(),
                next_tick: world.now,
                next_list: world.now,
                next_loads: world.now,
                published: None,
            });
            world.start_host(number as usize);
        }
        world
    }

    /// Returns the violations found so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns the present time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now.as_micros() / 1_000
    }

    /// Returns the transactions that took effect.
    pub fn commits(&self) -> u64 {
        self.commits
    }

    /// Returns the longest time for which a shard had no owner, since the last
    /// call of [`World::watch_ownership`].
    pub fn longest_unowned(&self) -> Duration {
        let open = self.unowned_since.values().map(|since| self.now - *since);
        open.max().unwrap_or_default().max(self.longest_unowned)
    }

    /// Starts measuring for how long shards have no owner.
    pub fn watch_ownership(&mut self) {
        self.longest_unowned = Duration::ZERO;
        self.unowned_since.clear();
    }

    /// Returns the number of shards that no reachable upstream owns.
    pub fn unowned_shards(&self) -> usize {
        let shards = (0..self.setup.shards).map(ShardId);
        shards.filter(|shard| !self.is_owned(*shard)).count()
    }

    /// Returns the number of upstreams that rows say take new work.
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

    /// Returns the sum of the shards' epochs, which grows with each move.
    pub fn epoch_sum(&self) -> u64 {
        let mut sum = 0;
        for row in self.table.scan(&["assign/"]) {
            let Ok(row) = store_row(&row.key, row.version, &row.value) else {
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

    /// Describes hosts, upstreams and the table, for people.
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
            let id = &upstream.listed.id;
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

    /// Applies a step.
    pub fn apply(&mut self, step: WorldStep) {
        match step {
            WorldStep::CrashHost(n) => self.host_mut(n).core = None,
            WorldStep::StartHost(n) => self.start_host(n as usize % self.hosts.len()),
            WorldStep::PauseHost(n) => self.host_mut(n).is_paused = true,
            WorldStep::ResumeHost(n) => self.resume(n),
            WorldStep::LeaveHost(n) => {
                let id = self.host_mut(n).id.clone();
                self.feed(&id, Event::LeaveRequested);
            }
            WorldStep::CrashUpstream(n) => self.upstream_mut(n).is_alive = false,
            WorldStep::StartUpstream(n) => {
                let now = self.now;
                self.upstream_mut(n).restart(now);
            }
            WorldStep::FreezeUpstream(n) => self.upstream_mut(n).is_frozen = true,
            WorldStep::ThawUpstream(n) => self.upstream_mut(n).is_frozen = false,
            WorldStep::LeaveUpstream(n) => self.upstream_mut(n).listed.is_leaving = true,
            WorldStep::ReturnUpstream(n) => self.upstream_mut(n).listed.is_leaving = false,
            WorldStep::DeclareLost(host, domain) => self.declare(host, domain, true),
            WorldStep::DeclareBack(host, domain) => self.declare(host, domain, false),
            WorldStep::CutHosts(a, b) => {
                let a = Place::Host(self.host_mut(a).id.clone());
                let b = Place::Host(self.host_mut(b).id.clone());
                self.cut(a, b);
            }
            WorldStep::CutSides(mask) => self.cut_sides(mask),
            WorldStep::CutUpstream(host, upstream) => {
                let host = Place::Host(self.host_mut(host).id.clone());
                let upstream = Place::Upstream(self.upstream_mut(upstream).listed.id.clone());
                self.cut(host, upstream);
            }
            WorldStep::CutTable(n) => {
                let host = Place::Host(self.host_mut(n).id.clone());
                self.cut(host, Place::Table);
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
        self.check();
    }

    /// Runs until `millis` of virtual time.
    pub fn run_until_ms(&mut self, millis: u64) {
        let end = Moment::from_millis(millis);
        while self.step_before(end) {}
        self.now = end.max(self.now);
        self.check();
    }

    /// Returns what tells one state from another.
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
                let a = Place::Host(self.hosts[a].id.clone());
                let b = Place::Host(self.hosts[b].id.clone());
                self.cut(a, b);
            }
        }
    }

    fn declare(&mut self, host: u32, domain: u32, is_lost: bool) {
        let id = self.host_mut(host).id.clone();
        let domain = DomainName::from(format!("d{domain}"));
        self.feed(&id, Event::LossDeclared { domain, is_lost });
    }

    fn cut(&mut self, a: Place, b: Place) {
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
        host.boots += 1;
        host.id = HostId::of_run(&format!("h{index}"), &host.boots.to_string());
        host.is_paused = false;
        host.waiting.clear();
        host.published = None;
        host.next_tick = now;
        host.next_list = now;
        let address = HostAddress {
            peer: host.id.as_str().to_owned(),
            control: host.id.as_str().to_owned(),
        };
        // The policy is registered by the crate that the world is built on.
        let plugin = find_plugin::<PlacementPlugin>("load").expect("the default policy");
        let policy = (plugin.make)();
        let id = host.id.clone();
        let domain = host.domain.clone();
        host.core = Some(ControlCore::new(now, id, domain, address, timing, policy));
    }

    fn resume(&mut self, number: u32) {
        let now = self.now;
        let host = self.host_mut(number);
        host.is_paused = false;
        let mut waiting = std::mem::take(&mut host.waiting);
        for message in &mut waiting {
            message.due = now;
        }
        self.messages.extend(waiting);
    }

    /// Tells a host that every other knows the newest rows.
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
            self.feed(&host, Event::PushAcknowledged(heartbeat));
        }
    }

    /// Handles the next tick or message due before `end`.
    fn step_before(&mut self, end: Moment) -> bool {
        let ticks = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| host.core.is_some() && !host.is_paused);
        let next_tick = ticks.map(|(index, host)| (host.next_tick, index)).min();
        let next_message = self
            .messages
            .iter()
            .enumerate()
            .map(|(index, message)| (message.due, message.number, index))
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
        host.next_tick = now + TICK;
        let id = host.id.clone();
        let is_list_due = now >= host.next_list;
        if is_list_due {
            // As in a host: one of each domain reads the list often.
            let is_reader = host
                .core
                .as_ref()
                .is_some_and(|core| core.is_table_reader(now));
            let rounds = if is_reader { 1 } else { LIST_BACKGROUND_FACTOR };
            host.next_list = now + LIST_PERIOD * rounds;
            let upstreams = self.upstreams.values();
            let list = PlatformList {
                hosts: Vec::new(),
                upstreams: upstreams.map(|upstream| upstream.listed.clone()).collect(),
            };
            self.feed(&id, Event::ListRead(list));
        }
        if now >= self.hosts[index].next_loads {
            self.hosts[index].next_loads = now + LOAD_PERIOD;
            self.measure_loads(index);
        }
        self.feed(&id, Event::Tick);
        self.check();
    }

    /// Tells a host the loads of the shards that its upstreams own.
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
        core.set_loads(&measured);
    }

    /// Returns the greatest load of an upstream over the mean, in percent.
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
        let most = by_upstream.values().copied().max().unwrap_or(0);
        most * 100 * u64::from(self.setup.upstreams) / total.max(1)
    }

    pub(crate) fn feed(&mut self, host: &HostId, event: Event) {
        let now = self.now;
        let found = self.hosts.iter_mut().find(|known| known.id == *host);
        let Some(known) = found else {
            return;
        };
        let Some(core) = known.core.as_mut() else {
            return;
        };
        core.handle(now, event);
        let view = PublishedView::of(core);
        let is_unpublished = known
            .published
            .as_ref()
            .is_some_and(|seen| seen.generation == view.generation && seen.grants != view.grants);
        known.published = Some(view);
        let actions = core.drain_actions();
        if is_unpublished && self.violations.len() < 10 {
            let at = self.now_ms();
            self.violations.push(format!(
                "{at} ms: {host} changed its grants and did not say so"
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

    /// Checks that no shard has two owners, and measures those without one.
    pub(crate) fn check(&mut self) {
        let now = self.now;
        for number in 0..self.setup.shards {
            let shard = ShardId(number);
            let owners: Vec<&str> = self
                .upstreams
                .values()
                .filter(|upstream| upstream.owns(now, shard))
                .map(|upstream| upstream.listed.id.as_str())
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
                    self.longest_unowned = self.longest_unowned.max(now - since);
                }
            } else {
                self.unowned_since.entry(shard).or_insert(now);
            }
        }
    }
}

fn sheet_of(shards: u32) -> Sheet {
    let text = format!(
        r#"{{ "services": {{ "{SERVICE}": {{ "keys": {{ "shards": {shards} }}, "kinds": [{{
            "name": "chart", "method": "GET", "path": "/charts/{{region}}",
            "key": {{ "path": "region" }}, "rank": "urgent", "idempotent": true,
            "timeout_ms": 1000, "cost_ms": 5 }}] }} }} }}"#
    );
    // The text is the program's own.
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
                digest: SheetDigest::of(b""),
                submitted_by: "world".to_owned(),
                submission: "first".to_owned(),
                committed_at_ms: 0,
            })),
        }],
    };
    // The table is empty, so the row is absent as the transaction says.
    table
        .commit(&store_transaction(&transaction))
        .expect("a first write");
    table
}
