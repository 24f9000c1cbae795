//! Tests of the internals of `src/sections.rs`.

use super::*;

fn sections(text: &str) -> Sections {
    Sections::parse("test", text).unwrap()
}

/// Guards against a promotion that copies keys or addresses into another environment.
#[test]
fn promotion_keeps_keys_and_addresses() {
    let trial = sections(
        "[environment]\nname = trial\n[zone a]\nregion = x\n[model m]\nversion = v2\n\
         [team t]\nkeys = aa\nweight = 5\n[team n]\nkeys = cc\n[target e]\nagent = 1.1.1.1:1\n",
    );
    let production = sections(
        "[environment]\nname = production\n[zone b]\nregion = x\n[model m]\nversion = v1\n\
         [team t]\nkeys = bb\nweight = 1\n[team o]\nkeys = dd\n[target f]\nagent = 2.2.2.2:2\n",
    );
    assert_eq!(
        production.promoted_from(&trial).render(),
        "[environment]\nname = production\n[zone b]\nregion = x\n[model m]\nversion = v2\n\
         [team n]\n[team o]\nkeys = dd\n[team t]\nkeys = bb\nweight = 5\n\
         [target f]\nagent = 2.2.2.2:2\n"
    );
}

/// Guards against computed edits that do not turn the old document into the new one.
#[test]
fn edits_turn_old_document_into_new() {
    fn property(old: Vec<(u8, u8)>, new: Vec<(u8, u8)>) -> bool {
        let make = |pairs: Vec<(u8, u8)>| {
            let mut sections = Sections::default();
            for (title, value) in pairs {
                let body = [("weight".to_owned(), value.to_string())].into();
                sections.put(&format!("team t{}", title % 8), body);
            }
            sections
        };
        let (mut old, new) = (make(old), make(new));
        let edits = old.edits(&new);
        old.apply(&edits);
        old == new && Sections::parse("test", &new.render()).as_ref() == Ok(&new)
    }
    quickcheck::quickcheck(property as fn(Vec<(u8, u8)>, Vec<(u8, u8)>) -> bool);
}
