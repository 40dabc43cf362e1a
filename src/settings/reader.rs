//! Reads and checks settings; every bad one is reported.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};

use argh::FromArgs;
use log::LevelFilter;
use quick_error::quick_error;

use super::common::LogFormat;
use super::table::{Fallback, SettingRow, ValueKind};
use crate::decide::policy::RoutingPolicy;

/// Exit code for settings that are not accepted.
const BAD_SETTINGS_CODE: i32 = 2;

/// Fewest characters of a token.
const MIN_TOKEN_CHARS: usize = 16;

/// Most characters of a name.
const MAX_NAME_CHARS: usize = 64;

quick_error! {
    /// Why one setting is not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingError {
        /// The value is not accepted.
        Value(flag: &'static str, variable: &'static str, value: String, accepted: String) {
            display("setting --{} ({}): '{}' is not accepted; accepted: {}",
                flag, variable, value, accepted)
        }
        /// No value was given and there is no default.
        Missing(flag: &'static str, variable: &'static str, accepted: String) {
            display("setting --{} ({}): no value given; accepted: {}", flag, variable, accepted)
        }
    }
}

/// Reads settings from arguments (without the program) and a look-up of variables.
pub type ReadSettings<T> = fn(&[&str], &dyn Fn(&str) -> Option<String>) -> StartOutcome<T>;

/// What the start of a process comes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartOutcome<T> {
    /// Run with these settings.
    Run(T),
    /// Print the text and end.
    Exit {
        /// Exit code.
        code: i32,
        /// Text for standard output if the code is 0, else for standard error.
        text: String,
    },
}

/// Takes values out of flags, variables and defaults, and collects what is wrong with them.
///
/// Reading a bad value gives a placeholder; [`SettingReader::finish`] then refuses the whole.
#[derive(Debug, Clone)]
pub struct SettingReader {
    values: Vec<(SettingRow, Option<String>)>,
    errors: Vec<SettingError>,
}

impl SettingReader {
    /// Resolves each row of a table from the given flags and the variables.
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

    /// Reads an address; a placeholder if it is bad or missing.
    pub fn address(&mut self, flag: &str) -> SocketAddr {
        let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        self.parsed(flag, |value| value.parse().ok())
            .unwrap_or(unspecified)
    }

    /// Reads an address that may be unset.
    pub fn optional_address(&mut self, flag: &str) -> Option<SocketAddr> {
        self.parsed(flag, |value| value.parse().ok())
    }

    /// Reads a list of addresses that may be unset.
    pub fn addresses(&mut self, flag: &str) -> Vec<SocketAddr> {
        let parse = |value: &str| {
            let addresses = value.split(',').map(|address| address.parse().ok());
            addresses.collect::<Option<Vec<_>>>()
        };
        self.parsed(flag, parse).unwrap_or_default()
    }

    /// Reads a name; empty if it is bad or missing.
    pub fn name(&mut self, flag: &str) -> String {
        self.parsed(flag, |value| is_name(value).then(|| value.to_owned()))
            .unwrap_or_default()
    }

    /// Reads a token that may be unset.
    pub fn token(&mut self, flag: &str) -> Option<String> {
        let is_token = |value: &str| {
            value.len() >= MIN_TOKEN_CHARS && value.bytes().all(|byte| byte.is_ascii_graphic())
        };
        self.parsed(flag, |value| is_token(value).then(|| value.to_owned()))
    }

    /// Reads an integer within the range of its row; 0 if it is bad.
    ///
    /// # Panics
    ///
    /// Panics when the table holds no integer under the flag.
    pub fn integer(&mut self, flag: &str) -> u64 {
        let (row, _) = self.find(flag);
        let ValueKind::Integer { min, max } = row.kind else {
            panic!("the setting {flag} is no integer");
        };
        let range = min..=max;
        self.parsed(flag, |value| {
            value.parse().ok().filter(|value| range.contains(value))
        })
        .unwrap_or(0)
    }

    /// Reads an integer that counts values in memory; 0 if it is bad.
    pub fn size(&mut self, flag: &str) -> usize {
        usize::try_from(self.integer(flag)).unwrap_or(usize::MAX)
    }

    /// Reads a log level; off if it is bad.
    pub fn log_level(&mut self, flag: &str) -> LevelFilter {
        self.parsed(flag, |value| value.parse().ok())
            .unwrap_or(LevelFilter::Off)
    }

    /// Reads a log format; text if it is bad.
    pub fn log_format(&mut self, flag: &str) -> LogFormat {
        self.parsed(flag, LogFormat::parse)
            .unwrap_or(LogFormat::Text)
    }

    /// Reads a routing policy; the standard one if it is bad.
    pub fn policy(&mut self, flag: &str) -> RoutingPolicy {
        self.parsed(flag, RoutingPolicy::parse)
            .unwrap_or(RoutingPolicy::Standard)
    }

    /// Reports a setting that is bad for a reason beyond its own value.
    pub fn refuse(&mut self, flag: &str, accepted: &str) {
        let (row, value) = self.find(flag);
        let shown = shown_value(row, value.as_deref().unwrap_or_default());
        let accepted = accepted.to_owned();
        let error = SettingError::Value(row.flag, row.variable, shown, accepted);
        self.errors.push(error);
    }

    /// Returns the settings unless something was refused.
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
            code: BAD_SETTINGS_CODE,
            text,
        }
    }

    fn find(&self, flag: &str) -> (SettingRow, Option<String>) {
        let found = self.values.iter().find(|(row, _)| row.flag == flag);
        let Some((row, value)) = found else {
            panic!("the table has no setting {flag}");
        };
        (*row, value.clone())
    }

    fn parsed<T>(&mut self, flag: &str, parse: impl Fn(&str) -> Option<T>) -> Option<T> {
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

// A token never appears in an error, a log or a dump.
fn shown_value(row: SettingRow, value: &str) -> String {
    match row.kind {
        ValueKind::Token if !value.is_empty() => "(hidden)".to_owned(),
        _ => value.to_owned(),
    }
}

/// Reads the flags of a program; the help text ends with the variables of the table.
///
/// # Errors
///
/// Returns exit code and text when the flags ask for help or are not known.
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
        return Err((BAD_SETTINGS_CODE, exit.output));
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
