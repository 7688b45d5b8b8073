//! Rules from methods and paths to kinds of work.

use crate::parts::PathParts;
use foldhash::fast::FixedState;
use indexmap::IndexMap;
use kernel::{Cause, ServiceName, ShardId};
use owner::shard_of_key;
use sheet::{JournalPolicy, KeyPlace, KindPlan, Rank, ServicePlan, Sheet};
use std::hash::{BuildHasher, Hash, Hasher};
use std::time::Duration;

/// All services' rules.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    services: IndexMap<String, ServiceRoute, FixedState>,
}

/// One service's rules.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    name: ServiceName,
    shards: Option<u32>,
    kinds: Vec<KindRoute>,
    /// Kinds by hash of method, number of parts and first literal part.
    index: IndexMap<u64, Vec<usize>, FixedState>,
    /// Kinds whose first part is a parameter or whose last is a rest.
    unindexed: Vec<usize>,
}

/// A request's kind of work, and what its target says.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    kind: &'a KindRoute,
    target: &'a str,
    parts: PathParts<'a>,
}

/// One kind of work.
#[derive(Clone, Debug)]
pub struct KindRoute {
    service: ServiceName,
    shards: Option<u32>,
    journal: JournalPolicy,
    plan: KindPlan,
    parts: Vec<PathPart>,
    /// Position of the part that holds the key.
    key_part: Option<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum PathPart {
    Literal(String),
    Parameter(String),
    Rest,
}

impl RouteTable {
    /// Compiles a sheet's rules.
    pub fn compile(sheet: &Sheet) -> Self {
        let services = sheet.services.iter();
        Self {
            services: services
                .map(|(name, plan)| (name.as_str().to_owned(), ServiceRoute::compile(name, plan)))
                .collect(),
        }
    }

    /// Finds the kind of work of a request.
    ///
    /// # Errors
    ///
    /// Fails when no service has that name or no kind matches.
    pub fn find<'a>(&'a self, method: &str, target: &'a str) -> Result<RouteMatch<'a>, Cause> {
        let parts = PathParts::of(target);
        let service = parts.get(0).unwrap_or_default();
        let route = self.services.get(service).ok_or(Cause::NoSuchService)?;
        let kind = route.find(method, &parts).ok_or(Cause::NoSuchKind)?;
        Ok(RouteMatch {
            kind,
            target,
            parts,
        })
    }

    /// Returns a service's rules.
    pub fn service(&self, name: &str) -> Option<&ServiceRoute> {
        self.services.get(name)
    }
}

impl ServiceRoute {
    fn compile(name: &ServiceName, plan: &ServicePlan) -> Self {
        let shards = plan.keys.as_ref().map(|keys| keys.shards);
        let mut route = Self {
            name: name.clone(),
            shards,
            kinds: Vec::new(),
            index: IndexMap::default(),
            unindexed: Vec::new(),
        };
        for kind in &plan.kinds {
            let parts = parse_parts(&kind.path);
            let number = route.kinds.len();
            match index_hash_of(&kind.method, &parts) {
                Some(hash) => route.index.entry(hash).or_default().push(number),
                None => route.unindexed.push(number),
            }
            route.kinds.push(KindRoute {
                service: name.clone(),
                shards,
                journal: plan.journal,
                plan: kind.clone(),
                key_part: key_part(kind, &parts),
                parts,
            });
        }
        route
    }

    /// Returns the service's name.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Returns the number of shards of a divided service.
    pub fn shards(&self) -> Option<u32> {
        self.shards
    }

    /// Returns a kind by its name.
    pub fn kind(&self, name: &str) -> Option<&KindRoute> {
        self.kinds.iter().find(|kind| kind.plan.name == name)
    }

