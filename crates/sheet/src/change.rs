//! Differences between the current sheet and a submitted one.

use crate::Sheet;
use indexmap::IndexMap;
use serde::Serialize;
use std::fmt;
use std::fmt::Display;
use std::hash::Hash;

/// One difference between two sheets, with its path, such as `services.mapview`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change", content = "place")]
pub enum SheetChange {
    /// The path exists only in the new sheet.
    Added(String),
    /// The path exists only in the old sheet.
    Removed(String),
    /// The content at the path differs.
    Altered(String),
}

impl Display for SheetChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(path) => write!(f, "+ {path}"),
            Self::Removed(path) => write!(f, "- {path}"),
            Self::Altered(path) => write!(f, "~ {path}"),
        }
    }
}

/// Lists the services and customers in which `next` differs from `current`.
pub fn list_changes(current: &Sheet, next: &Sheet) -> Vec<SheetChange> {
    let mut changes = Vec::new();
    compare("services", &current.services, &next.services, &mut changes);
    compare(
        "customers",
        &current.customers,
        &next.customers,
        &mut changes,
    );
    changes
}

fn compare<K: Hash + Eq + Display, V: PartialEq>(
    group: &str,
    current: &IndexMap<K, V>,
    next: &IndexMap<K, V>,
    changes: &mut Vec<SheetChange>,
) {
    for (name, value) in next {
        let path = format!("{group}.{name}");
        match current.get(name) {
            None => changes.push(SheetChange::Added(path)),
            Some(old) if old != value => changes.push(SheetChange::Altered(path)),
            Some(_) => {}
        }
    }
    for name in current.keys() {
        if !next.contains_key(name) {
            changes.push(SheetChange::Removed(format!("{group}.{name}")));
        }
    }
}
