//! The simulated platform and upstreams follow the rules that hosts rely on.

use async_std::task::block_on;
use fake::{FakeTable, FakeUpstream, HeldLease, LeaseRefusal, RunLog, UpstreamSetup};
use kernel::{Epoch, ShardId};
use owner::{LeaseRequest, ShardGrant};
use serde_json::json;
use store::StoreTransaction;

fn lease_request(epoch: u64, sequence: u64, until_us: u64) -> LeaseRequest {
    LeaseRequest {
        epoch: Epoch(epoch),
        sequence,
        boot: Some(1),
        until_us: Some(until_us),
        tag: 5,
        grants: Some(vec![ShardGrant {
            shard: ShardId(1),
            epoch: Epoch(3),
        }]),
    }
}

#[test]
fn lease_rejects_older_epoch_and_late_request() {
    let mut lease = HeldLease::default();
    lease.accept(1, &lease_request(2, 1, 100)).unwrap();
    assert_eq!(
        lease.accept(1, &lease_request(1, 9, 900)),
        Err(LeaseRefusal::Superseded(Epoch(2)))
    );
    assert_eq!(
        lease.accept(1, &lease_request(2, 1, 900)),
        Err(LeaseRefusal::Late)
    );
    assert_eq!(lease.until_us(), Some(100));
    lease.accept(1, &lease_request(3, 1, 50)).unwrap();
    assert_eq!(
        lease.until_us(),
        Some(100),
        "the expiry time never moves back"
    );
}

#[test]
fn lease_request_for_other_boot_grants_nothing() {
    let mut lease = HeldLease::default();
    lease.accept(2, &lease_request(2, 1, 100)).unwrap();
    assert_eq!(lease.until_us(), None);
    assert!(!lease.holds(ShardId(1)));
}

#[test]
fn lease_check_names_refusal() {
    let mut lease = HeldLease::default();
    lease.accept(1, &lease_request(2, 1, 100)).unwrap();
    let shard = |epoch| Some((ShardId(1), Epoch(epoch)));
    assert_eq!(lease.check(99, Epoch(2), shard(3)), Ok(()));
    assert_eq!(
        lease.check(100, Epoch(2), shard(3)),
        Err(LeaseRefusal::Lapsed)
    );
    assert_eq!(
        lease.check(99, Epoch(1), shard(3)),
        Err(LeaseRefusal::Superseded(Epoch(2)))
    );
    assert_eq!(
        lease.check(99, Epoch(2), shard(2)),
        Err(LeaseRefusal::NotGranted)
    );
    assert_eq!(
        lease.check(99, Epoch(2), Some((ShardId(2), Epoch(3)))),
        Err(LeaseRefusal::NotGranted)
    );
}

#[test]
fn table_commit_is_atomic() {
    let mut table = FakeTable::default();
    let mut first = StoreTransaction::default();
    first.write("a", 0, json!(1));
    first.write("b", 0, json!(1));
    assert_eq!(table.commit(&first).unwrap().len(), 2);
    let mut second = StoreTransaction::default();
    second.write("a", 1, json!(2));
    second.write("b", 0, json!(2));
    let conflicts = table.commit(&second).unwrap_err();
    assert_eq!((conflicts.len(), conflicts[0].key.as_str()), (1, "b"));
    assert_eq!(table.read(&["a"])[0].value, json!(1));
}

#[test]
fn table_version_is_never_reused() {
    let mut table = FakeTable::default();
    for (base, value, expected) in [(0, json!(1), 1), (1, json!(null), 2), (0, json!(3), 3)] {
        let mut transaction = StoreTransaction::default();
        transaction.write("a", base, value);
        assert_eq!(table.commit(&transaction).unwrap()[0].version, expected);
    }
}

#[test]
fn run_log_counts_second_owner() {
    let run_log = RunLog::default();
    let until = std::time::Instant::now() + std::time::Duration::from_secs(5);
    let shards = || [ShardId(1)].into_iter();
    run_log.record_ownership(&"s".into(), &"u1".into(), shards(), until);
    assert_eq!(run_log.summary().double_owners, 0);
    run_log.record_ownership(&"s".into(), &"u2".into(), shards(), until);
    assert_eq!(run_log.summary().double_owners, 1);
}

#[test]
fn upstream_restart_keeps_address() {
    block_on(async {
        let setup = UpstreamSetup {
            id: "u".into(),
            service: "s".into(),
            domain: "d".into(),
            slots: 1,
            connections: 4,
            queue: 4,
            checks_grants: true,
            cold_ms: 0,
            cold_duration_ms: 0,
        };
        let upstream = FakeUpstream::start(setup, RunLog::default()).await.unwrap();
        let address = upstream.address().to_owned();
        upstream.restart().await.unwrap();
        assert_eq!(upstream.address(), address);
        assert_eq!(upstream.exit_count(), 1);
        upstream.kill();
    });
}
