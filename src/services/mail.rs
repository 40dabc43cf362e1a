//! Messages between the services of a process, one type for each receiving service.

use std::sync::Arc;

use crate::decide::config::Configuration;
use crate::decide::ids::LogOffset;
use crate::kernel::ReplyTo;
use crate::platform::log_client::LogPage;

/// Any message; the variant names the receiving service.
#[derive(Debug)]
pub enum Mail {
    /// To the service `config`.
    Config(ConfigMail),
}

/// Messages to the service `config`, which owns the configuration in force.
#[derive(Debug)]
pub enum ConfigMail {
    /// Asks for the configuration in force.
    Current(ReplyTo<Arc<Configuration>>),
    /// Asks for a configuration beyond an offset; answered once there is one.
    Newer {
        /// The offset that the asker has.
        than: LogOffset,
        /// Takes the configuration.
        reply_to: ReplyTo<Arc<Configuration>>,
    },
    /// Another process has been heard to have this offset in force.
    Heard(LogOffset),
    /// Replays records; answers with the offset that is needed next.
    Apply {
        /// Records of the configuration stream.
        page: LogPage,
        /// Takes the offset.
        reply_to: ReplyTo<LogOffset>,
    },
}
