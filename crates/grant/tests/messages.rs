//! Owners in messages between hosts.

use grant::{Holder, OwnedRange, OwnerMap, WireOwners};

/// Largest message that all owners may take; the rest of a datagram of 60 KB is for
/// entries of upstreams.
const MOST_BYTES: usize = 30 << 10;

/// Builds the owners of a service whose upstreams have `each` ranges.
fn owners(upstreams: u32, each: u32) -> OwnerMap {
    let count = upstreams * each;
    let width = grant::KEYS / count;
    let ranges = (0..count).map(|index| OwnedRange {
        first: (index * width) as u16,
        last: if index + 1 == count {
            u16::MAX
        } else {
            ((index + 1) * width - 1) as u16
        },
        owner: Some(Holder {
            upstream: format!("i-{:010x}", index % upstreams).as_str().into(),
            run: 1_783_367_566_009 + u64::from(index % upstreams),
        }),
        epoch: (3 << 24) + u64::from(index),
        is_held: index % 7 != 0,
        earlier: Vec::new(),
    });
    OwnerMap {
        ranges: ranges.collect(),
    }
}

#[test]
fn wire_owners_restore_the_map() {
    let mut map = owners(9, 3);
    map.ranges[4].owner = None;
    let bytes = postcard::to_stdvec(&WireOwners::from(&map)).unwrap();
    let wire: WireOwners = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(OwnerMap::from(wire), map);
}

#[test]
fn wire_owners_leave_earlier_holders_out() {
    let mut map = owners(3, 1);
    let earlier = (map.ranges[0].owner.clone().unwrap(), 7);
    map.ranges[1].earlier.push(earlier);
    let told = OwnerMap::from(WireOwners::from(&map));
    map.forget_earlier();
    assert_eq!(told, map);
}

#[test]
fn wire_owners_of_a_large_service_fit_a_datagram() {
    let map = owners(254, 3);
    let bytes = postcard::to_stdvec(&WireOwners::from(&map)).unwrap();
    assert!(bytes.len() < MOST_BYTES, "{} bytes", bytes.len());
}
