//! Printed form of the findings and differences of a check.

use serde_json::json;

use super::exit::ExitStatus;
use crate::decide::document_difference::ItemDifference;
use crate::decide::finding::{FindingCode, FindingSeverity};
use crate::wire::located_json::PlacedFinding;

/// Result of the check of one file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CheckReport {
    /// What was found, in the order of the file.
    pub findings: Vec<PlacedFinding>,
    /// What differs from the configuration in force; `None` if that is not given.
    pub differences: Option<Vec<ItemDifference>>,
}

impl CheckReport {
    /// Returns the exit status for the most severe finding.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        let codes = || self.findings.iter().map(|placed| placed.finding.code);
        if codes().any(|code| matches!(code, FindingCode::Syntax | FindingCode::Field)) {
            return ExitStatus::BadInput;
        }
        if codes().any(|code| code.severity() == FindingSeverity::Error) {
            return ExitStatus::Refused;
        }
        ExitStatus::Done
    }

    /// Prints the report as lines of text.
    pub fn print_text(&self, file: &str) {
        for PlacedFinding { place, finding } in &self.findings {
            let (severity, number) = (finding.code.severity().name(), finding.code.number());
            println!("{file}:{place}: {severity} {number}: {}", finding.text);
        }
        for difference in self.differences.iter().flatten() {
            println!("{difference}");
        }
        let count = |severity| {
            let codes = self.findings.iter().map(|placed| placed.finding.code);
            codes.filter(|code| code.severity() == severity).count()
        };
        let (errors, warnings) = (
            count(FindingSeverity::Error),
            count(FindingSeverity::Warning),
        );
        let differences = match &self.differences {
            Some(differences) => format!("{} differences", differences.len()),
            None => "not compared: no configuration in force is known".to_owned(),
        };
        println!("{errors} errors, {warnings} warnings, {differences}");
    }

    /// Prints the report as JSON.
    pub fn print_json(&self) {
        let findings = self
            .findings
            .iter()
            .map(|PlacedFinding { place, finding }| {
                json!({
                    "line": place.line,
                    "column": place.column,
                    "severity": finding.code.severity().name(),
                    "code": finding.code.number(),
                    "text": finding.text,
                })
            });
        let differences = self.differences.as_ref().map(|differences| {
            let lines = differences.iter().map(ToString::to_string);
            lines.collect::<Vec<_>>()
        });
        let findings: Vec<_> = findings.collect();
        println!(
            "{:#}",
            json!({"findings": findings, "differences": differences})
        );
    }
}
