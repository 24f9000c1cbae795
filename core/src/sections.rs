//! A configuration document as a set of sections: canonical text, differences between documents
//! and promotion from one environment to another.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Write as _},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::ini::{self, Diagnostic};

/// Section kinds in the order in which the canonical text lists them.
const KIND_ORDER: [&str; 8] = [
    "environment",
    "limits",
    "zone",
    "model",
    "team",
    "target",
    "route",
    "move",
];
/// Team keys that hold secrets of one environment and are not promoted to another.
const TEAM_SECRETS: [&str; 2] = ["keys", "admin-tokens"];

/// The keys and values of a section.
pub type SectionBody = BTreeMap<String, String>;

/// Replacement or removal of one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Title of the section, such as `team desks`.
    pub title: Arc<str>,
    /// The new content of the section; `None` removes the section.
    pub body: Option<SectionBody>,
}

/// The difference of one section between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Title of the section, such as `team desks`.
    pub title: String,
    /// The keys that differ, with the old and the new value. `None` stands for an absent key.
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

/// The sections of a document, in the order of the canonical text. Comments are not kept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sections(BTreeMap<(usize, Arc<str>), Arc<SectionBody>>);

fn sort_key(title: &str) -> (usize, Arc<str>) {
    let kind = title.split(' ').next().unwrap_or_default();
    let rank = KIND_ORDER.iter().position(|known| *known == kind);
    (rank.unwrap_or(KIND_ORDER.len()), Arc::from(title))
}

impl Sections {
    /// Parses the sections of `text`. `file` is the file name for diagnostics.
    ///
    /// # Errors
    ///
    /// Returns a diagnostic for every malformed line, repeated section and repeated key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Diagnostic>> {
        let sections = ini::sections(file, text)?.into_iter().map(|section| {
            let title = section.title();
            let properties = section.properties.into_iter();
            let body = properties.map(|property| (property.key, property.value));
            (sort_key(&title), Arc::new(body.collect()))
        });
        Ok(Self(sections.collect()))
    }

    /// Renders the canonical text: sections ordered by kind and name, keys ordered by name, without
    /// comments.
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

    /// The content of the section with this title.
    pub fn get(&self, title: &str) -> Option<&SectionBody> {
        self.0.get(&sort_key(title)).map(AsRef::as_ref)
    }

    /// The section titles, in the order of the canonical text.
    pub fn titles(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(|(_, title)| &**title)
    }

    /// Adds a section or replaces its content.
    pub fn put(&mut self, title: &str, body: SectionBody) {
        self.0.insert(sort_key(title), Arc::new(body));
    }

    /// Applies edits in the given order.
    pub fn apply(&mut self, edits: &[Edit]) {
        for edit in edits {
            match &edit.body {
                Some(body) => self.put(&edit.title, body.clone()),
                None => {
                    self.0.remove(&sort_key(&edit.title));
                }
            }
        }
    }

    /// Computes the edits that turn `self` into `new`.
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

    /// Lists the sections and keys that differ between `self` and `new`.
    pub fn differences(&self, new: &Self) -> Vec<Difference> {
        let empty = SectionBody::new();
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

    /// Promotes `source`, the document of another environment, to the environment of `self`.
    ///
    /// The result keeps from `self`: `[environment]`, every `[zone]` and `[target]` (with the
    /// addresses of agents), and `keys` and `admin-tokens` of each `[team]`. It has from `source`:
    /// `[limits]`, every `[model]`, `[route]` and `[move]`, and all other keys of each `[team]`.
    /// Teams that exist only in `self` are kept unchanged. Teams that exist only in `source` are
    /// added without `keys` and `admin-tokens`.
    #[must_use]
    pub fn promoted_from(&self, source: &Self) -> Self {
        let mut result = Self::default();
        for (sort_key, body) in &self.0 {
            let kept = ["environment", "zone", "target", "team"];
            if kept.contains(&kind(&sort_key.1)) {
                result.0.insert(sort_key.clone(), Arc::clone(body));
            }
        }
        for (sort_key, body) in &source.0 {
            match kind(&sort_key.1) {
                "limits" | "model" | "route" | "move" => {
                    result.0.insert(sort_key.clone(), Arc::clone(body));
                }
                "team" => {
                    let mut body = SectionBody::clone(body);
                    for key in TEAM_SECRETS {
                        body.remove(key);
                        if let Some(own) = self.get(&sort_key.1).and_then(|own| own.get(key)) {
                            body.insert(key.to_owned(), own.clone());
                        }
                    }
                    result.0.insert(sort_key.clone(), Arc::new(body));
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
