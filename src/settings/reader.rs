//! Reading and validation of settings; every invalid setting is reported, not only the first.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};

use argh::FromArgs;
use log::LevelFilter;
use quick_error::quick_error;

use super::common::LogFormat;
use super::table::{Fallback, SettingRow, ValueKind};
use crate::decide::policy::RoutingPolicy;

/// Exit code for invalid settings.
const INVALID_SETTINGS_EXIT_CODE: i32 = 2;

/// Minimum length of a token, in characters.
const MIN_TOKEN_CHARS: usize = 16;

/// Maximum length of a name, in characters.
const MAX_NAME_CHARS: usize = 64;

quick_error! {
    /// Reason why a setting is invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingError {
        /// The value of the setting is not accepted.
        Value(flag: &'static str, variable: &'static str, value: String, accepted: String) {
            display("setting --{} ({}): '{}' is not accepted; accepted: {}",
                flag, variable, value, accepted)
        }
        /// A required setting has no value.
        Missing(flag: &'static str, variable: &'static str, accepted: String) {
            display("setting --{} ({}): no value given; accepted: {}", flag, variable, accepted)
        }
    }
}

/// Function that reads settings from command line arguments (without the program name) and a
/// look-up of environment variables.
pub type ReadSettings<T> = fn(&[&str], &dyn Fn(&str) -> Option<String>) -> StartOutcome<T>;

/// Result of reading the command line and the settings of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartOutcome<T> {
    /// Run the process with these settings.
    Run(T),
    /// Print a text and exit.
    Exit {
        /// Exit code.
        code: i32,
        /// Text to print, to standard output if the code is 0 and to standard error otherwise.
        text: String,
    },
}

/// Reads settings from flags, environment variables and defaults, and collects the errors.
///
/// A missing or invalid value reads as a placeholder, and [`SettingReader::finish`] then returns
/// the errors instead of the settings.
#[derive(Debug, Clone)]
pub struct SettingReader {
    values: Vec<(SettingRow, Option<String>)>,
    errors: Vec<SettingError>,
}

impl SettingReader {
    /// Creates a reader for the settings of a table and looks up the value of each of them.
    #[must_use]
    pub fn new(
        table: &[SettingRow],
        flags: &[(&str, Option<&String>)],
        variable: &dyn Fn(&str) -> Option<String>,
    ) -> Self {
        let resolve = |row: &SettingRow| {
            let flag = flags.iter().find(|(name, _)| *name == row.flag);
            let flag = flag.and_then(|(_, value)| value.cloned());
            let given = flag.or_else(|| variable(row.variable).filter(|value| !value.is_empty()));
            let value = given.or_else(|| match row.fallback {
                Fallback::Value(value) => Some(value.to_owned()),
                Fallback::Unset | Fallback::Required => None,
            });
            (*row, value)
        };
        Self {
            values: table.iter().map(resolve).collect(),
            errors: Vec::new(),
        }
    }

    /// Reads an address; the placeholder is `0.0.0.0:0`.
    pub fn address(&mut self, flag: &str) -> SocketAddr {
        let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        self.parse_setting(flag, |value| value.parse().ok())
            .unwrap_or(unspecified)
    }

    /// Reads an optional address.
    pub fn optional_address(&mut self, flag: &str) -> Option<SocketAddr> {
        self.parse_setting(flag, |value| value.parse().ok())
    }

    /// Reads an optional list of addresses, empty if there is none.
    pub fn addresses(&mut self, flag: &str) -> Vec<SocketAddr> {
        let parse = |value: &str| {
            let addresses = value.split(',').map(|address| address.parse().ok());
            addresses.collect::<Option<Vec<_>>>()
        };
        self.parse_setting(flag, parse).unwrap_or_default()
    }

    /// Reads a name; the placeholder is an empty string.
    pub fn name(&mut self, flag: &str) -> String {
        self.parse_setting(flag, |value| is_name(value).then(|| value.to_owned()))
            .unwrap_or_default()
    }

    /// Reads an optional token.
    pub fn token(&mut self, flag: &str) -> Option<String> {
        let is_token = |value: &str| {
            value.len() >= MIN_TOKEN_CHARS && value.bytes().all(|byte| byte.is_ascii_graphic())
        };
        self.parse_setting(flag, |value| is_token(value).then(|| value.to_owned()))
    }

    /// Reads an integer within the accepted range of the setting; the placeholder is 0.
    ///
    /// # Panics
    ///
    /// Panics when the table has no integer setting with this flag.
    pub fn integer(&mut self, flag: &str) -> u64 {
        let (row, _) = self.find(flag);
        let ValueKind::Integer { min, max } = row.kind else {
            panic!("the setting --{flag} is not an integer");
        };
        let range = min..=max;
        self.parse_setting(flag, |value| {
            value.parse().ok().filter(|value| range.contains(value))
        })
        .unwrap_or(0)
    }

