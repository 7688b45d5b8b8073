//! Bearer tokens of the administration API.

use crate::settings::{AdminRole, AdminToken};
use sha2::{Digest, Sha256};
use std::fmt::Write as _;
use subtle::ConstantTimeEq;

const BEARER_PREFIX: &str = "Bearer ";

/// Returns the known token that an `Authorization` header presents.
///
/// All digests are compared, each in constant time, even after a match.
pub(crate) fn authenticate<'a>(
    tokens: &'a [AdminToken],
    header: Option<&str>,
) -> Option<&'a AdminToken> {
    let presented = header?.strip_prefix(BEARER_PREFIX)?;
    let digest = hex_digest(presented.as_bytes());
    let mut found = None;
    for token in tokens {
        let known = token.sha256.to_ascii_lowercase();
        if bool::from(known.as_bytes().ct_eq(digest.as_bytes())) {
            found = Some(token);
        }
    }
    found
}

/// Returns whether a token's role includes the role `required`.
pub(crate) fn allows(token: &AdminToken, required: AdminRole) -> bool {
    token.role >= required
}

fn hex_digest(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        // Writing to a string can't fail.
        let _write_result = write!(text, "{byte:02x}");
    }
    text
}
