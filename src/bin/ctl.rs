//! Entry point of `bulrushslip-ctl`, the operators' command-line tool.

use std::process::ExitCode;

use bulrushslip::ctl;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    ctl::run(argh::from_env()).await.into()
}
