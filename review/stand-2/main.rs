//! Cases of the second review, one command each: `review-2 CASE FOLDER`.

mod kit;
mod case_deadly;
mod case_hup;
mod case_innermost;
mod case_isolated;
mod case_odd_entry;
mod case_poison;

use std::path::PathBuf;

use kit::{fail, unix_ms, Record, Setting};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let dir = PathBuf::from(arguments.next().unwrap_or_else(|| fail("no folder is named")));
    let name = format!("review-2-{}-{}", std::process::id(), unix_ms());
    let scratch = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&scratch).expect("a temporary folder can be made");
    let setting = Setting {
        record: Record::new(),
        dir,
        scratch,
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    match case.as_str() {
        "isolated" => case_isolated::run(&setting),
        "odd-entry" => case_odd_entry::run(&setting),
        "deadly" => case_deadly::run(&setting),
        "poison" => case_poison::run(&setting),
        "innermost" => case_innermost::run(&setting),
        "hup" => case_hup::run(&setting),
        _ => fail("the case is not known"),
    }
}
