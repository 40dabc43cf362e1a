//! Cases of the second review, one command each: `review-2 CASE FOLDER`.

mod case_deadly;
mod case_hup;
mod case_innermost;
mod case_isolated;
mod case_joined;
mod case_notice;
mod case_odd_entry;
mod case_poison;
mod kit;

use std::path::PathBuf;

use kit::{fail, limit_run, unix_ms, Record, Setting};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let dir = PathBuf::from(
        arguments
            .next()
            .unwrap_or_else(|| fail("no folder is named")),
    );
    let name = format!("review-2-{}-{}", std::process::id(), unix_ms());
    let scratch = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&scratch).expect("a temporary folder can be made");
    let setting = Setting {
        record: Record::new(),
        dir,
        scratch,
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    limit_run();
    match case.as_str() {
        "isolated" => case_isolated::run(&setting),
        "notice" => case_notice::run(&setting),
        "odd-entry" => case_odd_entry::run(&setting),
        "deadly" => case_deadly::run(&setting),
        "poison" => case_poison::run(&setting),
        "innermost" => case_innermost::run(&setting),
        "joined" => case_joined::run(&setting),
        "hup" => case_hup::run(&setting),
        _ => fail("the case is not known"),
    }
}
