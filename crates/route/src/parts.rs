//! A path's parts, found in one pass and without an allocation.

/// Parts beyond this many are taken together as the last one.
const MOST_PARTS: usize = 16;

/// The parts of a path, without its query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PathParts<'a> {
    parts: [&'a str; MOST_PARTS],
    len: usize,
}

impl<'a> PathParts<'a> {
    /// Splits the path of `target` at its slashes.
    pub fn of(target: &'a str) -> Self {
        let mut parts = [""; MOST_PARTS];
        let mut len = 0;
        let mut start = usize::from(target.starts_with('/'));
        let mut end = target.len();
        for (at, byte) in target.bytes().enumerate().skip(start) {
            if byte == b'?' {
                end = at;
                break;
            }
            if byte == b'/' && len + 1 < MOST_PARTS {
                parts[len] = &target[start..at];
                len += 1;
                start = at + 1;
            }
        }
        parts[len] = &target[start..end];
        Self {
            parts,
            len: len + 1,
        }
    }

    /// Returns the number of parts, the service's name included.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns a part; the service's name is the first.
    pub fn get(&self, index: usize) -> Option<&'a str> {
        self.parts[..self.len].get(index).copied()
    }
}
