//! Settings of a sidecar.

use std::net::SocketAddr;

use super::common::CommonSettings;
use super::reader::SettingReader;

/// What stands behind a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// Checked settings of `bulrushslip-sidecar`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarSettings {
    /// Settings shared with entries.
    pub common: CommonSettings,
    /// Declared name of the upstream.
    pub upstream: String,
    /// What the upstream is.
    pub target_kind: TargetKind,
    /// Address of the upstream itself.
    pub target: SocketAddr,
    /// Requests that wait at the same time.
    pub queue_limit: usize,
    /// Engines that load weights at the same time.
    pub max_loads: usize,
    /// Time for which a finished answer is kept, in milliseconds.
    pub kept_ms: u64,
    /// Answers that are kept at the same time, in bytes.
    pub kept_bytes: usize,
}

impl SidecarSettings {
    /// Reads and checks the settings.
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

fn read_target(reader: &mut SettingReader, placeholder: SocketAddr) -> (TargetKind, SocketAddr) {
    let engine = reader.optional_address("engine");
    let plain = reader.optional_address("plain");
    match (engine, plain) {
        (Some(address), None) => (TargetKind::Engine, address),
        (None, Some(address)) => (TargetKind::Plain, address),
        _ => {
            reader.refuse("engine", "IP:PORT for exactly one of --engine and --plain");
            (TargetKind::Engine, placeholder)
        }
    }
}
