//! Encoding of owners in messages between hosts and in rows of the store.

use grant::{Holder, OwnedRange, OwnerMap, WireOwners};

/// Maximum size of the message with all owners; the rest of a datagram of 60 KB is for
/// entries of upstreams.
const MAX_OWNERS_BYTES: usize = 30 << 10;

/// Builds the owners of a service in which each upstream has `ranges_each` ranges.
fn owners(upstreams: u32, ranges_each: u32) -> OwnerMap {
    let count = upstreams * ranges_each;
    let width = grant::KEY_COUNT / count;
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
        is_granted: index % 7 != 0,
        previous_holders: Vec::new(),
    });
    OwnerMap {
        ranges: ranges.collect(),
    }
}

#[test]
fn wire_owners_round_trip() {
    let mut map = owners(9, 3);
    map.ranges[4].owner = None;
    let bytes = postcard::to_stdvec(&WireOwners::from(&map)).unwrap();
    let wire: WireOwners = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(OwnerMap::from(wire), map);
}

#[test]
fn clear_previous_holders_leaves_them_out_of_messages() {
    let mut map = owners(3, 1);
    let without_previous = map.clone();
    let previous = (map.ranges[0].owner.clone().unwrap(), 7);
    map.ranges[1].previous_holders.push(previous);
    map.clear_previous_holders();
    assert_eq!(OwnerMap::from(WireOwners::from(&map)), without_previous);
}

#[test]
fn to_row_with_many_previous_holders_fits_the_store() {
    // After several leaders in a row, each range may still be held by the previous
    // owners.
    let mut map = owners(254, 2);
    let holders: Vec<_> = map
        .ranges
        .iter()
        .filter_map(|range| range.owner.clone())
        .collect();
    for (index, range) in map.ranges.iter_mut().enumerate() {
        for offset in 1..=6 {
            let holder = holders[(index + offset * 41) % holders.len()].clone();
            range
                .previous_holders
                .push((holder, (2 << 24) + (index * offset) as u64));
        }
    }
    let row = map.to_row();
    // The store takes values of 64 KB in base64.
    assert!(row.len() * 4 / 3 < 64 << 10, "{} bytes", row.len());
    assert_eq!(OwnerMap::from_row(&row).expect("complete"), map);
}

#[test]
fn from_row_invalid_row_is_rejected() {
    let row = owners(9, 3).to_row();
    OwnerMap::from_row(b"").unwrap_err();
    OwnerMap::from_row(b"[1,2]").unwrap_err();
    OwnerMap::from_row(&row[..row.len() / 2]).unwrap_err();
    let mut with_gap = owners(9, 3);
    with_gap.ranges.remove(4);
    OwnerMap::from_row(&with_gap.to_row()).unwrap_err();
}

#[test]
fn wire_owners_of_a_large_service_fit_a_datagram() {
    let map = owners(254, 3);
    let bytes = postcard::to_stdvec(&WireOwners::from(&map)).unwrap();
    assert!(bytes.len() < MAX_OWNERS_BYTES, "{} bytes", bytes.len());
}
