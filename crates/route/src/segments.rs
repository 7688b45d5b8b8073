//! Splitting of a path into its segments, in one pass and without allocation.

/// Maximum number of segments; those beyond it are kept together in the last one.
const MAX_SEGMENTS: usize = 16;

/// The segments of a path, without its query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PathSegments<'a> {
    segments: [&'a str; MAX_SEGMENTS],
    len: usize,
}

impl<'a> PathSegments<'a> {
    /// Splits the path of `target` at its slashes.
    pub fn of(target: &'a str) -> Self {
        let mut segments = [""; MAX_SEGMENTS];
        let mut len = 0;
        let mut start = usize::from(target.starts_with('/'));
        let mut end = target.len();
        for (position, byte) in target.bytes().enumerate().skip(start) {
            if byte == b'?' {
                end = position;
                break;
            }
            if byte == b'/' && len + 1 < MAX_SEGMENTS {
                segments[len] = &target[start..position];
                len += 1;
                start = position + 1;
            }
        }
        segments[len] = &target[start..end];
        Self {
            segments,
            len: len + 1,
        }
    }

    /// Returns the number of segments, including the service's name.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns a segment; the first one is the service's name.
    pub fn get(&self, index: usize) -> Option<&'a str> {
        self.segments[..self.len].get(index).copied()
    }
}
