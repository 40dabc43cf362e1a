//! The gateway process of the platform's front instances.

use std::process::ExitCode;

use bulrushslip::gateway::start;
use bulrushslip::{gateway_cli, process};
use mimalloc::MiMalloc;

/// Allocator that keeps memory use stable with many small buffers of varying sizes.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    process::main_with(gateway_cli::read, start::run)
}
