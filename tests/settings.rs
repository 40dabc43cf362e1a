//! Settings: precedence, validation, help text and the generated page.

#[path = "common/pages.rs"]
mod pages;

use bulrushslip::settings::{
    ENTRY_TABLE, EntrySettings, GATEWAY_TABLE, SIDECAR_TABLE, SettingRow, StartOutcome, TargetKind,
    ValueKind, markdown,
};
use bulrushslip::{entry_cli, gateway_cli, sidecar_cli};

/// Flags that most tests pass: the required ones, free ports and a log level.
const REQUIRED: [&str; 6] = [
    "--platform=127.0.0.1:1",
    "--name=entry-1",
    "--data-centre=caerdydd",
    "--listen=127.0.0.1:0",
    "--operator-listen=127.0.0.1:0",
    "--log-level=warn",
];

/// Splits each `--flag=value` into two arguments.
fn split(flags: &[&'static str]) -> Vec<&'static str> {
    flags.iter().flat_map(|flag| flag.split('=')).collect()
}

/// Reads the settings of an entry from flags and environment variables.
fn read_entry(flags: &[&'static str], variables: &[(&str, &str)]) -> StartOutcome<EntrySettings> {
    let lookup = |name: &str| {
        let found = variables.iter().find(|(variable, _)| *variable == name);
        found.map(|(_, value)| (*value).to_owned())
    };
    entry_cli::read(&split(flags), &lookup)
}

/// Returns the lines of the error text; panics unless the settings were rejected with exit code 2.
fn error_lines<T: std::fmt::Debug>(outcome: StartOutcome<T>) -> Vec<String> {
    let StartOutcome::Exit { code: 2, text } = outcome else {
        panic!("not rejected: {outcome:?}");
    };
    text.lines().map(str::to_owned).collect()
}

#[test]
fn flags_override_variables_and_variables_override_defaults() {
    let variables = [
        ("BULRUSHSLIP_LOG_LEVEL", "debug"),
        ("BULRUSHSLIP_MAX_ATTEMPTS", "7"),
        ("BULRUSHSLIP_DRAIN_MS", ""),
    ];
    let StartOutcome::Run(settings) = read_entry(&REQUIRED, &variables) else {
        panic!("the settings were rejected");
    };
    assert_eq!(settings.common.log_level, log::LevelFilter::Warn);
    assert_eq!(settings.max_attempts, 7);
    assert_eq!(settings.common.drain_ms, 60_000);
    assert_eq!(settings.common.metrics, None);
}

#[test]
fn every_invalid_setting_is_reported_with_its_value_and_the_accepted_ones() {
    let bad = [
        "--listen=localhost:80",
        "--name=a b",
        "--data-centre=x",
        "--max-attempts=11",
        "--operator-listen=0.0.0.0:1",
        "--log-format=xml",
    ];
    let lines = error_lines(read_entry(
        &bad,
        &[("BULRUSHSLIP_OPERATOR_TOKEN", "short secret")],
    ));
    let expected = [
        ("listen", "'localhost:80'", "IP:PORT"),
        ("operator-token", "'(hidden)'", "at least 16"),
        ("platform", "no value given", "IP:PORT"),
        ("name", "'a b'", "1 to 64"),
        ("log-format", "'xml'", "text or json"),
        ("operator-token", "'(hidden)'", "not on loopback"),
        ("max-attempts", "'11'", "from 1 to 10"),
    ];
    assert_eq!(lines.len(), expected.len(), "{lines:#?}");
    for (line, (flag, value, accepted)) in lines.iter().zip(expected) {
        assert!(line.contains(&format!("--{flag} (BULRUSHSLIP_")), "{line}");
        assert!(line.contains(value) && line.contains(accepted), "{line}");
    }
    assert!(!lines.concat().contains("short secret"));
}

#[test]
fn a_sidecar_needs_exactly_one_upstream() {
    let read = |more: &[&'static str]| {
        let mut flags = split(&REQUIRED);
        flags.extend(["--upstream", "engine-1"]);
        flags.extend(split(more));
        sidecar_cli::read(&flags, &|_| None)
    };
    let StartOutcome::Run(settings) = read(&["--plain=127.0.0.1:9"]) else {
        panic!("the settings were rejected");
    };
    assert_eq!(settings.target_kind, TargetKind::Plain);
    assert_eq!(error_lines(read(&[])).len(), 1);
    assert_eq!(
        error_lines(read(&["--plain=127.0.0.1:9", "--engine=127.0.0.1:9"])).len(),
        1
    );
}

#[test]
fn each_setting_has_a_flag_and_is_validated() {
    let check = |table: &[SettingRow], read: &dyn Fn(&[&str]) -> (i32, String)| {
        let (code, help) = read(&["--help"]);
        let help = help.split_whitespace().collect::<Vec<_>>().join(" ");
        assert_eq!(code, 0);
        for row in table {
            assert!(
                help.contains(row.doc) && help.contains(row.variable),
                "{}",
                row.flag
            );
            let value = match row.kind {
                ValueKind::Integer { max, .. } => (max + 1).to_string(),
                _ => "\u{1}".to_owned(),
            };
            let (code, text) = read(&[&format!("--{}", row.flag), &value]);
            assert_eq!(code, 2);
            let error = format!("setting --{} ({}):", row.flag, row.variable);
            assert!(text.contains(&error), "{text}");
        }
        assert_eq!(read(&["--no-such-flag"]).0, 2);
    };
    check(&ENTRY_TABLE, &|flags| {
        exit_of(entry_cli::read(flags, &|_| None))
    });
    check(&SIDECAR_TABLE, &|flags| {
        exit_of(sidecar_cli::read(flags, &|_| None))
    });
}

/// Returns exit code and text; panics if the process would run.
fn exit_of<T: std::fmt::Debug>(outcome: StartOutcome<T>) -> (i32, String) {
    let StartOutcome::Exit { code, text } = outcome else {
        panic!("not rejected: {outcome:?}");
    };
    (code, text)
}

#[test]
fn the_settings_page_matches_the_tables() {
    let page = format!(
        "# Settings\n\n\
         Every setting has a flag and an environment variable. A flag overrides the variable,\n\
         and the variable overrides the default. An empty variable counts as not set. A process\n\
         checks all settings when it starts, reports each invalid one on standard error, and\n\
         exits with code 2. `--help` prints the same tables. This page is generated from\n\
         `src/settings/table.rs`.\n\n\
         ## `bulrushslip-entry`\n\n{}\n## `bulrushslip-sidecar`\n\n{}\n\
         ## `bulrushslip-gateway`\n\n\
         The variable `BULRUSHSLIP_SETTINGS` names the platform's settings file; it has no flag.\n\
         `--check` prints the settings that would be in force and exits.\n\n{}",
        markdown(&ENTRY_TABLE),
        markdown(&SIDECAR_TABLE),
        markdown(&GATEWAY_TABLE)
    );
    pages::check_page("docs/SETTINGS.md", &page);
}

#[test]
fn a_gateway_validates_its_flags_and_variables_and_needs_the_platforms_file() {
    let none = |_: &str| None;
    let outcome = gateway_cli::read(&[], &none);
    assert!(error_lines(outcome)[0].contains("BULRUSHSLIP_SETTINGS"));
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("settings-gateway.conf");
    let file = "node-name=g\nzone=near\nip=127.0.0.1\nlisten.front=127.0.0.1:0\n\
        listen.ready=127.0.0.1:0\ninternal-ports=1,1\nplatform.address=127.0.0.1:2\n\
        bounds.grace-s=3\nbounds.lease-ms=3000\nbounds.version-ms=8000\n\
        bounds.stable-window-ms=3000\nbounds.retry-budget-ratio=0.2\n\
        bounds.budget-extra-retries=56\n";
    std::fs::write(&path, file).expect("the settings file cannot be written");
    let path = path
        .to_str()
        .expect("the path is not valid UTF-8")
        .to_owned();
    let variables = |port: &'static str| {
        let path = path.clone();
        move |name: &str| match name {
            "BULRUSHSLIP_SETTINGS" => Some(path.clone()),
            "BULRUSHSLIP_METRICS_PORT" => Some(port.to_owned()),
            _ => None,
        }
    };
    let StartOutcome::Run(settings) = gateway_cli::read(&[], &variables("77")) else {
        panic!("the settings were rejected");
    };
    assert_eq!(settings.metrics_port, 77);
    let flags = ["--log-level", "loud"];
    let lines = error_lines(gateway_cli::read(&flags, &variables("66000")));
    assert_eq!(lines.len(), 2, "{lines:?}");
    let checked = gateway_cli::read(&["--check"], &variables("77"));
    assert!(matches!(checked, StartOutcome::Exit { code: 0, text } if text.contains("near")));
}
