//! The sidecar process, which runs beside one upstream and owns its queue.

use std::process::ExitCode;

use bulrushslip::process;
use bulrushslip::{sidecar, sidecar_cli};
use mimalloc::MiMalloc;

/// Allocator that keeps memory use stable with many small buffers of varying sizes.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    process::main_with(sidecar_cli::read, sidecar::run)
}
