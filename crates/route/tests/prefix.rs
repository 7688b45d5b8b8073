//! Lookup by host and longest prefix, and the shares of a route's services.

use indexmap::IndexMap;
use route::PrefixTable;
use rstest::rstest;
use sheet::{ClientLimits, RequestKind, RouteRule, RouteSheet, WeightedService};
use std::time::Duration;

fn rule(name: &str, prefix: &str, services: &[(&str, u32)]) -> RouteRule {
    let services = services.iter().map(|(service, weight)| WeightedService {
        service: (*service).into(),
        weight: *weight,
    });
    RouteRule {
        name: name.to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        rank: 1,
        target_latency: Duration::from_millis(400),
        timeout: Duration::from_millis(800),
        max_attempts: 2,
        services: services.collect(),
    }
}

fn sheet(version: u64, rules: Vec<RouteRule>) -> RouteSheet {
    RouteSheet {
        version,
        limits: ClientLimits::default(),
        hosts: IndexMap::from([("a.example".to_owned(), rules)]),
        services: IndexMap::new(),
    }
}

fn table() -> PrefixTable {
    let rules = vec![
        rule("short", "/a/", &[("x", 1)]),
        rule("long", "/a/b/", &[("y", 1)]),
    ];
    PrefixTable::compile(&sheet(1, rules), &PrefixTable::default())
}

#[rstest]
#[case::short("a.example", "/a/x", Some("short"))]
#[case::long("a.example", "/a/b/c?q=/a/", Some("long"))]
#[case::whole_parts_only("a.example", "/a/bc", Some("short"))]
#[case::without_slash("a.example", "/a", None)]
#[case::port("a.example:8381", "/a/", Some("short"))]
#[case::capitals("A.Example", "/a/", Some("short"))]
#[case::other_host("b.example", "/a/", None)]
#[case::path_in_query("a.example", "/?/a/", None)]
fn find_returns_the_longest_prefix(
    #[case] host: &str,
    #[case] target: &str,
    #[case] name: Option<&str>,
) {
    let table = table();
    let found = table.find(host, target);
    assert_eq!(found.map(|route| route.rule().name.as_str()), name);
}

#[test]
fn choose_service_keeps_weights_across_unrelated_changes() {
    let split = rule("split", "/s/", &[("x", 90), ("y", 10)]);
    let mut table = PrefixTable::compile(&sheet(1, vec![split.clone()]), &PrefixTable::default());
    let mut counts: IndexMap<String, u32> = IndexMap::new();
    for number in 0..1_000_u64 {
        if number % 7 == 0 {
            let rules = vec![
                split.clone(),
                rule("other", &format!("/{number}/"), &[("z", 1)]),
            ];
            table = PrefixTable::compile(&sheet(number + 2, rules), &table);
        }
        let route = table.find("a.example", "/s/1").expect("there");
        *counts
            .entry(route.choose_service().to_string())
            .or_default() += 1;
    }
    assert_eq!((counts["x"], counts["y"]), (900, 100));
}
