//! The entry process, which accepts requests of callers and routes them to upstreams.

use std::process::ExitCode;

use bulrushslip::process;
use bulrushslip::{entry, entry_cli};
use mimalloc::MiMalloc;

/// Allocator that keeps memory use stable with many small buffers of varying sizes.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    process::main_with(entry_cli::read, entry::run)
}
