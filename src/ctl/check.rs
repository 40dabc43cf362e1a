//! Command `check`: checks a configuration before it is sent.

use std::net::SocketAddr;

use argh::FromArgs;

use super::check_report::CheckReport;
use super::exit::ExitStatus;
use super::follower::ConfigFollower;
use crate::decide::change_check::check_changes;
use crate::decide::config::Configuration;
use crate::decide::document_check::{check_document, check_replacement};
use crate::decide::document_difference::differences;
use crate::decide::finding::{DocumentPart, Finding, FindingCode, TextPlace};
use crate::platform::config_document::draft::{LocatedDraft, decode_draft};
use crate::platform::log_client::LogClient;
use crate::platform::store_client::read_configuration;
use crate::wire::change_list::{LocatedChanges, declared_items, decode_changes, is_plan};
use crate::wire::config_record::CONFIG_STREAM;
use crate::wire::located_json::{LocatedText, PlacedFinding};

/// Checks a configuration before it is sent, and compares it with that in force: a JSON array of
/// changes, a plan, or the document that gateways read from the platform. Nothing is changed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// IP address and port of the platform, to compare with the configuration in force
    #[argh(option)]
    pub platform: Option<SocketAddr>,
    /// file to compare with, in place of --platform
    #[argh(option)]
    pub against: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// file to check
    #[argh(positional)]
    pub file: String,
}

/// Reason why the configuration in force is not known.
enum BaseError {
    /// The file cannot be read or decoded.
    File(String),
    /// The platform cannot be reached.
    Platform(String),
}

/// Runs the command `check`.
pub async fn run(args: &CheckArgs) -> ExitStatus {
    let bytes = match std::fs::read(&args.file) {
        Ok(bytes) => bytes,
        Err(error) => {
            eprintln!("{}: {error}", args.file);
            return ExitStatus::BadInput;
        }
    };
    if args.platform.is_some() && args.against.is_some() {
        eprintln!("--platform and --against cannot be used together");
        return ExitStatus::BadInput;
    }
    let report = match check_bytes(&bytes, args).await {
        Ok(report) => report,
        Err(BaseError::File(reason)) => {
            eprintln!("{reason}");
            return ExitStatus::BadInput;
        }
        Err(BaseError::Platform(reason)) => {
            eprintln!("{reason}");
            return ExitStatus::Unavailable;
        }
    };
    if args.json {
        report.print_json();
    } else {
        report.print_text(&args.file);
    }
    report.exit_status()
}

async fn check_bytes(bytes: &[u8], args: &CheckArgs) -> Result<CheckReport, BaseError> {
    let text = match LocatedText::new(bytes) {
        Ok(text) => text,
        Err(finding) => return Ok(failed(vec![finding])),
    };
    if text.first_char() == Some('[') || is_plan(text) {
        return match decode_changes(text) {
            Ok(changes) => Ok(report_changes(
                &changes,
                changes_in_force(args).await?.as_ref(),
            )),
            Err(findings) => Ok(failed(findings)),
        };
    }
    match decode_draft(text) {
        Ok(draft) => Ok(report_draft(&draft, draft_in_force(args).await?.as_ref())),
        Err(findings) => Ok(failed(findings)),
    }
}

const fn failed(findings: Vec<PlacedFinding>) -> CheckReport {
    CheckReport {
        findings,
        differences: None,
    }
}

/// Checks changes against the configuration in force, or by themselves.
///
/// Without the configuration in force it is unknown what the file does not declare, so missing objects
/// are not reported.
#[must_use]
pub fn report_changes(changes: &LocatedChanges, in_force: Option<&Configuration>) -> CheckReport {
    let base = in_force.cloned().unwrap_or_default();
    let checked = check_changes(&base, &changes.record(&base));
    let mut findings = checked.findings;
    let needs_base = [FindingCode::UnknownObject, FindingCode::Unreachable];
    findings.retain(|finding| in_force.is_some() || !needs_base.contains(&finding.code));
    let compared =
        in_force.map(|base| differences(&declared_items(base), &declared_items(&checked.after)));
    CheckReport {
        findings: placed(findings, |part| changes.place(part)),
        differences: compared,
    }
}

/// Checks a document, and compares it with the one in force.
#[must_use]
pub fn report_draft(draft: &LocatedDraft, in_force: Option<&LocatedDraft>) -> CheckReport {
    let mut findings = check_document(&draft.document);
    if let Some(in_force) = in_force {
        findings.extend(check_replacement(&in_force.document, &draft.document));
    }
    CheckReport {
        findings: placed(findings, |part| draft.place(part)),
        differences: in_force.map(|in_force| differences(&in_force.items, &draft.items)),
    }
}

fn placed(findings: Vec<Finding>, place: impl Fn(DocumentPart) -> TextPlace) -> Vec<PlacedFinding> {
    let findings = findings.into_iter().map(|finding| PlacedFinding {
        place: place(finding.part),
        finding,
    });
    let mut findings: Vec<_> = findings.collect();
    findings.sort_by_key(|placed| placed.place);
    findings
}

async fn changes_in_force(args: &CheckArgs) -> Result<Option<Configuration>, BaseError> {
    if let Some(platform) = args.platform {
        let log = LogClient::new(platform, CONFIG_STREAM);
        let mut follower = ConfigFollower::new(log, None);
        if let Some(failure) = follower.catch_up().await.failure() {
            return Err(BaseError::Platform(failure));
        }
        return Ok(Some((*follower.current()).clone()));
    }
    let Some((file, bytes)) = read_base(args)? else {
        return Ok(None);
    };
    let changes = decode_base(&file, &bytes, decode_changes)?;
    let empty = Configuration::default();
    Ok(Some(check_changes(&empty, &changes.record(&empty)).after))
}

async fn draft_in_force(args: &CheckArgs) -> Result<Option<LocatedDraft>, BaseError> {
    let (name, bytes) = if let Some(platform) = args.platform {
        match read_configuration(platform).await {
            Ok(Some(bytes)) => ("configuration in force".to_owned(), bytes.to_vec()),
            Ok(None) => return Ok(None),
            Err(error) => return Err(BaseError::Platform(error.to_string())),
        }
    } else if let Some(base) = read_base(args)? {
        base
    } else {
        return Ok(None);
    };
    decode_base(&name, &bytes, decode_draft).map(Some)
}

/// Reads the file to compare with; returns its name and its content.
fn read_base(args: &CheckArgs) -> Result<Option<(String, Vec<u8>)>, BaseError> {
    let Some(file) = &args.against else {
        return Ok(None);
    };
    match std::fs::read(file) {
        Ok(bytes) => Ok(Some((file.clone(), bytes))),
        Err(error) => Err(BaseError::File(format!("{file}: {error}"))),
    }
}

fn decode_base<T>(
    name: &str,
    bytes: &[u8],
    decode: impl Fn(LocatedText<'_>) -> Result<T, Vec<PlacedFinding>>,
) -> Result<T, BaseError> {
    let text = LocatedText::new(bytes).map_err(|finding| vec![finding]);
    text.and_then(decode).map_err(|findings| {
        let reasons = findings.iter().map(|placed| {
            let PlacedFinding { place, finding } = placed;
            format!("{name}:{place}: {}", finding.text)
        });
        BaseError::File(reasons.collect::<Vec<_>>().join("\n"))
    })
}
