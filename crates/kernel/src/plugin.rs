//! Plug-ins that register themselves by name.
//!
//! A crate declares a plug-in type and collects it with `inventory::collect!`; each
//! plug-in is registered with `inventory::submit!`.

use std::fmt;

pub use inventory;

/// A plug-in that settings select by name.
pub trait NamedPlugin {
    /// Returns the name that settings use.
    fn name(&self) -> &'static str;
}

/// Error for a name under which no plug-in is registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownPlugin {
    requested: String,
    registered: Vec<&'static str>,
}

impl fmt::Display for UnknownPlugin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "unknown plug-in `{}`, expected one of {}",
            self.requested,
            self.registered.join(", ")
        )
    }
}

impl std::error::Error for UnknownPlugin {}

/// Finds a registered plug-in by name.
///
/// # Errors
///
/// Fails with the list of registered names when none matches.
pub fn find_plugin<P>(name: &str) -> Result<&'static P, UnknownPlugin>
where
    P: NamedPlugin + inventory::Collect,
{
    let mut registered = Vec::new();
    for plugin in inventory::iter::<P> {
        if plugin.name() == name {
            return Ok(plugin);
        }
        registered.push(plugin.name());
    }
    registered.sort_unstable();
    Err(UnknownPlugin {
        requested: name.to_owned(),
        registered,
    })
}
