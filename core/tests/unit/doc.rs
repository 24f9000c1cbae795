//! Tests of the internals of `src/doc.rs`.

use super::*;

const SMALL: &str = "\
[environment]
name = trial
[zone a]
region = south
[model m]
version = v1
[team desks]
keys = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
[target t1]
vm = vm-1
zone = a
agent = 127.0.0.1:7001
model = m
version = v1
slots = 8
";

#[test]
fn parses_a_small_document() {
    let document = Document::parse("small.ini", SMALL).unwrap();
    assert_eq!(document.targets["t1"].cold_slots, 1);
    assert_eq!(document.teams["desks"].keys.len(), 1);
}

/// Guards against diagnostics without a line number, or with the line number of another key.
#[test]
fn diagnostics_name_line_and_key() {
    let text = SMALL.replace("zone = a\n", "zone = b\nspeed = 3\n");
    let diagnostics = Document::parse("small.ini", &text).unwrap_err();
    let shown: Vec<_> = diagnostics.iter().map(ToString::to_string).collect();
    assert_eq!(
        shown,
        [
            "small.ini:12: [target t1] speed: found an unknown key; allowed: vm, zone, agent, \
                 model, version, service, slots, cold-slots",
            "small.ini:11: [target t1] zone: found \"b\"; allowed: a",
        ]
    );
}

/// Guards against a panic of the parser on arbitrary text.
#[test]
fn arbitrary_text_never_panics() {
    fn property(text: String) -> bool {
        let _parsed = Document::parse("x", &text);
        let _mixed = Document::parse("x", &format!("{SMALL}{text}"));
        true
    }
    quickcheck::quickcheck(property as fn(String) -> bool);
}
