//! Lookup of routes by host name and longest path prefix.

use indexmap::IndexMap;
use kernel::ServiceName;
use parking_lot::Mutex;
use sheet::{RouteRule, RouteSheet};
use std::sync::Arc;

/// Routes of one sheet, compiled for lookup.
#[derive(Debug, Default)]
pub struct PrefixTable {
    version: u64,
    hosts: IndexMap<String, Vec<Arc<PrefixRoute>>>,
}

/// A route and the state of the weighted distribution among its services.
#[derive(Debug)]
pub struct PrefixRoute {
    rule: RouteRule,
    current_weights: Mutex<Vec<i64>>,
}

impl PrefixTable {
    /// Compiles a sheet.
    ///
    /// Routes that are unchanged from `previous` keep the state of their distribution,
    /// so that an unrelated change does not disturb the shares.
    pub fn compile(sheet: &RouteSheet, previous: &Self) -> Self {
        let mut hosts = IndexMap::new();
        for (host, rules) in &sheet.hosts {
            let known_routes = previous.hosts.get(host);
            let mut routes: Vec<Arc<PrefixRoute>> = Vec::with_capacity(rules.len());
            for rule in rules {
                let unchanged =
                    known_routes.and_then(|routes| routes.iter().find(|r| r.rule == *rule));
                routes.push(match unchanged {
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

    /// Returns the version of the sheet; 0 before a sheet is known.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Finds the route of a request; `target` is its path, optionally with a query.
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
        let current_weights = Mutex::new(vec![0; rule.services.len()]);
        Self {
            rule,
            current_weights,
        }
    }

    /// Returns the rule of the route.
    pub const fn rule(&self) -> &RouteRule {
        &self.rule
    }

    /// Selects the service of the next request by smooth weighted round-robin.
    pub fn choose_service(&self) -> &ServiceName {
        let services = &self.rule.services;
        if let [only] = services.as_slice() {
            return &only.service;
        }
        let mut current_weights = self.current_weights.lock();
        let mut best = 0;
        let mut total_weight = 0;
        for (index, service) in services.iter().enumerate() {
            current_weights[index] += i64::from(service.weight);
            total_weight += i64::from(service.weight);
            if current_weights[index] > current_weights[best] {
                best = index;
            }
        }
        current_weights[best] -= total_weight;
        &services[best].service
    }
}
