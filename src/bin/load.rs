//! Entry point of `bulrushslip-load`, the load generator and benchmark program.

use bulrushslip::load::options::LoadOptions;
use bulrushslip::load::run;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let options: LoadOptions = argh::from_env();
    run::run(options).await
}
