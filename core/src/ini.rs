//! INI text as sections and properties that remember their lines.

use std::{collections::HashSet, fmt};

use ini_core::{Item, Parser};

/// One thing that is wrong with a document or settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// The file's name as the operator gave it.
    pub file: String,
    /// The line, counted from one.
    pub line: u32,
    /// The section and key, as far as known.
    pub place: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            place,
            found,
            allowed,
        } = self;
        write!(
            f,
            "{file}:{line}: {place}: found {found}; allowed: {allowed}"
        )
    }
}

/// Faults as text, one a line.
pub fn lines(faults: impl IntoIterator<Item = impl ToString>) -> String {
    let lines: Vec<_> = faults.into_iter().map(|fault| fault.to_string()).collect();
    lines.join("\n")
}

/// A `key = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Property {
    /// The text before the equals sign, trimmed.
    pub key: String,
    /// The text after the equals sign, trimmed.
    pub value: String,
    /// The line, counted from one.
    pub line: u32,
}

/// A section header such as `[team desks]` with its properties.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// The first word of the header.
    pub kind: String,
    /// The rest of the header, empty where there is none.
    pub name: String,
    /// The header's line, counted from one.
    pub line: u32,
    /// The properties in the order of the text.
    pub properties: Vec<Property>,
}

impl Section {
    /// The header's text without brackets.
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
/// Returns every malformed line, repeated section and repeated key.
pub fn sections(file: &str, text: &str) -> Result<Vec<Section>, Vec<Diagnostic>> {
    let mut sections: Vec<Section> = Vec::new();
    let mut faults = Vec::new();
    let mut titles = HashSet::new();
    for (line, content) in (1..).zip(text.lines()) {
        if content.trim_start().starts_with('#') {
            continue;
        }
        let mut fault = |place: &str, found: &str, allowed: &str| {
            faults.push(Diagnostic {
                file: file.to_owned(),
                line,
                place: place.to_owned(),
                found: found.to_owned(),
                allowed: allowed.to_owned(),
            });
        };
        // The line is handed over by itself, so that its number is exact for every kind of item.
        for item in Parser::new(content.trim()).auto_trim(true) {
            match item {
                Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
                Item::Error(text) => fault("header", text, "[kind] or [kind name]"),
                Item::Section(title) => {
                    let (kind, name) = title.split_once(' ').unwrap_or((title, ""));
                    // Titles are compared as they are rendered, so that spaces make no difference.
                    if !titles.insert((kind.to_owned(), name.trim().to_owned())) {
                        fault(title, "a second section of this name", "one");
                    }
                    sections.push(Section {
                        kind: kind.to_owned(),
                        name: name.trim().to_owned(),
                        line,
                        properties: Vec::new(),
                    });
                }
                Item::Property(key, None) => fault("line", key, "key = value"),
                Item::Property(key, Some(value)) => {
                    let Some(section) = sections.last_mut() else {
                        fault(
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
                        fault(
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
    if faults.is_empty() {
        Ok(sections)
    } else {
        Err(faults)
    }
}

/// Reads the properties of one section and collects what is wrong with them.
#[derive(Debug)]
pub struct SectionReader<'a> {
    file: &'a str,
    section: &'a Section,
    known: Vec<&'static str>,
    faults: &'a mut Vec<Diagnostic>,
}

impl<'a> SectionReader<'a> {
    /// Starts reading `section`; faults go to `faults`.
    pub fn new(file: &'a str, section: &'a Section, faults: &'a mut Vec<Diagnostic>) -> Self {
        Self {
            file,
            section,
            known: Vec::new(),
            faults,
        }
    }

    /// Records a fault at `line` of this section.
    pub fn fault(&mut self, line: u32, key: &str, found: impl Into<String>, allowed: &str) {
        self.faults.push(Diagnostic {
            file: self.file.to_owned(),
            line,
            place: format!("[{}] {key}", self.section.title())
                .trim_end()
                .to_owned(),
            found: found.into(),
            allowed: allowed.to_owned(),
        });
    }

    fn property(&mut self, key: &'static str) -> Option<&'a Property> {
        self.known.push(key);
        self.section
            .properties
            .iter()
            .find(|property| property.key == key)
    }

    /// The line of `key`, or of the header when the key is absent.
    pub fn line(&self, key: &str) -> u32 {
        let property = self
            .section
            .properties
            .iter()
            .find(|property| property.key == key);
        property.map_or(self.section.line, |property| property.line)
    }

    /// Reads an optional value with `parse`; `allowed` describes what `parse` accepts.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let property = self.property(key)?;
        let value = parse(&property.value);
        if value.is_none() {
            self.fault(property.line, key, format!("{:?}", property.value), allowed);
        }
        value
    }

    /// Reads a value with `parse` that must be present.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if !self
            .section
            .properties
            .iter()
            .any(|property| property.key == key)
        {
            self.known.push(key);
            self.fault(self.section.line, key, "nothing", allowed);
            return None;
        }
        self.optional(key, allowed, parse)
    }

    /// Reads a comma-separated list; an absent key gives an empty list.
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

    /// Records every key that was not asked for.
    pub fn finish(mut self) {
        let section = self.section;
        for property in &section.properties {
            if !self.known.contains(&property.key.as_str()) {
                let allowed = self.known.join(", ");
                self.fault(property.line, &property.key, "an unknown key", &allowed);
            }
        }
    }
}
