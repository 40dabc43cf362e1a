//! Runs a gateway: the entry on the platform's front instances.

use std::process::ExitCode;

use bulrushslip::gateway::start;
use bulrushslip::{gateway_cli, process};
use mimalloc::MiMalloc;

/// Keeps memory flat under many small buffers of changing sizes.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    process::main_with(gateway_cli::read, start::run)
}
