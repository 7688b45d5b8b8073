//! What a whole answer to a request looks like.

/// Returns the body that the stand-in gives to the request marked `tag`.
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
