//! Look-up by host name and longest path prefix.

use indexmap::IndexMap;
use kernel::ServiceName;
use parking_lot::Mutex;
use sheet::{RouteRule, RouteSheet};
use std::sync::Arc;

/// Routes of one sheet, ready for look-up.
#[derive(Debug, Default)]
pub struct PrefixTable {
    version: u64,
    hosts: IndexMap<String, Vec<Arc<PrefixRoute>>>,
}

/// One route with the turns of its parts.
#[derive(Debug)]
pub struct PrefixRoute {
    rule: RouteRule,
    turns: Mutex<Vec<i64>>,
}

impl PrefixTable {
    /// Compiles a sheet.
    ///
    /// Routes that the earlier table has unchanged keep the turns of their parts,
    /// so that an unrelated change does not disturb the shares.
    pub fn compile(sheet: &RouteSheet, earlier: &Self) -> Self {
        let mut hosts = IndexMap::new();
        for (host, rules) in &sheet.hosts {
            let known = earlier.hosts.get(host);
            let mut routes: Vec<Arc<PrefixRoute>> = Vec::with_capacity(rules.len());
            for rule in rules {
                let same = known.and_then(|routes| routes.iter().find(|r| r.rule == *rule));
                routes.push(match same {
                    Some(route) => Arc::clone(route),
                    None => Arc::new(PrefixRoute::new(rule.clone())),
                });
            }
            // The longest prefix comes first, so the first match is the longest.
            routes.sort_by_key(|route| std::cmp::Reverse(route.rule.prefix.len()));
            hosts.insert(host.clone(), routes);
        }
        Self {
            version: sheet.version,
            hosts,
        }
    }

    /// Returns the sheet's version; 0 before any sheet is known.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Finds the route of a request; `target` is its path with any query.
    pub fn find(&self, host: &str, target: &str) -> Option<&Arc<PrefixRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let path = target.split(['?', '#']).next().unwrap_or_default();
        routes
            .iter()
            .find(|route| path.starts_with(&route.rule.prefix))
    }
}

impl PrefixRoute {
    fn new(rule: RouteRule) -> Self {
        let turns = Mutex::new(vec![0; rule.parts.len()]);
        Self { rule, turns }
    }

    /// Returns the rule.
    pub const fn rule(&self) -> &RouteRule {
        &self.rule
    }

    /// Chooses the service of the next request, by smooth weighted turns.
    pub fn choose_service(&self) -> &ServiceName {
        let parts = &self.rule.parts;
        if let [only] = parts.as_slice() {
            return &only.service;
        }
        let mut turns = self.turns.lock();
        let mut best = 0;
        let mut total = 0;
        for (index, part) in parts.iter().enumerate() {
            turns[index] += i64::from(part.weight);
            total += i64::from(part.weight);
            if turns[index] > turns[best] {
                best = index;
            }
        }
        turns[best] -= total;
        &parts[best].service
    }
}
