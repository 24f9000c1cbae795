//! Tests of the settings of entry routers, and of the operators' view of usage reports.

use std::{collections::BTreeMap, fs, net::IpAddr, time::Duration};

use ebonyfall::{
    settings::{self, EntryConfig, SettingsError},
    usage::inspect::{HolderDump, UsageDump, WindowDump},
};
use ebonyfall_core::name::{ProcessName, TeamName};

/// Lines of the settings that every router has.
const BASE: &str = "[entry]\nname = e-1\nzone = z\nlisten = 127.0.0.1:1\nready = 127.0.0.1:2\n\
    metrics = 127.0.0.1:3\nstore = 127.0.0.1:4\npeers = 127.0.0.1:5\ndrain-ms = 2000\n\
    grace-s = 8\nrevocation-ms = 5000\nretry-ratio = 0.2\nretry-slack = 58\n\
    retry-window-s = 10\n";
const USAGE: [(&str, &str); 5] = [
    ("usage-address", "127.0.0.1:6"),
    ("usage-window-s", "5"),
    ("usage-lease-ms", "3000"),
    ("usage-late-s", "10"),
    ("usage-calls-per-s", "50"),
];

fn load(text: &str) -> Result<EntryConfig, SettingsError> {
    let file = tempfile::NamedTempFile::new().expect("the system has a folder for files");
    fs::write(&file, text).expect("the file is writable");
    settings::entry(file.path())
}

/// The settings with one usage key replaced, or left out where `value` is `None`.
fn with(key: &str, value: Option<&str>) -> String {
    let lines = USAGE.iter().filter_map(|(name, usual)| {
        let value = if *name == key { value? } else { usual };
        Some(format!("{name} = {value}\n"))
    });
    lines.fold(BASE.to_owned(), |text, line| text + &line)
}

/// Guards against a router that starts with reports half configured, or with a lease too short for
/// the call timeout.
#[test]
fn usage_settings_are_whole_or_absent() {
    assert_eq!(load(BASE).expect("the settings are right").usage, None);
    let usage = load(&with("", None)).expect("the settings are right").usage;
    let usage = usage.expect("usage reports are set");
    assert_eq!(usage.lease, Duration::from_secs(3));
    assert_eq!(usage.lateness, Duration::from_secs(10));
    assert_eq!(usage.calls_per_s, 50);
    let faults = [
        ("usage-address", None),
        ("usage-lease-ms", None),
        ("usage-address", Some("nowhere")),
        ("usage-window-s", Some("0")),
        ("usage-window-s", Some("-5")),
        ("usage-lease-ms", Some("1499")),
        ("usage-late-s", Some("0")),
        ("usage-late-s", Some("81")),
        ("usage-calls-per-s", Some("0")),
    ];
    for (key, value) in faults {
        let Err(error) = load(&with(key, value)) else {
            panic!("{key} = {value:?} was accepted");
        };
        assert!(error.to_string().contains(key), "{error}");
    }
}

/// Guards against a router that takes a bound within which it cannot follow another one.
#[test]
fn the_bound_on_changes_is_at_least_half_a_second() {
    let apply = |value: &str| load(&format!("{BASE}apply-ms = {value}\n"));
    let loaded = apply("500").expect("the settings are right");
    assert_eq!(loaded.orders.apply, Duration::from_millis(500));
    for value in ["499", "0", "-3000", "soon"] {
        let Err(error) = apply(value) else {
            panic!("{value} was accepted");
        };
        assert!(error.to_string().contains("apply-ms"), "{error}");
    }
}

/// Sections of the template, which the platform renders where it has the value.
const SECTIONS: [&str; 4] = [
    "bounds.window_s",
    "bounds.config_apply_ms",
    "limits.memory_mb",
    "limits.max_fds",
];

fn render_section(template: &str, name: &str, is_present: bool) -> String {
    let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let (head, rest) = template.split_once(&open).expect("the section begins");
    let (section, tail) = rest.split_once(&close).expect("the section ends");
    let section = if is_present { section } else { "" };
    format!("{head}{section}{tail}")
}

/// Guards against a template whose sections do not render to valid settings.
#[test]
fn template_renders_with_and_without_usage_reports() {
    let template =
        fs::read_to_string("deploy/settings.ini").expect("the template is in the folder");
    let values = [
        ("{{node}}", "e-1"),
        ("{{zone}}", "z"),
        ("{{listen.front}}", "127.0.0.1:1"),
        ("{{listen.ready}}", "127.0.0.1:2"),
        ("{{ip}}", "127.0.0.1"),
        ("{{platform.addr}}", "127.0.0.1:4"),
        ("{{port_range.0}}", "5"),
        ("{{seeds}}", ""),
        ("{{bounds.drain_ms}}", "2000"),
        ("{{bounds.grace_s}}", "8"),
        ("{{bounds.revoke_ms}}", "5000"),
        ("{{bounds.config_apply_ms}}", "3000"),
        ("{{bounds.retry_ratio}}", "0.2"),
        ("{{bounds.retry_slack}}", "58"),
        ("{{bounds.retry_window_s}}", "10"),
        ("{{cloud.addr}}", "127.0.0.1:6"),
        ("{{cloud.duty_per_s}}", "50.0"),
        ("{{bounds.window_s}}", "5"),
        ("{{bounds.lease_ms}}", "3000"),
        ("{{bounds.usage_late_s}}", "10"),
        ("{{limits.memory_mb}}", "112"),
        ("{{limits.max_fds}}", "2870"),
    ];
    for is_present in [false, true] {
        let text = SECTIONS.iter().fold(template.clone(), |text, name| {
            render_section(&text, name, is_present)
        });
        let rendered = values
            .iter()
            .fold(text, |text, (name, value)| text.replace(name, value));
        let config = load(&rendered).expect("the rendered settings are right");
        assert_eq!(config.usage.is_some(), is_present);
        assert_eq!(config.machine.memory == 112 << 20, is_present);
        assert_eq!(config.orders.apply == Duration::from_secs(3), is_present);
    }
}

/// Guards against a view that hides who reports, or whether a window was sent.
#[test]
fn view_names_the_holder_and_the_state_of_each_window() {
    let name = ProcessName::new("edge-2").expect("the name is valid");
    let team = TeamName::new("hule930").expect("the name is valid");
    let dump = UsageDump {
        holder: Some(HolderDump {
            name,
            address: IpAddr::from([10, 0, 0, 2]),
            token: 841,
            released: false,
        }),
        holding: false,
        held_for_ms: None,
        rank: Some(1),
        open: 2,
        unsent: 1,
        decided: 0,
        sent: 0,
        late: 0,
        given_up: 0,
        windows: vec![WindowDump {
            window: 353_445_120,
            end_unix_ms: 1_767_225_605_000,
            token: 841,
            acknowledged: false,
            counts: BTreeMap::from([(team, 412)]),
        }],
    };
    let expected = "holder: edge-2 (10.0.0.2), token 841\n\
        this router: does not hold the lease, rank 1\n\
        windows: 2 open, 1 unsent; by this process: 0 decided, 0 sent, 0 late, 0 given up\n\
        353445120 until 2026-01-01T00:00:05Z, token 841, unsent: hule930=412\n";
    assert_eq!(dump.to_string(), expected);
}
