//! Versions of the software of upstreams, and which of them may run a request.

/// Hash of the version of an upstream's software; versions have no order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SoftwareVersion(pub u64);

/// Software versions on which a request may be placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SoftwareChoice {
    /// Any listed version.
    #[default]
    Any,
    /// Versions that all instances have had time to list, if there are upstreams of one.
    Settled,
    /// The version that began the stream which is resumed.
    Only(SoftwareVersion),
}

/// Software versions that a choice of an upstream may take.
#[derive(Debug, Clone, Copy)]
pub enum SoftwareFilter<'a> {
    /// All but these.
    Except(&'a [SoftwareVersion]),
    /// One of them.
    Only(SoftwareVersion),
}

impl SoftwareFilter<'_> {
    /// Returns whether upstreams of a version may be chosen.
    #[must_use]
    pub fn admits(self, version: SoftwareVersion) -> bool {
        match self {
            Self::Except(versions) => !versions.contains(&version),
            Self::Only(only) => version == only,
        }
    }
}
