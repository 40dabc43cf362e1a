//! Runs an entry: the callers' side of the router.

use std::process::ExitCode;

use bulrushslip::process;
use bulrushslip::{entry, entry_cli};

fn main() -> ExitCode {
    process::main_with(entry_cli::read, entry::run)
}
