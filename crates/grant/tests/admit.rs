//! What overloaded upstreams can serve.

use grant::{Candidate, Holder, KeyLoads, OwnedRange, OwnerMap, admitted_shares};
use std::time::Duration;

const HALF_LIFE: Duration = Duration::from_secs(3);

fn range(first: u16, last: u16, upstream: &str) -> OwnedRange {
    OwnedRange {
        first,
        last,
        owner: Some(Holder {
            upstream: upstream.into(),
            run: 1,
        }),
        epoch: 1,
        is_held: true,
        earlier: Vec::new(),
    }
}

fn candidate(upstream: &str, rate: Option<f64>) -> Candidate {
    Candidate {
        rate,
        ..Candidate::new(upstream, 1, 2.0)
    }
}

/// Loads of 40 requests a second on one key and 10 spread over all, for 20 s.
fn loads() -> KeyLoads {
    let mut loads = KeyLoads::default();
    for _step in 0..200 {
        loads.fade(Duration::from_millis(100), HALF_LIFE);
        loads.note(100, 4.0);
        for key in 0..64_u16 {
            loads.note(key * 1_024, 1.0 / 64.0);
        }
    }
    loads
}

#[test]
fn admitted_shares_tell_what_a_hot_keys_holder_can_serve() {
    let map = OwnerMap {
        ranges: vec![range(0, 1_023, "i-hot"), range(1_024, u16::MAX, "i-rest")],
    };
    let candidates = [
        candidate("i-hot", Some(9.0)),
        candidate("i-rest", Some(40.0)),
    ];
    let shares = admitted_shares(&map, &loads(), &candidates, 141, HALF_LIFE);
    let [(id, share)] = shares.as_slice() else {
        panic!("{shares:?}");
    };
    assert_eq!(id.as_str(), "i-hot");
    assert!((0.17..0.25).contains(share), "{share}");
}

#[test]
fn admitted_shares_leave_upstreams_alone_that_few_hosts_know_well() {
    let map = OwnerMap {
        ranges: vec![range(0, u16::MAX, "i-hot")],
    };
    let candidates = [candidate("i-hot", Some(9.0))];
    let shares = admitted_shares(&map, &loads(), &candidates, 18, HALF_LIFE);
    assert_eq!(shares, []);
}

#[test]
fn admitted_shares_leave_unmeasured_upstreams_alone() {
    let map = OwnerMap {
        ranges: vec![range(0, u16::MAX, "i-new")],
    };
    let shares = admitted_shares(&map, &loads(), &[candidate("i-new", None)], 141, HALF_LIFE);
    assert_eq!(shares, []);
}
