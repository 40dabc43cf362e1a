//! Weights that an upstream is stated to run before its entry in the store says so: by its responses
//! and reports, or by other instances.
//!
//! A statement may be wrong, because a faulty upstream sends wrong bytes. The upstream writes its entry
//! anew with each heartbeat, so the entry confirms a statement or refutes it.

use std::time::Duration;

use crate::kernel::Moment;

/// Time for which statements of a refuted version are ignored, unless the upstream itself repeats
/// them; it exceeds the time for which instances pass a statement on.
const REFUTED_TIME: Duration = Duration::from_secs(30);

/// Source of a statement on the weights of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementSource {
    /// A response of the upstream to a request that it has accepted.
    Response,
    /// A response by which the upstream rejects a request for other weights.
    Rejection,
    /// The end of an order to load the version.
    Order,
    /// Another instance.
    Instance,
}

impl StatementSource {
    /// Returns the name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Rejection => "rejection",
            Self::Order => "order",
            Self::Instance => "instance",
        }
    }

    /// Returns whether the source is an answer to a question about the weights, which counts although
    /// an earlier statement was refuted.
    const fn is_specific(self) -> bool {
        matches!(self, Self::Rejection | Self::Order)
    }
}

/// Statement that an upstream runs a version of weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightsStatement {
    /// Stated version.
    pub version: u64,
    /// Source of the statement.
    pub source: StatementSource,
}

/// Effect of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementEffect {
    /// The upstream counts as running the stated version until its entry decides.
    Accepted,
    /// The upstream has contradicted an earlier statement, which no longer counts.
    Contradicted {
        /// Version of the earlier statement.
        version: u64,
    },
    /// None: operators have named no such version. Reported once for a version.
    Unnamed,
    /// None: the version is known, or was refuted.
    Ignored,
}

/// Version and time of a statement or of its refutation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct VersionMoment {
    version: u64,
    at: Moment,
}

/// Statements on the weights of one run of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatedWeights {
    /// Statement that is newer than the entry.
    pending: Option<VersionMoment>,
    /// Last refuted statement.
    refuted: Option<VersionMoment>,
    /// Last stated version that was not named.
    unnamed: Option<u64>,
}

impl StatedWeights {
    /// Returns the version that the upstream counts as running, given the one in its entry.
    #[must_use]
    pub fn version(&self, listed: u64) -> u64 {
        let stated = self.pending.map_or(0, |pending| pending.version);
        listed.max(stated)
    }

    /// Records a statement; `listed` is the version in the entry and `newest` the newest one of the model
    /// that operators have named.
    pub fn record(
        &mut self,
        now: Moment,
        statement: WeightsStatement,
        listed: u64,
        newest: u64,
    ) -> StatementEffect {
        let WeightsStatement { version, source } = statement;
        let known = self.version(listed);
        if version < known && source == StatementSource::Rejection {
            let refuted = self.refute(now);
            return refuted.map_or(StatementEffect::Ignored, |version| {
                StatementEffect::Contradicted { version }
            });
        }
        if version <= known || self.is_refuted(now, statement) {
            return StatementEffect::Ignored;
        }
        if version > newest {
            let before = self.unnamed.replace(version);
            return if before == Some(version) {
                StatementEffect::Ignored
            } else {
                StatementEffect::Unnamed
            };
        }
        self.pending = Some(VersionMoment { version, at: now });
        StatementEffect::Accepted
    }

    /// Records the version in a new entry, which confirms statements of it and of older ones.
    pub fn record_listed(&mut self, listed: u64) {
        self.pending = self.pending.filter(|pending| pending.version > listed);
        self.refuted = self.refuted.filter(|refuted| refuted.version > listed);
    }

    /// Refutes the pending statement if the list of entries was complete at `confirmed_at`, at least
    /// `entry_lag` after the statement; returns its version.
    pub fn check(&mut self, now: Moment, confirmed_at: Moment, entry_lag: Duration) -> Option<u64> {
        let is_late = |pending: &VersionMoment| pending.at.after(entry_lag).is_due(confirmed_at);
        self.pending.as_ref().filter(|pending| is_late(pending))?;
        self.refute(now)
    }

    fn is_refuted(&self, now: Moment, statement: WeightsStatement) -> bool {
        let refuted = self.refuted.filter(|refuted| {
            refuted.version == statement.version && now.since(refuted.at) < REFUTED_TIME
        });
        refuted.is_some() && !statement.source.is_specific()
    }

    fn refute(&mut self, now: Moment) -> Option<u64> {
        let version = self.pending.take()?.version;
        self.refuted = Some(VersionMoment { version, at: now });
        Some(version)
    }
}
