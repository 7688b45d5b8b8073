//! What is given up if the capacity elsewhere is too small.

/// Returns for each rank how much of its load has no room in `capacity`, which goes to
/// the most urgent rank (the lowest number) first; ranks with room are left out.
///
/// ```
/// let loads = [(2, 30.0), (0, 10.0), (1, 20.0)];
/// assert_eq!(evac::given_up(25.0, &loads), [(1, 5.0), (2, 30.0)]);
/// assert!(evac::given_up(60.0, &loads).is_empty());
/// ```
pub fn given_up(capacity: f64, loads: &[(u32, f64)]) -> Vec<(u32, f64)> {
    let mut by_rank = loads.to_vec();
    by_rank.sort_by_key(|(rank, _)| *rank);
    let mut room = capacity;
    let mut missing = Vec::new();
    for (rank, load) in by_rank {
        if load > room {
            missing.push((rank, load - room));
        }
        room = (room - load).max(0.0);
    }
    missing
}
