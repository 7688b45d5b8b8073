//! Response bodies that a trial expects.

/// Returns the body of `size` bytes with which a simulated upstream responds to the
/// request tagged `tag`.
pub(crate) fn expected_body(tag: &str, size: usize) -> Vec<u8> {
    let pattern = format!("{tag};");
    pattern
        .as_bytes()
        .iter()
        .copied()
        .cycle()
        .take(size)
        .collect()
}
