//! Settings of the processes, from command line flags, environment variables and defaults, in
//! this order of precedence.

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
