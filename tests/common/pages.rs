//! Compares the generated part of a page with what the code says.

use std::path::Path;

/// Checks a page; with `BULRUSHSLIP_WRITE_PAGES` set it is written instead.
pub fn check_page(path: &str, expected: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    if std::env::var_os("BULRUSHSLIP_WRITE_PAGES").is_some() {
        std::fs::write(&path, expected).expect("the page can be written");
    }
    let page = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        page == expected,
        "{} differs from the code; run the test with BULRUSHSLIP_WRITE_PAGES=1",
        path.display()
    );
}
