//! Rules that map methods and paths to kinds of requests.

use crate::segments::PathSegments;
use foldhash::fast::FixedState;
use indexmap::IndexMap;
use kernel::{Cause, ServiceName, ShardId};
use owner::shard_of_key;
use sheet::{JournalPolicy, KeyLocation, KindPlan, Rank, ServicePlan, Sheet};
use std::hash::{BuildHasher, Hash, Hasher};
use std::time::Duration;

/// Rules of all services.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    services: IndexMap<String, ServiceRoute, FixedState>,
}

/// Rules of one service.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    name: ServiceName,
    shards: Option<u32>,
    kinds: Vec<KindRoute>,
    /// Indexes into `kinds` by hash of the method, the number of segments and the first
    /// literal segment.
    index: IndexMap<u64, Vec<usize>, FixedState>,
    /// Indexes of the kinds whose first segment is a parameter or whose last one is a
    /// wildcard.
    unindexed: Vec<usize>,
}

/// A request's target and the kind that it matches.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    kind: &'a KindRoute,
    target: &'a str,
    segments: PathSegments<'a>,
}

/// Rule of one kind of request.
#[derive(Clone, Debug)]
pub struct KindRoute {
    service: ServiceName,
    shards: Option<u32>,
    journal: JournalPolicy,
    plan: KindPlan,
    segments: Vec<SegmentPattern>,
    /// Index of the segment that holds the key.
    key_segment: Option<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum SegmentPattern {
    Literal(String),
    Parameter(String),
    Wildcard,
}

impl RouteTable {
    /// Compiles the rules of a sheet.
    pub fn compile(sheet: &Sheet) -> Self {
        let services = sheet.services.iter();
        Self {
            services: services
                .map(|(name, plan)| (name.as_str().to_owned(), ServiceRoute::compile(name, plan)))
                .collect(),
        }
    }

    /// Finds the kind of a request.
    ///
    /// # Errors
    ///
    /// Fails when no service has the name in the first path segment, or none of its
    /// kinds matches.
    pub fn find<'a>(&'a self, method: &str, target: &'a str) -> Result<RouteMatch<'a>, Cause> {
        let segments = PathSegments::of(target);
        let service = segments.get(0).unwrap_or_default();
        let route = self.services.get(service).ok_or(Cause::NoSuchService)?;
        let kind = route.find(method, &segments).ok_or(Cause::NoSuchKind)?;
        Ok(RouteMatch {
            kind,
            target,
            segments,
        })
    }

    /// Returns the rules of a service.
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
            let segments = parse_pattern(&kind.path);
            let index = route.kinds.len();
            match pattern_hash(&kind.method, &segments) {
                Some(hash) => route.index.entry(hash).or_default().push(index),
                None => route.unindexed.push(index),
            }
            route.kinds.push(KindRoute {
                service: name.clone(),
                shards,
                journal: plan.journal,
                plan: kind.clone(),
                key_segment: key_segment(kind, &segments),
                segments,
            });
        }
        route
    }

    /// Returns the name of the service.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Returns the number of shards of a sharded service, or `None`.
    pub fn shards(&self) -> Option<u32> {
        self.shards
    }

    /// Returns the kind with this name.
    pub fn kind(&self, name: &str) -> Option<&KindRoute> {
        self.kinds.iter().find(|kind| kind.plan.name == name)
    }

    fn find(&self, method: &str, segments: &PathSegments<'_>) -> Option<&KindRoute> {
        let first_segment = segments.get(1).unwrap_or_default();
        let hash = segments_hash(method, segments.len().saturating_sub(1), first_segment);
        let indexed = self.index.get(&hash).into_iter().flatten();
        let mut kinds = indexed
            .chain(&self.unindexed)
            .map(|index| &self.kinds[*index]);
        kinds.find(|kind| kind.plan.method == method && kind.matches(segments))
    }
}

