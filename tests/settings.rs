//! Settings: precedence, checks, help and the page.

#[path = "common/pages.rs"]
mod pages;

use bulrushslip::settings::{
    ENTRY_TABLE, EntrySettings, GATEWAY_TABLE, SIDECAR_TABLE, SettingRow, StartOutcome, TargetKind,
    ValueKind, markdown,
};
use bulrushslip::{entry_cli, gateway_cli, sidecar_cli};

const REQUIRED: [&str; 6] = [
    "--platform=127.0.0.1:1",
    "--name=entry-1",
    "--data-centre=caerdydd",
    "--listen=127.0.0.1:0",
    "--operator-listen=127.0.0.1:0",
    "--log-level=warn",
];

fn split(flags: &[&'static str]) -> Vec<&'static str> {
    flags.iter().flat_map(|flag| flag.split('=')).collect()
}

fn entry(flags: &[&'static str], variables: &[(&str, &str)]) -> StartOutcome<EntrySettings> {
    let lookup = |name: &str| {
        let found = variables.iter().find(|(variable, _)| *variable == name);
        found.map(|(_, value)| (*value).to_owned())
    };
    entry_cli::read(&split(flags), &lookup)
}

fn refusal<T: std::fmt::Debug>(outcome: StartOutcome<T>) -> Vec<String> {
    let StartOutcome::Exit { code: 2, text } = outcome else {
        panic!("not refused: {outcome:?}");
    };
    text.lines().map(str::to_owned).collect()
}

#[test]
fn a_flag_goes_before_a_variable_and_a_variable_before_the_default() {
    let variables = [
        ("BULRUSHSLIP_LOG_LEVEL", "debug"),
        ("BULRUSHSLIP_MAX_ATTEMPTS", "7"),
        ("BULRUSHSLIP_DRAIN_MS", ""),
    ];
    let StartOutcome::Run(settings) = entry(&REQUIRED, &variables) else {
        panic!("refused");
    };
    assert_eq!(settings.common.log_level, log::LevelFilter::Warn);
    assert_eq!(settings.max_attempts, 7);
    assert_eq!(settings.common.drain_ms, 60_000);
    assert_eq!(settings.common.metrics, None);
}

#[test]
fn every_bad_setting_is_named_with_its_value_and_what_is_accepted() {
    let bad = [
        "--listen=localhost:80",
        "--name=a b",
        "--data-centre=x",
        "--max-attempts=11",
        "--operator-listen=0.0.0.0:1",
        "--log-format=xml",
    ];
    let lines = refusal(entry(
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
fn a_sidecar_stands_before_exactly_one_upstream() {
    let read = |more: &[&'static str]| {
        let mut flags = split(&REQUIRED);
        flags.extend(["--upstream", "engine-1"]);
        flags.extend(split(more));
        sidecar_cli::read(&flags, &|_| None)
    };
    let StartOutcome::Run(settings) = read(&["--plain=127.0.0.1:9"]) else {
        panic!("refused");
    };
    assert_eq!(settings.target_kind, TargetKind::Plain);
    assert_eq!(refusal(read(&[])).len(), 1);
    assert_eq!(
        refusal(read(&["--plain=127.0.0.1:9", "--engine=127.0.0.1:9"])).len(),
        1
    );
}

#[test]
fn each_row_of_the_tables_has_its_flag_and_is_checked() {
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

fn exit_of<T: std::fmt::Debug>(outcome: StartOutcome<T>) -> (i32, String) {
    let StartOutcome::Exit { code, text } = outcome else {
        panic!("not refused: {outcome:?}");
    };
    (code, text)
}

#[test]
fn the_page_of_settings_equals_the_tables() {
    let page = format!(
        "# Settings\n\n\
         Every setting has a flag and an environment variable; the flag goes first, then the\n\
         variable, then the default. An empty variable counts as not given. A process checks\n\
         all settings at its start, names each bad one on standard error, and ends with code 2.\n\
         `--help` prints the same tables. This page is made from `src/settings/table.rs`.\n\n\
         ## `bulrushslip-entry`\n\n{}\n## `bulrushslip-sidecar`\n\n{}\n\
         ## `bulrushslip-gateway`\n\n\
         The platform's settings file is named by `BULRUSHSLIP_SETTINGS` and has no flag; `--check`\n\
         prints all that would be in force and exits.\n\n{}",
        markdown(&ENTRY_TABLE),
        markdown(&SIDECAR_TABLE),
        markdown(&GATEWAY_TABLE)
    );
    pages::check_page("docs/SETTINGS.md", &page);
}

#[test]
fn a_gateway_checks_its_flags_and_variables_and_needs_the_platforms_file() {
    let none = |_: &str| None;
    let outcome = gateway_cli::read(&[], &none);
    assert!(refusal(outcome)[0].contains("BULRUSHSLIP_SETTINGS"));
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("settings-gateway.conf");
    let file = "node-name=g\nzone=near\nip=127.0.0.1\nlisten.front=127.0.0.1:0\n\
        listen.ready=127.0.0.1:0\ninternal-ports=1,1\nplatform.address=127.0.0.1:2\n\
        bounds.grace-s=3\nbounds.lease-ms=3000\nbounds.version-ms=8000\n\
        bounds.stable-window-ms=3000\nbounds.retry-budget-ratio=0.2\n\
        bounds.budget-extra-retries=56\n";
    std::fs::write(&path, file).expect("a settings file");
    let path = path.to_str().expect("a path of text").to_owned();
    let variables = |port: &'static str| {
        let path = path.clone();
        move |name: &str| match name {
            "BULRUSHSLIP_SETTINGS" => Some(path.clone()),
            "BULRUSHSLIP_METRICS_PORT" => Some(port.to_owned()),
            _ => None,
        }
    };
    let StartOutcome::Run(settings) = gateway_cli::read(&[], &variables("77")) else {
        panic!("not started");
    };
    assert_eq!(settings.metrics_port, 77);
    let flags = ["--log-level", "loud"];
    let lines = refusal(gateway_cli::read(&flags, &variables("66000")));
    assert_eq!(lines.len(), 2, "{lines:?}");
    let checked = gateway_cli::read(&["--check"], &variables("77"));
    assert!(matches!(checked, StartOutcome::Exit { code: 0, text } if text.contains("near")));
}
