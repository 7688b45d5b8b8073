//! Rendezvous hashing (Thaler and Ravishankar, 1998) with xxHash3.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `candidate` for `subject`; the greatest weight is chosen.
pub fn weight(subject: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Sorts candidates by the weight of their names for `subject`, in descending order.
pub fn rank_by_weight<'a, T: Ord>(
    subject: &str,
    candidates: impl Iterator<Item = &'a T>,
    name_of: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let mut ranked: Vec<(u64, &T)> = candidates
        .map(|candidate| (weight(subject, name_of(candidate)), candidate))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}
