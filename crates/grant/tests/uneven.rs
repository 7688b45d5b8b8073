//! Holders of uneven and changing speed.

use grant::{
    CallKind, CallReply, GrantLedger, GrantTiming, KeyLoads, OwnerCandidate, OwnerMap, PreviousTerm,
};
use kernel::Moment;
use std::time::Duration;

/// Time between two steps of the ledger.
const STEP: Duration = Duration::from_millis(50);

/// A ledger whose calls and writes all succeed at once.
struct LedgerDriver {
    ledger: GrantLedger,
    now: Moment,
    moves: u32,
}

impl LedgerDriver {
    fn new() -> Self {
        let mut ledger = GrantLedger::new(GrantTiming::default(), 1);
        let now = Moment::from_millis(10_000);
        ledger.adopt(now, OwnerMap::default(), PreviousTerm::default());
        Self {
            ledger,
            now,
            moves: 0,
        }
    }

    fn step(&mut self, candidates: &[OwnerCandidate], loads: &KeyLoads) {
        self.now = self.now + STEP;
        let step = self.ledger.step(self.now, candidates, loads);
        for call in step.calls {
            let reply = match call.kind {
                CallKind::Grant { .. } => CallReply::Granted,
                CallKind::Release => {
                    self.moves += 1;
                    CallReply::Released(None)
                }
                CallKind::Probe => CallReply::Reached,
            };
            self.ledger.record_reply(self.now, &call, reply);
        }
        if step.commit.is_some() {
            self.ledger.record_commit(self.now, true);
        }
    }
}

/// Adds a number to a hash (FNV-1a).
fn fold(hash: u64, number: u64) -> u64 {
    (hash ^ number).wrapping_mul(0x100_0000_01b3)
}

/// Holders that send three figures get the ranges that they got before the fourth was
/// read, through speeds and loads that change; the hash is of the owners at commit
/// 1c8aed5.
#[test]
fn step_three_figures_assigns_as_before() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut driver = LedgerDriver::new();
    let mut hash = 0;
    for _round in 0..30 {
        let mut loads = KeyLoads::default();
        for _key in 0..60 {
            loads.record(rng.u16(..), 10.0 + f32::from(rng.u8(..)));
        }
        loads.decay(Duration::ZERO, Duration::from_secs(2));
        let rate = loads.rate().expect("the loads decay");
        let mut candidates = Vec::new();
        for index in 0..12 {
            let capacity = 4.0 * (0.7 + 0.9 * rng.f64());
            let mut candidate = OwnerCandidate::new(&format!("i-{index}"), 1, capacity);
            candidate.max_rate = Some(rate / 34.0 * capacity);
            candidates.push(candidate);
        }
        for _step in 0..20 {
            driver.step(&candidates, &loads);
        }
        for range in &driver.ledger.map().ranges {
            let owner = range.owner.as_ref().expect("owned");
            hash = fold(hash, u64::from(range.first));
            let name = owner.upstream.as_str().bytes();
            hash = name.fold(hash, |hash, byte| fold(hash, u64::from(byte)));
        }
    }
    assert_eq!((driver.moves, hash), (132, 2_391_997_534_269_798_351));
}
