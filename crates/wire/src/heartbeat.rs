//! Conversion of heartbeats to and from capnp messages.

use crate::WireError;
use crate::control_capnp::beat;
use kernel::Version;
use member::{Heartbeat, Suspect, UpstreamLoad};

/// Writes a heartbeat to a capnp message.
pub fn write_heartbeat(mut builder: beat::Builder<'_>, heartbeat: &Heartbeat) {
    builder.set_from(heartbeat.from.as_str());
    builder.set_domain(heartbeat.domain.as_str());
    builder.set_is_leaving(heartbeat.is_leaving);
    builder.set_row_version(heartbeat.row_version.0);
    builder.set_fingerprint(heartbeat.fingerprint);
    builder.set_sheet_version(heartbeat.sheet_version.0);
    builder.set_has_loads(heartbeat.loads.is_some());
    let reported = heartbeat.loads.as_deref().unwrap_or_default();
    let mut loads = builder.reborrow().init_loads(reported.len() as u32);
    for (index, load) in reported.iter().enumerate() {
        let mut entry = loads.reborrow().get(index as u32);
        entry.set_upstream(load.upstream.as_str());
        entry.set_slot_ms(load.slot_ms);
        entry.set_wait_ms(load.wait_ms);
    }
    let mut suspects = builder.init_suspects(heartbeat.suspects.len() as u32);
    for (index, suspect) in heartbeat.suspects.iter().enumerate() {
        let mut entry = suspects.reborrow().get(index as u32);
        entry.set_fingerprint(suspect.fingerprint);
        entry.set_losses(suspect.losses);
        entry.set_remaining_ms(suspect.remaining_ms);
    }
}

/// Reads a heartbeat from a capnp message.
///
/// # Errors
///
/// Fails when the message is malformed.
pub fn read_heartbeat(reader: beat::Reader<'_>) -> Result<Heartbeat, WireError> {
    let mut loads = Vec::new();
    for load in reader.get_loads()? {
        loads.push(UpstreamLoad {
            upstream: load.get_upstream()?.to_str()?.into(),
            slot_ms: load.get_slot_ms(),
            wait_ms: load.get_wait_ms(),
        });
    }
    let mut suspects = Vec::new();
    for suspect in reader.get_suspects()? {
        suspects.push(Suspect {
            fingerprint: suspect.get_fingerprint(),
            losses: suspect.get_losses(),
            remaining_ms: suspect.get_remaining_ms(),
        });
    }
    Ok(Heartbeat {
        from: reader.get_from()?.to_str()?.into(),
        domain: reader.get_domain()?.to_str()?.into(),
        is_leaving: reader.get_is_leaving(),
        row_version: Version(reader.get_row_version()),
        fingerprint: reader.get_fingerprint(),
        sheet_version: Version(reader.get_sheet_version()),
        loads: reader.get_has_loads().then_some(loads),
        suspects,
    })
}
