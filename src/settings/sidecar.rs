//! Settings of a sidecar.

use std::net::SocketAddr;

use super::common::CommonSettings;
use super::reader::SettingReader;

/// Kind of the upstream that a sidecar serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// An inference engine for language models.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// Checked settings of `bulrushslip-sidecar`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarSettings {
    /// Settings that entries and sidecars share.
    pub common: CommonSettings,
    /// Declared name of the upstream.
    pub upstream: String,
    /// Kind of the upstream.
    pub target_kind: TargetKind,
    /// Address of the upstream.
    pub target: SocketAddr,
    /// Maximum number of queued requests of each rank.
    pub queue_limit: usize,
    /// Maximum number of engines in the fleet that load weights at the same time.
    pub max_loads: usize,
    /// Time for which the response of a finished request is retained, in milliseconds.
    pub kept_ms: u64,
    /// Maximum total size of the retained responses, in bytes.
    pub kept_bytes: usize,
}

impl SidecarSettings {
    /// Reads and checks the settings of a sidecar; the reader collects the errors.
    #[must_use]
    pub fn read(reader: &mut SettingReader) -> Self {
        let common = CommonSettings::read(reader);
        let upstream = reader.name("upstream");
        let (target_kind, target) = read_target(reader, common.platform);
        Self {
            common,
            upstream,
            target_kind,
            target,
            queue_limit: reader.size("queue-limit"),
            max_loads: reader.size("max-loads"),
            kept_ms: reader.integer("kept-ms"),
            kept_bytes: reader.size("kept-bytes"),
        }
    }
}

/// Reads kind and address of the upstream; returns the placeholder address on an error.
fn read_target(reader: &mut SettingReader, placeholder: SocketAddr) -> (TargetKind, SocketAddr) {
    let engine = reader.optional_address("engine");
    let plain = reader.optional_address("plain");
    match (engine, plain) {
        (Some(address), None) => (TargetKind::Engine, address),
        (None, Some(address)) => (TargetKind::Plain, address),
        _ => {
            reader.reject("engine", "IP:PORT for exactly one of --engine and --plain");
            (TargetKind::Engine, placeholder)
        }
    }
}
