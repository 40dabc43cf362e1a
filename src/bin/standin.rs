//! Runs the stand-in of one external system.

use bulrushslip::standin::options::StandinOptions;
use bulrushslip::standin::roles;

fn main() -> std::io::Result<()> {
    let options: StandinOptions = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(roles::run(options))
}
