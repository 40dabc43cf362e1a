//! Runs an entry: the callers' side of the router.

use std::process::ExitCode;

use bulrushslip::process;
use bulrushslip::{entry, entry_cli};
use mimalloc::MiMalloc;

/// Keeps memory flat under many small buffers of changing sizes.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    process::main_with(entry_cli::read, entry::run)
}
