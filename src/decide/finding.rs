//! Findings of a check of a configuration: code, severity and the part that each is about.

use std::fmt;

/// How severe a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FindingSeverity {
    /// The configuration would be refused, or could not take effect as written.
    Error,
    /// The configuration takes effect, but probably not as intended.
    Warning,
}

impl FindingSeverity {
    /// Returns the name of the severity.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
        }
    }
}

/// Kind of a finding; the numbers are stable and listed in docs/OPERATIONS.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FindingCode {
    /// The text is not valid JSON.
    Syntax = 101,
    /// A field is missing, or its value has the wrong type.
    Field = 102,
    /// A word has no meaning here and is replaced by a default.
    UnknownWord = 103,
    /// A route names a service that is not declared.
    UnknownService = 201,
    /// A route has host and prefix of an earlier one.
    DuplicateRoute = 202,
    /// A route has no service with a weight above 0.
    NoTarget = 203,
    /// A prefix or a host matches no request.
    NeverMatches = 204,
    /// A prefix does not end with a slash.
    OpenPrefix = 205,
    /// Two services or two customers have one name.
    DuplicateName = 206,
    /// A service that no route sends requests to.
    UnusedService = 207,
    /// Two customers hold one key.
    SharedKey = 208,
    /// A customer without a key.
    NoKey = 209,
    /// An empty key.
    EmptyKey = 210,
    /// A route that accepts requests of no customer.
    NoCustomer = 211,
    /// A timeout or a target latency of 0.
    ZeroTime = 301,
    /// A target latency above the timeout.
    TargetAboveTimeout = 302,
    /// A maximum of 0 attempts.
    ZeroAttempts = 303,
    /// A negative weight.
    NegativeWeight = 304,
    /// A size or number that has to be above 0.
    ZeroLimit = 305,
    /// A quota that is not in force because its rate is 0.
    ZeroRate = 306,
    /// A quota that admits no request at once.
    ZeroBurst = 307,
    /// A request of the usual size does not fit into the burst of its quota.
    PlainAboveBurst = 308,
    /// A request of the usual size uses more than the rate of a second.
    PlainAboveRate = 309,
    /// Requests without a prompt do not count against a quota.
    FreePlain = 310,
    /// The version is not above that in force.
    OldVersion = 401,
    /// Requests need no keys any more.
    KeysDropped = 402,
    /// A change refers to an object that is not declared.
    UnknownObject = 501,
    /// A declaration is invalid by itself or with others.
    InvalidDeclaration = 502,
    /// The changes are refused as a whole.
    Refused = 503,
    /// A later change of the same file replaces this one.
    Replaced = 504,
    /// A declared object that no request can use.
    Unreachable = 505,
}

impl FindingCode {
    /// Returns the number of the code.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the severity of findings with this code.
    #[must_use]
    pub const fn severity(self) -> FindingSeverity {
        match self {
            Self::UnknownWord
            | Self::OpenPrefix
            | Self::UnusedService
            | Self::NoKey
            | Self::PlainAboveRate
            | Self::FreePlain
            | Self::KeysDropped
            | Self::Replaced
            | Self::Unreachable => FindingSeverity::Warning,
            _ => FindingSeverity::Error,
        }
    }
}

/// Part of a configuration that a finding is about; items are counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DocumentPart {
    /// The document as a whole.
    Whole,
    /// The size limits.
    Limits,
    /// A route.
    Route(usize),
    /// A service.
    Service(usize),
    /// A customer.
    Customer(usize),
    /// A change.
    Change(usize),
}

/// What is wrong with one part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Kind of the finding.
    pub code: FindingCode,
    /// Part that the finding is about.
    pub part: DocumentPart,
    /// Description for operators; it holds no keys of customers.
    pub text: String,
}

/// Line and column in a text, both counted from 1; columns count bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TextPlace {
    /// Line.
    pub line: usize,
    /// Column.
    pub column: usize,
}

impl TextPlace {
    /// Returns the place of a byte offset; that of the end if the text is shorter.
    #[must_use]
    pub fn of_offset(text: &[u8], offset: usize) -> Self {
        let before = &text[..offset.min(text.len())];
        let mut lines = before.split(|byte| *byte == b'\n');
        Self {
            line: lines.clone().count(),
            column: 1 + lines.next_back().unwrap_or_default().len(),
        }
    }

    /// Returns the place in the whole text of a place in a part that starts here.
    #[must_use]
    pub const fn of_inner(self, inner: Self) -> Self {
        if inner.line > 1 {
            return Self {
                line: self.line + inner.line - 1,
                column: inner.column,
            };
        }
        Self {
            line: self.line,
            column: self.column + inner.column - 1,
        }
    }
}

impl fmt::Display for TextPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}
