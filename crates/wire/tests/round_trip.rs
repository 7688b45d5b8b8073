//! Conversion of heartbeats and rows to capnp messages and back.

use kernel::Version;
use member::{Heartbeat, Suspect, UpstreamLoad};
use owner::{RowContent, RowKey, ServiceRow, VersionedRow};
use proptest::prelude::*;
use wire::control_capnp::{beat, row};
use wire::{parse_stored_row, read_heartbeat, read_row, write_heartbeat};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    #[test]
    fn heartbeat_round_trip(
        from in "[a-z]{1,10}#[0-9a-f]{8}", is_leaving in any::<bool>(), version in any::<u64>(),
        loads in prop::collection::vec(("[a-z]{1,8}", any::<u32>(), any::<u32>()), 0..8),
        suspects in prop::collection::vec((any::<u64>(), any::<u32>(), any::<u32>()), 0..8),
    ) {
        let sent = Heartbeat {
            from: from.into(),
            domain: "d".into(),
            is_leaving,
            row_version: Version(version),
            fingerprint: version ^ 7,
            sheet_version: Version(version / 2),
            loads: is_leaving.then(|| loads.into_iter().map(|(upstream, slot_ms, wait_ms)| UpstreamLoad {
                upstream: upstream.into(), slot_ms, wait_ms,
            }).collect()),
            suspects: suspects.into_iter().map(|(fingerprint, losses, remaining_ms)| Suspect {
                fingerprint, losses, remaining_ms,
            }).collect(),
        };
        let mut message = capnp::message::Builder::new_default();
        write_heartbeat(message.init_root::<beat::Builder<'_>>(), &sent);
        let reader = message.get_root_as_reader::<beat::Reader<'_>>().unwrap();
        prop_assert_eq!(read_heartbeat(reader).unwrap(), sent);
    }

    /// Malformed messages from a peer yield an error and never a panic.
    #[test]
    fn heartbeat_from_arbitrary_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let options = capnp::message::ReaderOptions::default();
        let mut slice = bytes.as_slice();
        if let Ok(message) = capnp::serialize::read_message(&mut slice, options)
            && let Ok(reader) = message.get_root::<beat::Reader<'_>>()
        {
            // Success and failure are both allowed; a panic is not.
            let _result = read_heartbeat(reader);
        }
    }

    /// Rows whose content is not valid for their key are refused.
    #[test]
    fn row_with_invalid_content_refused(content in "[\\x20-\\x7e]{0,60}") {
        let mut message = capnp::message::Builder::new_default();
        let mut builder = message.init_root::<row::Builder<'_>>();
        builder.set_key("domain/a");
        builder.set_version(1);
        builder.set_content(content.as_bytes());
        let reader = message.get_root_as_reader::<row::Reader<'_>>().unwrap();
        prop_assert!(read_row(reader).is_err());
    }
}

#[test]
fn row_with_unknown_key_refused() {
    let error = parse_stored_row("surprise/a", 1, &serde_json::Value::Null).unwrap_err();
    assert!(error.to_string().contains("surprise/a"));
}

#[test]
fn row_read_from_store() {
    let row = parse_stored_row("service/mapview", 4, &serde_json::json!({ "shards": 16 })).unwrap();
    let expected = VersionedRow {
        key: RowKey::Service("mapview".into()),
        version: Version(4),
        content: RowContent::Service(ServiceRow { shards: 16 }),
    };
    assert_eq!(row, expected);
}
