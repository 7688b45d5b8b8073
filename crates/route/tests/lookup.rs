//! Lookup of kinds, keys and owners.

use indexmap::IndexMap;
use kernel::{Cause, Epoch, HostId, ShardId};
use owner::{DomainRow, HostAddress, ShardOwner, UpstreamEntry, UpstreamState};
use route::{OwnerTable, RouteTable};
use rstest::rstest;
use sheet::Sheet;

fn table() -> RouteTable {
    let text = r#"{ "services": {
      "mapview": { "keys": { "shards": 8 }, "kinds": [
        { "name": "chart", "method": "GET", "path": "/charts/{region}", "key": { "path": "region" },
          "rank": "urgent", "idempotent": true, "timeout_ms": 100, "cost_ms": 5 },
        { "name": "layer", "method": "GET", "path": "/charts/{region}/layers/{layer}",
          "key": { "path": "region" }, "rank": "bulk", "idempotent": true, "timeout_ms": 100, "cost_ms": 5 },
        { "name": "search", "method": "GET", "path": "/search", "key": { "query": "q" },
          "rank": "standard", "idempotent": true, "timeout_ms": 100, "cost_ms": 5 },
        { "name": "mark", "method": "POST", "path": "/marks", "key": { "header": "x-region" },
          "rank": "standard", "idempotent": false, "timeout_ms": 100, "cost_ms": 5 },
        { "name": "any", "method": "GET", "path": "/raw/*", "key": { "query": "k" },
          "rank": "bulk", "idempotent": true, "timeout_ms": 100, "cost_ms": 5 } ] } } }"#;
    RouteTable::compile(&Sheet::parse(text).unwrap())
}

#[rstest]
#[case::path("GET", "/mapview/charts/golfo", "chart", "golfo")]
#[case::nested("GET", "/mapview/charts/golfo/layers/sst?x=1", "layer", "golfo")]
#[case::query("GET", "/mapview/search?a=b&q=hake", "search", "hake")]
#[case::header("POST", "/mapview/marks", "mark", "from-header")]
#[case::rest("GET", "/mapview/raw/a/b/c?k=v", "any", "v")]
fn find_returns_kind_and_key(
    #[case] method: &str,
    #[case] target: &str,
    #[case] kind: &str,
    #[case] key: &str,
) {
    let table = table();
    let matched = table.find(method, target).unwrap();
    assert_eq!(matched.kind().plan().name, kind);
    let header = |name: &str| (name == "x-region").then_some("from-header");
    assert_eq!(matched.key(header), Ok(Some(key)));
}

#[rstest]
#[case::service("GET", "/other/charts/a", Cause::NoSuchService)]
#[case::kind("GET", "/mapview/nothing", Cause::NoSuchKind)]
#[case::method("DELETE", "/mapview/charts/a", Cause::NoSuchKind)]
#[case::short("GET", "/mapview/charts", Cause::NoSuchKind)]
#[case::long("GET", "/mapview/charts/a/b", Cause::NoSuchKind)]
#[case::empty_part("GET", "/mapview/charts/", Cause::NoSuchKind)]
#[case::root("GET", "/", Cause::NoSuchService)]
fn find_unknown_route_fails(#[case] method: &str, #[case] target: &str, #[case] cause: Cause) {
    assert_eq!(table().find(method, target).unwrap_err(), cause);
}

#[test]
fn key_empty_is_missing() {
    let table = table();
    let matched = table.find("GET", "/mapview/search?q=").unwrap();
    assert_eq!(matched.key(|_| None), Err(Cause::MissingKey));
}

#[test]
fn owner_is_built_from_rows() {
    let host = HostId::of_run("h", "1");
    let mut row = DomainRow::default();
    let address = HostAddress {
        peer: "127.0.0.1:1".to_owned(),
        control: "127.0.0.1:2".to_owned(),
    };
    row.hosts.insert(host.clone(), address);
    row.upstreams.insert(
        "u".into(),
        UpstreamEntry {
            service: "mapview".into(),
            address: "127.0.0.1:3".to_owned(),
            slots: 4,
            connections: 10,
            primary: host.clone(),
            epoch: Epoch(2),
            unfenced: Vec::new(),
            state: UpstreamState::Live,
        },
    );
    let mut shards = IndexMap::new();
    shards.insert(
        ShardId(5),
        ShardOwner {
            upstream: "u".into(),
            domain: "d".into(),
            epoch: Epoch(9),
        },
    );
    let mut owners = IndexMap::new();
    owners.insert("mapview".into(), shards);
    let domain = "d".into();
    let table = OwnerTable::build([(&domain, &row, false)].into_iter(), &owners);
    let (upstream, epoch) = table.owner(&"mapview".into(), ShardId(5)).unwrap();
    assert_eq!((epoch, &upstream.primary.host), (Epoch(9), &host));
    assert_eq!(
        upstream.primary.peer_address.as_deref(),
        Some("127.0.0.1:1")
    );
    assert!(table.owner(&"mapview".into(), ShardId(4)).is_none());
    assert_eq!(table.service_upstreams(&"mapview".into()).count(), 1);
}
