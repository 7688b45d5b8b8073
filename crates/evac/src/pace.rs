//! How many ranges to move next.

use std::time::Duration;

/// Assumed duration of a move: a write of the row, a release that waits for running
/// work, a grant, and the write that tells hosts of the new holder.
const MOVE_DURATION: Duration = Duration::from_millis(400);
/// Lower bound of the limit on concurrent moves.
const MIN_CONCURRENT_MOVES: usize = 4;

/// Progress of the moves out of evacuated domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveProgress {
    /// Ranges whose move has not begun.
    pub remaining: usize,
    /// Ranges that are being moved.
    pub moving: usize,
    /// Time until all ranges are to be moved.
    pub time_left: Duration,
}

/// Returns how many moves to begin now.
///
/// The moves are spread over the time that is left, as requests for the keys of a moving
/// range wait. If moves take longer than assumed, less time is left and more of them run
/// at once. New moves begin in batches, since each batch costs a write of the row.
pub fn next_moves(progress: MoveProgress) -> usize {
    let MoveProgress {
        remaining,
        moving,
        time_left,
    } = progress;
    let begin_time = time_left.saturating_sub(MOVE_DURATION);
    if begin_time.is_zero() {
        return remaining;
    }
    let concurrent = remaining as f64 * MOVE_DURATION.as_secs_f64() / begin_time.as_secs_f64();
    let limit = (concurrent.ceil() as usize).max(MIN_CONCURRENT_MOVES);
    if moving > limit / 2 {
        return 0;
    }
    (limit - moving).min(remaining)
}
