//! Runs the project's own binaries on free ports and ends them on drop.

#![expect(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of these helpers"
)]

mod chat;
mod fleet;
mod http;
mod process;
mod relay;

pub use chat::{ChatCall, ChatReport, ChatStream};
pub use fleet::{API_KEY, Fleet, FleetOptions, MODEL, OTHER_KEY};
pub use http::{Answer, build, get, post, send};
pub use process::ChildProcess;
pub use relay::Relay;