    fn find(&self, method: &str, parts: &PathParts<'_>) -> Option<&KindRoute> {
        let first = parts.get(1).unwrap_or_default();
        let hash = index_hash(method, parts.len().saturating_sub(1), first);
        let indexed = self.index.get(&hash).into_iter().flatten();
        let mut kinds = indexed
            .chain(&self.unindexed)
            .map(|number| &self.kinds[*number]);
        kinds.find(|kind| kind.plan.method == method && kind.matches(parts))
    }
}

impl<'a> RouteMatch<'a> {
    /// Returns the kind of work.
    pub fn kind(&self) -> &'a KindRoute {
        self.kind
    }

    /// Returns the request's key, or `None` when the kind has none.
    ///
    /// # Errors
    ///
    /// Fails when the kind has a key and the request lacks it.
    pub fn key(&self, header: impl Fn(&str) -> Option<&'a str>) -> Result<Option<&'a str>, Cause> {
        let Some(place) = &self.kind.plan.key else {
            return Ok(None);
        };
        let found = match place {
            // The service's name comes before the kind's own parts.
            KeyPlace::Path(_) => self.kind.key_part.and_then(|part| self.parts.get(part + 1)),
            KeyPlace::Query(name) => query_value(self.target, name),
            KeyPlace::Header(name) => header(name),
        };
        match found.filter(|key| !key.is_empty()) {
            Some(key) => Ok(Some(key)),
            None => Err(Cause::MissingKey),
        }
    }
}

impl KindRoute {
    /// Returns the service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns what the sheet says of the kind.
    pub fn plan(&self) -> &KindPlan {
        &self.plan
    }

    /// Returns the rank.
    pub fn rank(&self) -> Rank {
        self.plan.rank
    }

    /// Returns what happens while the journal can't be written.
    pub fn journal(&self) -> JournalPolicy {
        self.journal
    }

    /// Returns the time limit for callers who give no deadline.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.plan.timeout_ms)
    }

    /// Returns the expected slot time before any has been observed.
    pub fn planned_cost(&self) -> Duration {
        Duration::from_millis(self.plan.cost_ms)
    }

    /// Returns the shard of a key, for divided services.
    pub fn shard(&self, key: &str) -> Option<ShardId> {
        self.shards.map(|shards| shard_of_key(key, shards))
    }

    fn matches(&self, given: &PathParts<'_>) -> bool {
        for (index, part) in self.parts.iter().enumerate() {
            let Some(text) = given.get(index + 1) else {
                return false;
            };
            match part {
                PathPart::Rest => return true,
                PathPart::Parameter(_) if text.is_empty() => return false,
                PathPart::Literal(literal) if literal != text => return false,
                PathPart::Parameter(_) | PathPart::Literal(_) => {}
            }
        }
        given.len() == self.parts.len() + 1
    }
}

fn parse_parts(path: &str) -> Vec<PathPart> {
    let mut parts = Vec::new();
    for part in path.split('/').skip(1) {
        let parameter = part
            .strip_prefix('{')
            .and_then(|rest| rest.strip_suffix('}'));
        parts.push(match parameter {
            Some(name) => PathPart::Parameter(name.to_owned()),
            None if part == "*" => PathPart::Rest,
            None => PathPart::Literal(part.to_owned()),
        });
    }
    parts
}

fn key_part(kind: &KindPlan, parts: &[PathPart]) -> Option<usize> {
    let Some(KeyPlace::Path(name)) = &kind.key else {
        return None;
    };
    parts
        .iter()
        .position(|part| matches!(part, PathPart::Parameter(known) if known == name))
}

fn index_hash_of(method: &str, parts: &[PathPart]) -> Option<u64> {
    if parts.last() == Some(&PathPart::Rest) {
        return None;
    }
    match parts.first()? {
        PathPart::Literal(first) => Some(index_hash(method, parts.len(), first)),
        PathPart::Parameter(_) | PathPart::Rest => None,
    }
}

fn index_hash(method: &str, parts: usize, first: &str) -> u64 {
    let mut hasher = FixedState::default().build_hasher();
    method.hash(&mut hasher);
    parts.hash(&mut hasher);
    first.hash(&mut hasher);
    hasher.finish()
}

fn query_value<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}
