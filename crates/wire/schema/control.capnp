@0xb5e7a4c9d1f03e62;

# Control messages between entry hosts.

struct UpstreamLoad {
  upstream @0 :Text;
  slotMs @1 :UInt32;
  waitMs @2 :UInt32;
}

struct Suspect {
  fingerprint @0 :UInt64;
  losses @1 :UInt32;
  remainingMs @2 :UInt32;
}

struct Beat {
  from @0 :Text;
  domain @1 :Text;
  isLeaving @2 :Bool;
  rowVersion @3 :UInt64;
  fingerprint @4 :UInt64;
  sheetVersion @5 :UInt64;
  loads @6 :List(UpstreamLoad);
  suspects @7 :List(Suspect);
  hasLoads @8 :Bool;
}

struct Row {
  key @0 :Text;
  version @1 :UInt64;
  content @2 :Data;
}

struct RowVersion {
  key @0 :Text;
  version @1 :UInt64;
}

interface Control {
  # Sends a heartbeat; the receiver answers with its own heartbeat.
  beat @0 (beat :Beat) -> (beat :Beat);

  # Sends rows that the receiver may not have yet.
  push @1 (from :Text, rows :List(Row)) -> (beat :Beat);

  # Returns the rows that are newer than the known versions.
  pull @2 (known :List(RowVersion)) -> (rows :List(Row));

  # Returns the body of a sheet version if it is the receiver's active sheet.
  sheet @3 (version :UInt64) -> (found :Bool, body :Data);
}

interface Entry {
  # The bootstrap interface: returns the control interface if the deployment's secret
  # is correct.
  enter @0 (secret :Data) -> (control :Control);
}
