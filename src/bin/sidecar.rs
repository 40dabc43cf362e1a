//! Runs a sidecar: the process beside one upstream.

use std::process::ExitCode;

use bulrushslip::process;
use bulrushslip::{sidecar, sidecar_cli};

fn main() -> ExitCode {
    process::main_with(sidecar_cli::read, sidecar::run)
}
