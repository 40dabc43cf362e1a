//! Messages between the services of a process, one type for each receiving service.

use std::sync::Arc;

use crate::decide::config::Configuration;
use crate::decide::ids::LogOffset;
use crate::kernel::ReplyTo;

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
    /// Another process has been heard to have this offset in force.
    Heard(LogOffset),
}
