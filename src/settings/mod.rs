//! Settings of the processes: flags before environment variables before defaults, all checked.

mod common;
mod entry;
mod reader;
mod sidecar;
mod table;

pub use common::{CommonSettings, LogFormat};
pub use entry::EntrySettings;
pub use reader::{ReadSettings, SettingError, SettingReader, StartOutcome, read_flags};
pub use sidecar::{SidecarSettings, TargetKind};
pub use table::{
    ENTRY_TABLE, Fallback, GATEWAY_TABLE, SIDECAR_TABLE, SettingRow, ValueKind, markdown,
};