impl<'a> RouteMatch<'a> {
    /// Returns the kind of the request.
    pub fn kind(&self) -> &'a KindRoute {
        self.kind
    }

    /// Returns the key of the request, or `None` when the kind has no key.
    ///
    /// # Errors
    ///
    /// Fails when the kind has a key and the request lacks it.
    pub fn key(&self, header: impl Fn(&str) -> Option<&'a str>) -> Result<Option<&'a str>, Cause> {
        let Some(key_location) = &self.kind.plan.key else {
            return Ok(None);
        };
        let found = match key_location {
            // The service's name comes before the segments of the kind.
            KeyLocation::Path(_) => self
                .kind
                .key_segment
                .and_then(|segment| self.segments.get(segment + 1)),
            KeyLocation::Query(name) => query_value(self.target, name),
            KeyLocation::Header(name) => header(name),
        };
        match found.filter(|key| !key.is_empty()) {
            Some(key) => Ok(Some(key)),
            None => Err(Cause::MissingKey),
        }
    }
}

impl KindRoute {
    /// Returns the name of the service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the kind's settings in the sheet.
    pub fn plan(&self) -> &KindPlan {
        &self.plan
    }

    /// Returns the rank.
    pub fn rank(&self) -> Rank {
        self.plan.rank
    }

    /// Returns the policy for requests while the journal cannot be written.
    pub fn journal(&self) -> JournalPolicy {
        self.journal
    }

    /// Returns the timeout of requests without a deadline from the client.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.plan.timeout_ms)
    }

    /// Returns the expected slot time before any has been observed.
    pub fn planned_cost(&self) -> Duration {
        Duration::from_millis(self.plan.cost_ms)
    }

    /// Returns the shard of a key, or `None` when the service is not sharded.
    pub fn shard(&self, key: &str) -> Option<ShardId> {
        self.shards.map(|shards| shard_of_key(key, shards))
    }

    fn matches(&self, path: &PathSegments<'_>) -> bool {
        for (index, segment) in self.segments.iter().enumerate() {
            let Some(path_segment) = path.get(index + 1) else {
                return false;
            };
            match segment {
                SegmentPattern::Wildcard => return true,
                SegmentPattern::Parameter(_) if path_segment.is_empty() => return false,
                SegmentPattern::Literal(literal) if literal != path_segment => return false,
                SegmentPattern::Parameter(_) | SegmentPattern::Literal(_) => {}
            }
        }
        path.len() == self.segments.len() + 1
    }
}

fn parse_pattern(path: &str) -> Vec<SegmentPattern> {
    let mut segments = Vec::new();
    for segment in path.split('/').skip(1) {
        let parameter = segment
            .strip_prefix('{')
            .and_then(|rest| rest.strip_suffix('}'));
        segments.push(match parameter {
            Some(name) => SegmentPattern::Parameter(name.to_owned()),
            None if segment == "*" => SegmentPattern::Wildcard,
            None => SegmentPattern::Literal(segment.to_owned()),
        });
    }
    segments
}

fn key_segment(kind: &KindPlan, segments: &[SegmentPattern]) -> Option<usize> {
    let Some(KeyLocation::Path(name)) = &kind.key else {
        return None;
    };
    segments.iter().position(
        |segment| matches!(segment, SegmentPattern::Parameter(parameter) if parameter == name),
    )
}

fn pattern_hash(method: &str, segments: &[SegmentPattern]) -> Option<u64> {
    if segments.last() == Some(&SegmentPattern::Wildcard) {
        return None;
    }
    match segments.first()? {
        SegmentPattern::Literal(first_segment) => {
            Some(segments_hash(method, segments.len(), first_segment))
        }
        SegmentPattern::Parameter(_) | SegmentPattern::Wildcard => None,
    }
}

fn segments_hash(method: &str, segment_count: usize, first_segment: &str) -> u64 {
    let mut hasher = FixedState::default().build_hasher();
    method.hash(&mut hasher);
    segment_count.hash(&mut hasher);
    first_segment.hash(&mut hasher);
    hasher.finish()
}

fn query_value<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(parameter, _)| *parameter == name)
        .map(|(_, value)| value)
}
