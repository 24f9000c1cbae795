//! A document as sections: canonical text, differences between documents, and promotion.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Write as _},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::ini::{self, Diagnostic};

/// The section kinds in the order of the canonical text.
const ORDER: [&str; 8] = [
    "environment",
    "limits",
    "zone",
    "model",
    "team",
    "target",
    "route",
    "move",
];
/// Keys of a team that belong to one environment.
const TEAM_SECRETS: [&str; 2] = ["keys", "admin-tokens"];

/// The keys and values of a section.
pub type Body = BTreeMap<String, String>;

/// A change of one section: its new keys and values, or its removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// The section's title, such as `team desks`.
    pub title: Arc<str>,
    /// The section's content from now on; absent where the section is removed.
    pub body: Option<Body>,
}

/// How a section differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The section's title.
    pub title: String,
    /// The keys that differ, with the old and the new value.
    pub keys: BTreeMap<String, (Option<String>, Option<String>)>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}]", self.title)?;
        for (key, (old, new)) in &self.keys {
            if let Some(old) = old {
                write!(f, "\n- {key} = {old}")?;
            }
            if let Some(new) = new {
                write!(f, "\n+ {key} = {new}")?;
            }
        }
        Ok(())
    }
}

/// The sections of a document, without comments, in the order of the canonical text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sections(BTreeMap<(usize, Arc<str>), Arc<Body>>);

fn place(title: &str) -> (usize, Arc<str>) {
    let kind = title.split(' ').next().unwrap_or_default();
    let rank = ORDER.iter().position(|known| *known == kind);
    (rank.unwrap_or(ORDER.len()), Arc::from(title))
}

impl Sections {
    /// Reads the sections of `text`; `file` is named in faults.
    ///
    /// # Errors
    ///
    /// Returns every malformed line, repeated section and repeated key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Diagnostic>> {
        let sections = ini::sections(file, text)?.into_iter().map(|section| {
            let title = section.title();
            let properties = section.properties.into_iter();
            let body = properties.map(|property| (property.key, property.value));
            (place(&title), Arc::new(body.collect()))
        });
        Ok(Self(sections.collect()))
    }

    /// The canonical text: sections by kind and name, keys by name, no comments.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for ((_, title), body) in &self.0 {
            let _infallible = writeln!(text, "[{title}]");
            for (key, value) in &**body {
                let _infallible = writeln!(text, "{key} = {value}");
            }
        }
        text
    }

    /// The content of a section.
    pub fn get(&self, title: &str) -> Option<&Body> {
        self.0.get(&place(title)).map(AsRef::as_ref)
    }

    /// The titles in the order of the canonical text.
    pub fn titles(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(|(_, title)| &**title)
    }

    /// Replaces the content of a section.
    pub fn put(&mut self, title: &str, body: Body) {
        self.0.insert(place(title), Arc::new(body));
    }

    /// Applies edits in their order.
    pub fn apply(&mut self, edits: &[Edit]) {
        for edit in edits {
            match &edit.body {
                Some(body) => self.put(&edit.title, body.clone()),
                None => {
                    self.0.remove(&place(&edit.title));
                }
            }
        }
    }

    /// The edits that turn `self` into `new`.
    pub fn edits(&self, new: &Self) -> Vec<Edit> {
        let removed = self.0.keys().filter(|title| !new.0.contains_key(*title));
        let removed = removed.map(|(_, title)| Edit {
            title: Arc::clone(title),
            body: None,
        });
        let put = new
            .0
            .iter()
            .filter(|(title, body)| self.0.get(*title).is_none_or(|old| old != *body));
        let put = put.map(|((_, title), body)| Edit {
            title: Arc::clone(title),
            body: Some(body.as_ref().clone()),
        });
        removed.chain(put).collect()
    }

    /// The sections and keys that differ between `self` and `new`.
    pub fn differences(&self, new: &Self) -> Vec<Difference> {
        let empty = Body::new();
        let edits = self.edits(new).into_iter();
        edits
            .map(|edit| {
                let old = self.get(&edit.title).unwrap_or(&empty);
                let new = edit.body.as_ref().unwrap_or(&empty);
                let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
                let keys = keys
                    .into_iter()
                    .filter(|key| old.get(*key) != new.get(*key));
                let keys = keys.map(|key| {
                    let values = (old.get(key).cloned(), new.get(key).cloned());
                    (key.clone(), values)
                });
                Difference {
                    title: edit.title.to_string(),
                    keys: keys.collect(),
                }
            })
            .collect()
    }

    /// This document with what `source`, a document of another environment, prescribes.
    ///
    /// Kept from `self`: `[environment]`, every `[zone]` and `[target]` (with the agents'
    /// addresses), and of each `[team]` the keys `keys` and `admin-tokens`. Taken from `source`:
    /// `[limits]`, every `[model]`, `[route]` and `[move]`, and the other keys of each `[team]`.
    /// Teams that only `self` has are kept as they are; teams that only `source` has come without
    /// `keys` and `admin-tokens`.
    #[must_use]
    pub fn promoted_from(&self, source: &Self) -> Self {
        let mut result = Self::default();
        for (place, body) in &self.0 {
            let kept = ["environment", "zone", "target", "team"];
            if kept.contains(&kind(&place.1)) {
                result.0.insert(place.clone(), Arc::clone(body));
            }
        }
        for (place, body) in &source.0 {
            match kind(&place.1) {
                "limits" | "model" | "route" | "move" => {
                    result.0.insert(place.clone(), Arc::clone(body));
                }
                "team" => {
                    let mut body = Body::clone(body);
                    for key in TEAM_SECRETS {
                        body.remove(key);
                        if let Some(own) = self.get(&place.1).and_then(|own| own.get(key)) {
                            body.insert(key.to_owned(), own.clone());
                        }
                    }
                    result.0.insert(place.clone(), Arc::new(body));
                }
                _ => {}
            }
        }
        result
    }
}

fn kind(title: &str) -> &str {
    title.split(' ').next().unwrap_or_default()
}

#[cfg(test)]
#[path = "../tests/unit/sections.rs"]
mod tests;
