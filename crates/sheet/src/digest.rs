//! Content address of a sheet's body.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::fmt::Write as _;

/// SHA-256 of a sheet's canonical JSON, in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SheetDigest(String);

impl SheetDigest {
    /// Computes the digest of a body.
    pub fn digest_of(body: &[u8]) -> Self {
        let mut text = String::with_capacity(64);
        for byte in Sha256::digest(body) {
            // Writing to a `String` can't fail.
            let _infallible = write!(text, "{byte:02x}");
        }
        Self(text)
    }

    /// Returns the hexadecimal text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SheetDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
