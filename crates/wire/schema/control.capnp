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
  # A heartbeat; the answer is the receiver's own.
  beat @0 (beat :Beat) -> (beat :Beat);

  # Rows that the receiver may not know yet.
  push @1 (from :Text, rows :List(Row)) -> (beat :Beat);

  # Rows newer than the known versions.
  pull @2 (known :List(RowVersion)) -> (rows :List(Row));

  # The body of a sheet version that the receiver has in force.
  sheet @3 (version :UInt64) -> (found :Bool, body :Data);
}

interface Entry {
  # The bootstrap interface: without the deployment's secret there is no more.
  enter @0 (secret :Data) -> (control :Control);
}