    /// Reads an integer as a `usize`; the placeholder is 0.
    pub fn size(&mut self, flag: &str) -> usize {
        usize::try_from(self.integer(flag)).unwrap_or(usize::MAX)
    }

    /// Reads a log level; the placeholder is `Off`.
    pub fn log_level(&mut self, flag: &str) -> LevelFilter {
        self.parse_setting(flag, |value| value.parse().ok())
            .unwrap_or(LevelFilter::Off)
    }

    /// Reads a format of log lines; the placeholder is `Text`.
    pub fn log_format(&mut self, flag: &str) -> LogFormat {
        self.parse_setting(flag, LogFormat::parse)
            .unwrap_or(LogFormat::Text)
    }

    /// Reads a routing policy; the placeholder is `Standard`.
    pub fn policy(&mut self, flag: &str) -> RoutingPolicy {
        self.parse_setting(flag, RoutingPolicy::parse)
            .unwrap_or(RoutingPolicy::Standard)
    }

    /// Reports a setting as invalid because of other settings.
    pub fn reject(&mut self, flag: &str, accepted: &str) {
        let (row, value) = self.find(flag);
        let shown = shown_value(row, value.as_deref().unwrap_or_default());
        let accepted = accepted.to_owned();
        let error = SettingError::Value(row.flag, row.variable, shown, accepted);
        self.errors.push(error);
    }

    /// Returns the settings, or the errors with exit code 2 if there are any.
    #[must_use]
    pub fn finish<T>(self, settings: T) -> StartOutcome<T> {
        if self.errors.is_empty() {
            return StartOutcome::Run(settings);
        }
        let mut text = String::new();
        for error in &self.errors {
            writeln!(text, "{error}").expect("a string can always be written to");
        }
        StartOutcome::Exit {
            code: INVALID_SETTINGS_EXIT_CODE,
            text,
        }
    }

    /// Returns description and value of a setting; panics if the table has no such setting.
    fn find(&self, flag: &str) -> (SettingRow, Option<String>) {
        let found = self.values.iter().find(|(row, _)| row.flag == flag);
        let Some((row, value)) = found else {
            panic!("the table has no setting --{flag}");
        };
        (*row, value.clone())
    }

    /// Parses the value of a setting, and records an error if it is invalid or a required value is
    /// missing.
    fn parse_setting<T>(&mut self, flag: &str, parse: impl Fn(&str) -> Option<T>) -> Option<T> {
        let (row, value) = self.find(flag);
        let accepted = row.kind.accepted();
        let Some(value) = value else {
            if row.fallback == Fallback::Required {
                let error = SettingError::Missing(row.flag, row.variable, accepted);
                self.errors.push(error);
            }
            return None;
        };
        let parsed = parse(&value);
        if parsed.is_none() {
            let shown = shown_value(row, &value);
            let error = SettingError::Value(row.flag, row.variable, shown, accepted);
            self.errors.push(error);
        }
        parsed
    }
}

fn is_name(value: &str) -> bool {
    let accepted = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_CHARS).contains(&value.len()) && value.bytes().all(accepted)
}

/// Returns a value as error messages show it; the value of a token is hidden.
fn shown_value(row: SettingRow, value: &str) -> String {
    match row.kind {
        ValueKind::Token if !value.is_empty() => "(hidden)".to_owned(),
        _ => value.to_owned(),
    }
}

/// Parses the flags of a program; the help text also lists the environment variables of the table.
///
/// # Errors
///
/// Returns exit code and text when the arguments ask for help or are invalid.
pub fn read_flags<F: FromArgs>(
    program: &str,
    arguments: &[&str],
    table: &[SettingRow],
) -> Result<F, (i32, String)> {
    let exit = match F::from_args(&[program], arguments) {
        Ok(flags) => return Ok(flags),
        Err(exit) => exit,
    };
    if exit.status.is_err() {
        return Err((INVALID_SETTINGS_EXIT_CODE, exit.output));
    }
    let mut text = exit.output;
    text.push_str("\nEnvironment variables, used where a flag is not given:\n");
    for row in table {
        let default = match row.fallback {
            Fallback::Value(value) => format!("default {value}"),
            Fallback::Unset => "no default".to_owned(),
            Fallback::Required => "required".to_owned(),
        };
        let accepted = row.kind.accepted();
        writeln!(
            text,
            "  {} (--{}): {accepted}; {default}",
            row.variable, row.flag
        )
        .expect("a string can always be written to");
    }
    Err((0, text))
}
