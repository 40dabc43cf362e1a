//! Rules of the architecture that the compiler does not check: which modules may use what.

use std::fs;
use std::path::{Path, PathBuf};

/// Maximum number of lines of a source file.
const MAX_LINES: usize = 400;

/// Words that no source file may contain, and the reason.
const FORBIDDEN: [(&str, &str); 8] = [
    ("cfg(test)", "tests live in tests/"),
    ("Mutex", "state is owned by one task"),
    ("RwLock", "state is owned by one task"),
    ("static mut", "state is owned by one task"),
    ("spin_loop", "nothing spins while it waits"),
    ("yield_now", "nothing spins while it waits"),
    ("process::Command", "a process starts no process"),
    ("io_uring", "instances do not have it"),
];

/// Crates, types and modules that `src/decide` may not use, so that decisions depend neither on
/// I/O and clocks nor on the encoding of messages.
const OUTSIDE_DECISIONS: [&str; 7] = [
    "serde",
    "tokio",
    "hyper",
    "tarpc",
    "SystemTime",
    "Instant",
    "crate::wire",
];

/// Crates that provide a proxy, clustering or shared memory and may not be dependencies.
const FORBIDDEN_CRATES: [&str; 9] = [
    "pingora",
    "hyper-reverse-proxy",
    "openraft",
    "raft",
    "chitchat",
    "foca",
    "io-uring",
    "memmap2",
    "shared_memory",
];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn sources(folder: &Path, found: &mut Vec<(PathBuf, String)>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).expect("a source file");
            found.push((path, text));
        }
    }
}

fn all_sources() -> Vec<(PathBuf, String)> {
    let mut found = Vec::new();
    sources(&root().join("src"), &mut found);
    assert!(found.len() > 100, "the sources were not found");
    found
}

#[test]
fn no_source_holds_what_the_bounds_rule_out() {
    for (path, text) in all_sources() {
        for (word, reason) in FORBIDDEN {
            assert!(
                !text.contains(word),
                "{} holds {word}: {reason}",
                path.display()
            );
        }
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{} has {lines} lines", path.display());
    }
}

#[test]
fn entries_and_sidecars_touch_no_files() {
    for (path, text) in all_sources() {
        // The command line for operators and the load generator write reports and do not run on
        // instances. An instance only reads its settings file, in one module, and writes no file.
        let may_use_files = ["src/ctl", "src/load", "src/platform/settings_file.rs"]
            .iter()
            .any(|part| path.starts_with(root().join(part)));
        assert!(
            may_use_files || !text.contains("std::fs"),
            "{} uses files",
            path.display()
        );
    }
}

#[test]
fn decisions_know_no_sockets_clocks_tasks_or_encodings() {
    for (path, text) in all_sources() {
        if !path.starts_with(root().join("src/decide")) {
            continue;
        }
        let uses = text
            .lines()
            .filter(|line| line.starts_with("use ") || line.contains("::now("));
        for line in uses {
            let outside = OUTSIDE_DECISIONS.iter().find(|word| line.contains(**word));
            assert_eq!(outside, None, "{}: {line}", path.display());
        }
    }
}

/// Keys, headers and paths of the platform's protocols, which only `src/platform` and the
/// stand-ins in `src/standin` may contain.
const PLATFORM_WORDS: [&str; 9] = [
    "\"op/",
    "\"servers/",
    "\"keyed.",
    "x-server-seal",
    "x-expect-instance",
    "x-not-executed",
    "x-kv-",
    "/log-",
    "x-prompt-prefix",
];

#[test]
fn words_of_the_platform_stay_at_its_edge() {
    let edges = ["src/platform", "src/standin"].map(|part| root().join(part));
    for (path, text) in all_sources() {
        if edges.iter().any(|edge| path.starts_with(edge)) {
            continue;
        }
        let text = text.to_lowercase();
        let found = PLATFORM_WORDS.iter().find(|word| text.contains(**word));
        assert_eq!(found, None, "{}", path.display());
    }
}

#[test]
fn the_settings_file_is_read_and_never_written() {
    let path = root().join("src/platform/settings_file.rs");
    let text = fs::read_to_string(path).expect("a source file");
    assert_eq!(text.matches("std::fs").count(), 1);
    assert!(text.contains("std::fs::read_to_string"));
}

#[test]
fn the_kernel_knows_nothing_of_language_models() {
    for (path, text) in all_sources() {
        let is_kernel = path.starts_with(root().join("src/kernel"));
        assert!(
            !is_kernel || !text.contains("use crate::"),
            "{}",
            path.display()
        );
    }
}

#[test]
fn no_library_brings_a_proxy_a_cluster_or_shared_memory() {
    let lock = fs::read_to_string(root().join("Cargo.lock")).expect("a lock file");
    for name in FORBIDDEN_CRATES {
        let entry = format!("name = \"{name}\"");
        assert!(!lock.contains(&entry), "{name} is in Cargo.lock");
    }
}
