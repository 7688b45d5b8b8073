//! Cost of a route lookup with 4,096 shards and 100 rules.

use criterion::{Criterion, criterion_group, criterion_main};
use indexmap::IndexMap;
use kernel::{DomainName, Epoch, HostId, ShardId};
use owner::{DomainRow, ShardOwner, UpstreamEntry, UpstreamState};
use route::{OwnerTable, RouteTable};
use sheet::Sheet;
use std::hint::black_box;

const SHARDS: u32 = 4_096;
const RULES: usize = 100;
const UPSTREAMS: u32 = 64;

fn routes() -> RouteTable {
    let kinds: Vec<String> = (0..RULES)
        .map(|number| {
            format!(
                r#"{{ "name": "k{number}", "method": "GET", "path": "/p{number}/{{region}}",
                   "key": {{ "path": "region" }}, "rank": "urgent", "idempotent": true,
                   "timeout_ms": 100, "cost_ms": 5 }}"#
            )
        })
        .collect();
    let text = format!(
        r#"{{ "services": {{ "mapview": {{ "keys": {{ "shards": {SHARDS} }}, "kinds": [{}] }} }} }}"#,
        kinds.join(",")
    );
    RouteTable::compile(&Sheet::parse(&text).expect("a valid sheet"))
}

fn owners() -> OwnerTable {
    let domain = DomainName::from("d");
    let mut row = DomainRow::default();
    for number in 0..UPSTREAMS {
        let entry = UpstreamEntry {
            service: "mapview".into(),
            address: "127.0.0.1:1".to_owned(),
            slots: 4,
            connections: 100,
            primary: HostId::of_run("h", "1"),
            epoch: Epoch(1),
            unfenced: Vec::new(),
            state: UpstreamState::Live,
        };
        row.upstreams.insert(format!("u{number}").into(), entry);
    }
    let mut shards = IndexMap::new();
    for number in 0..SHARDS {
        let owner = ShardOwner {
            upstream: format!("u{}", number % UPSTREAMS).into(),
            domain: domain.clone(),
            epoch: Epoch(1),
        };
        shards.insert(ShardId(number), owner);
    }
    let mut services = IndexMap::new();
    services.insert("mapview".into(), shards);
    OwnerTable::build([(&domain, &row, false)].into_iter(), &services)
}

fn bench_lookup(criterion: &mut Criterion) {
    let (routes, owners) = (routes(), owners());
    let targets: Vec<String> = (0..1_024)
        .map(|number| format!("/mapview/p{}/region-{number}?zoom=7", number % RULES))
        .collect();
    let mut next_index = 0;
    criterion.bench_function("4,096 shards, 100 rules", |bencher| {
        bencher.iter(|| {
            let target = &targets[next_index % targets.len()];
            next_index += 1;
            let matched = routes.find("GET", target).expect("a kind");
            let key = matched.key(|_| None).expect("a key").unwrap_or_default();
            let kind = matched.kind();
            let shard = kind.shard(key).expect("a shard");
            black_box(owners.owner(kind.service(), shard))
        });
    });
}

criterion_group!(benches, bench_lookup);
criterion_main!(benches);
