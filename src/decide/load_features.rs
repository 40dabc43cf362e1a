//! Features for deployments under heavy load, each in use only where the settings ask for it.

/// Features of one instance; all are off by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadFeatures {
    /// Whether upstreams that have started or recovered get work at the pace at which they answer.
    pub paces_upstreams: bool,
}
