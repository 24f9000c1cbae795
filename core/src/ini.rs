//! Parses INI text into sections and properties with line numbers for diagnostics.

use std::{collections::HashSet, fmt};

use ini_core::{Item, Parser};

/// An error in a configuration document or settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// The file name as given by the operator.
    pub file: String,
    /// The line number, starting at 1.
    pub line: u32,
    /// The section and key that the error concerns, as far as they are known.
    pub location: String,
    /// The text or value that was found.
    pub found: String,
    /// Description of the values that are allowed.
    pub allowed: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            location,
            found,
            allowed,
        } = self;
        write!(
            f,
            "{file}:{line}: {location}: found {found}; allowed: {allowed}"
        )
    }
}

/// Formats diagnostics as text, one per line.
pub fn join_lines(diagnostics: impl IntoIterator<Item = impl ToString>) -> String {
    let lines: Vec<_> = diagnostics
        .into_iter()
        .map(|diagnostic| diagnostic.to_string())
        .collect();
    lines.join("\n")
}

/// A `key = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Property {
    /// The text before the equals sign, trimmed.
    pub key: String,
    /// The text after the equals sign, trimmed.
    pub value: String,
    /// The line number, starting at 1.
    pub line: u32,
}

/// A section header such as `[team desks]` with its properties.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// The first word of the header, such as `team`.
    pub kind: String,
    /// The rest of the header, such as `desks`; empty if there is none.
    pub name: String,
    /// The line number of the header, starting at 1.
    pub line: u32,
    /// The properties in the order in which they appear.
    pub properties: Vec<Property>,
}

impl Section {
    /// The text of the header without brackets.
    pub fn title(&self) -> String {
        if self.name.is_empty() {
            self.kind.clone()
        } else {
            format!("{} {}", self.kind, self.name)
        }
    }
}

/// Splits `text` into sections; `#` and `;` start comment lines.
///
/// # Errors
///
/// Returns a diagnostic for every malformed line, repeated section and repeated key.
pub fn sections(file: &str, text: &str) -> Result<Vec<Section>, Vec<Diagnostic>> {
    let mut sections: Vec<Section> = Vec::new();
    let mut diagnostics = Vec::new();
    let mut titles = HashSet::new();
    for (line, content) in (1..).zip(text.lines()) {
        if content.trim_start().starts_with('#') {
            continue;
        }
        let mut report = |location: &str, found: &str, allowed: &str| {
            diagnostics.push(Diagnostic {
                file: file.to_owned(),
                line,
                location: location.to_owned(),
                found: found.to_owned(),
                allowed: allowed.to_owned(),
            });
        };
        // Each line is parsed separately, so that the line number is exact for every kind of item.
        for item in Parser::new(content.trim()).auto_trim(true) {
            match item {
                Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
                Item::Error(text) => report("header", text, "[kind] or [kind name]"),
                Item::Section(title) => {
                    let (kind, name) = title.split_once(' ').unwrap_or((title, ""));
                    // Titles are compared in canonical form, without surrounding spaces.
                    if !titles.insert((kind.to_owned(), name.trim().to_owned())) {
                        report(title, "a second section of this name", "one");
                    }
                    sections.push(Section {
                        kind: kind.to_owned(),
                        name: name.trim().to_owned(),
                        line,
                        properties: Vec::new(),
                    });
                }
                Item::Property(key, None) => report("line", key, "key = value"),
                Item::Property(key, Some(value)) => {
                    let Some(section) = sections.last_mut() else {
                        report(
                            key,
                            "a key before the first section",
                            "a [section] line above it",
                        );
                        continue;
                    };
                    if section
                        .properties
                        .iter()
                        .any(|property| property.key == key)
                    {
                        report(
                            &format!("[{}] {key}", section.title()),
                            "a second value",
                            "one",
                        );
                        continue;
                    }
                    section.properties.push(Property {
                        key: key.to_owned(),
                        value: value.to_owned(),
                        line,
                    });
                }
            }
        }
    }
    if diagnostics.is_empty() {
        Ok(sections)
    } else {
        Err(diagnostics)
    }
}

/// Reads the properties of one section and collects diagnostics.
#[derive(Debug)]
pub struct SectionReader<'a> {
    file: &'a str,
    section: &'a Section,
    known_keys: Vec<&'static str>,
    diagnostics: &'a mut Vec<Diagnostic>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of `section` that appends to `diagnostics`.
    pub fn new(file: &'a str, section: &'a Section, diagnostics: &'a mut Vec<Diagnostic>) -> Self {
        Self {
            file,
            section,
            known_keys: Vec::new(),
            diagnostics,
        }
    }

    /// Adds a diagnostic for `key` at `line` of this section; `key` may be empty.
    pub fn report(&mut self, line: u32, key: &str, found: impl Into<String>, allowed: &str) {
        self.diagnostics.push(Diagnostic {
            file: self.file.to_owned(),
            line,
            location: format!("[{}] {key}", self.section.title())
                .trim_end()
                .to_owned(),
            found: found.into(),
            allowed: allowed.to_owned(),
        });
    }

    fn property(&mut self, key: &'static str) -> Option<&'a Property> {
        self.known_keys.push(key);
        self.section
            .properties
            .iter()
            .find(|property| property.key == key)
    }

    /// The line number of `key`, or of the section header if the key is absent.
    pub fn line(&self, key: &str) -> u32 {
        let property = self
            .section
            .properties
            .iter()
            .find(|property| property.key == key);
        property.map_or(self.section.line, |property| property.line)
    }

    /// Whether the section has this key.
    pub fn has(&self, key: &str) -> bool {
        let mut properties = self.section.properties.iter();
        properties.any(|property| property.key == key)
    }

    /// Parses the value of an optional key. A value that `parse` rejects is reported; `allowed`
    /// describes the values that `parse` accepts.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let property = self.property(key)?;
        let value = parse(&property.value);
        if value.is_none() {
            self.report(property.line, key, format!("{:?}", property.value), allowed);
        }
        value
    }

    /// Parses the value of a mandatory key. A missing key is reported as well.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if !self.has(key) {
            self.known_keys.push(key);
            self.report(self.section.line, key, "nothing", allowed);
            return None;
        }
        self.optional(key, allowed, parse)
    }

    /// Parses a comma-separated list. An absent key or a malformed item results in an empty list.
    pub fn list<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        self.optional(key, allowed, |text| {
            text.split(',').map(|item| parse(item.trim())).collect()
        })
        .unwrap_or_default()
    }

    /// Reports every key of the section that no earlier call has read.
    pub fn finish(mut self) {
        let section = self.section;
        for property in &section.properties {
            if !self.known_keys.contains(&property.key.as_str()) {
                let allowed = self.known_keys.join(", ");
                self.report(property.line, &property.key, "an unknown key", &allowed);
            }
        }
    }
}
