//! Runs a sidecar: the process beside one upstream.

use std::process::ExitCode;

use bulrushslip::process;
use bulrushslip::{sidecar, sidecar_cli};
use mimalloc::MiMalloc;

/// Keeps memory flat under many small buffers of changing sizes.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    process::main_with(sidecar_cli::read, sidecar::run)
}
