//! Plug-ins that register themselves by name.
//!
//! An area declares a plug-in type, collects it with `inventory::collect!`,
//! and each variant submits itself with `inventory::submit!`.

use std::fmt;

pub use inventory;

/// A plug-in that settings choose by name.
pub trait Named {
    /// Returns the name that settings use.
    fn name(&self) -> &'static str;
}

/// No plug-in of the wanted name is registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownPlugin {
    wanted: String,
    known: Vec<&'static str>,
}

impl fmt::Display for UnknownPlugin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "unknown plug-in `{}`, expected one of {}",
            self.wanted,
            self.known.join(", ")
        )
    }
}

impl std::error::Error for UnknownPlugin {}

/// Finds a registered plug-in by name.
///
/// # Errors
///
/// Fails with the list of known names when none matches.
pub fn find_plugin<P>(name: &str) -> Result<&'static P, UnknownPlugin>
where
    P: Named + inventory::Collect,
{
    let mut known = Vec::new();
    for plugin in inventory::iter::<P> {
        if plugin.name() == name {
            return Ok(plugin);
        }
        known.push(plugin.name());
    }
    known.sort_unstable();
    Err(UnknownPlugin {
        wanted: name.to_owned(),
        known,
    })
}
