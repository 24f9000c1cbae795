//! Converts the sections of a configuration document into typed values and checks them.

use std::{
    collections::BTreeMap,
    str::FromStr,
    sync::Arc,
    time::{Duration, UNIX_EPOCH},
};

use crate::{
    doc::{
        Document, Idempotency, KeyHash, Limits, Model, MoveIntent, Priority, Route, Target, Team,
        VersionMove, Workload, Zone, ZoneState,
    },
    ini::{self, Diagnostic, Section, SectionReader},
    name::{EnvironmentName, VersionName},
};

const ALLOWED_NAME: &str = "a name of letters, digits, '-', '_' and '.'";
const ALLOWED_HASHES: &str = "SHA-256 hashes as 64 hex digits, comma-separated";
const DAY: Duration = Duration::from_secs(24 * 3600);
/// Renewals start after half of the retention. Half of 32 s is twice the 8 s within which a change
/// has to reach every process, so that a renewal is read before the next one is due.
const MIN_RETENTION: Duration = Duration::from_secs(32);
const SECTION_KINDS: &str = "environment, limits, zone, team, model, target, route, move";

impl Document {
    /// Parses and checks `text`. `file` is the file name for diagnostics.
    ///
    /// # Errors
    ///
    /// Returns a diagnostic with the line for every error found.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Diagnostic>> {
        let sections = ini::sections(file, text)?;
        let mut reader = DocumentReader::new(file);
        let document = reader.document(&sections, text);
        reader.check_references(&sections, &document);
        reader.check_duplicates(&sections, &document);
        let diagnostics = reader.finish();
        if diagnostics.is_empty() {
            Ok(document)
        } else {
            Err(diagnostics)
        }
    }
}

/// Builds a document from its sections and collects diagnostics.
pub(crate) struct DocumentReader<'a> {
    file: &'a str,
    diagnostics: Vec<Diagnostic>,
}

impl<'a> DocumentReader<'a> {
    pub(crate) fn new(file: &'a str) -> Self {
        Self {
            file,
            diagnostics: Vec::new(),
        }
    }

    pub(crate) fn finish(self) -> Vec<Diagnostic> {
        self.diagnostics
    }

    pub(crate) fn document(&mut self, sections: &[Section], text: &str) -> Document {
        let mut document = Document {
            environment: EnvironmentName::new("unnamed").expect("the literal is a valid name"),
            limits: Limits::default(),
            zones: BTreeMap::new(),
            teams: BTreeMap::new(),
            models: BTreeMap::new(),
            targets: BTreeMap::new(),
            routes: BTreeMap::new(),
            moves: BTreeMap::new(),
            text: Arc::from(text),
        };
        let mut has_environment = false;
        for section in sections {
            match section.kind.as_str() {
                "environment" => {
                    has_environment = true;
                    let mut fields = self.fields(section);
                    if let Some(name) = fields.required("name", ALLOWED_NAME, parse) {
                        document.environment = name;
                    }
                    fields.finish();
                }
                "limits" => document.limits = self.limits(section),
                "zone" => {
                    let name = self.section_name(section);
                    insert_if_valid(&mut document.zones, name, self.zone(section));
                }
                "team" => {
                    let name = self.section_name(section);
                    insert_if_valid(&mut document.teams, name, Some(self.team(section)));
                }
                "model" => {
                    let name = self.section_name(section);
                    insert_if_valid(&mut document.models, name, self.model(section));
                }
                "target" => {
                    let name = self.section_name(section);
                    insert_if_valid(&mut document.targets, name, self.target(section));
                }
                "route" => {
                    let name = self.section_name(section);
                    insert_if_valid(&mut document.routes, name, self.route(section));
                }
                "move" => {
                    let name = self.section_name(section);
                    insert_if_valid(&mut document.moves, name, self.version_move(section));
                }
                other => {
                    let found = format!("section kind {other:?}");
                    self.fields(section)
                        .report(section.line, "", found, SECTION_KINDS);
                }
            }
        }
        if !has_environment {
            self.diagnostics.push(Diagnostic {
                file: self.file.to_owned(),
                line: 1,
                location: "[environment] name".to_owned(),
                found: "nothing".to_owned(),
                allowed: ALLOWED_NAME.to_owned(),
            });
        }
        document
    }

    fn fields<'s>(&'s mut self, section: &'s Section) -> SectionReader<'s> {
        SectionReader::new(self.file, section, &mut self.diagnostics)
    }

    fn section_name<T: FromStr>(&mut self, section: &Section) -> Option<T> {
        let name = section.name.parse().ok();
        if name.is_none() {
            let found = format!("{:?}", section.name);
            self.fields(section)
                .report(section.line, "name", found, ALLOWED_NAME);
        }
        name
    }

    fn limits(&mut self, section: &Section) -> Limits {
        let default = Limits::default();
        let mut f = self.fields(section);
        let limits = Limits {
            load_multiple: f
                .optional(
                    "load-multiple",
                    "a number from 1.01 to 10",
                    number_between(1.01, 10.0),
                )
                .unwrap_or(default.load_multiple),
            retry_budget: f
                .optional(
                    "retry-budget",
                    "a percentage from 0% to 100%",
                    parse_percent,
                )
                .unwrap_or(default.retry_budget),
            queue_capacity: f
                .optional("queue", "a number from 1 to 100000", count_up_to(100_000))
                .unwrap_or(default.queue_capacity),
            body_bytes: f
                .optional(
                    "body-bytes",
                    "a number from 1 to 7340032",
                    count_up_to(7 << 20),
                )
                .unwrap_or(default.body_bytes),
            warmup: f
                .optional(
                    "warmup",
                    "a duration from 0s to 1day",
                    duration_between(Duration::ZERO, DAY),
                )
                .unwrap_or(default.warmup),
            zone_ramp: f
                .optional(
                    "zone-ramp",
                    "a duration from 0s to 1day",
                    duration_between(Duration::ZERO, DAY),
                )
                .unwrap_or(default.zone_ramp),
            quarantine: f
                .optional(
                    "hold",
                    "a duration from 1s to 30days",
                    duration_between(Duration::from_secs(1), 30 * DAY),
                )
                .unwrap_or(default.quarantine),
            retention: f
                .optional(
                    "retention",
                    "a duration from 32s to 365days",
                    duration_between(MIN_RETENTION, 365 * DAY),
                )
                .unwrap_or(default.retention),
        };
        f.finish();
        limits
    }

    fn zone(&mut self, section: &Section) -> Option<Zone> {
        let mut f = self.fields(section);
        let region = f.required("region", ALLOWED_NAME, parse);
        let state = f.optional("state", "in, out", parse);
        f.finish();
        Some(Zone {
            region: region?,
            state: state.unwrap_or(ZoneState::In),
        })
    }

    fn team(&mut self, section: &Section) -> Team {
        let mut f = self.fields(section);
        let keys = f.list("keys", ALLOWED_HASHES, KeyHash::from_hex);
        let admin_tokens = f.list("admin-tokens", ALLOWED_HASHES, KeyHash::from_hex);
        let weight = f.optional("weight", "a number from 1 to 1000", count_up_to(1_000));
        let priority = f.optional("priority", "desk, check, overnight", |text| {
            text.parse().ok()
        });
        let deadline = f.optional(
            "deadline",
            "a duration from 1ms to 1day",
            duration_between(Duration::from_millis(1), DAY),
        );
        let models = f.list("models", "model names, comma-separated", parse);
        f.finish();
        Team {
            keys,
            admin_tokens,
            weight: weight.unwrap_or(1),
            priority: priority.unwrap_or(Priority::Desk),
            deadline: deadline.unwrap_or(Duration::from_secs(60)),
            models,
        }
    }

    fn model(&mut self, section: &Section) -> Option<Model> {
        let mut f = self.fields(section);
        let version = f.required("version", ALLOWED_NAME, parse);
        f.finish();
        Some(Model { version: version? })
    }

    fn target(&mut self, section: &Section) -> Option<Target> {
        let mut f = self.fields(section);
        let vm = f.required("vm", ALLOWED_NAME, parse);
        let zone = f.required("zone", ALLOWED_NAME, parse);
        let agent = f.required("agent", "an IP address and port", parse);
        let model = f.optional("model", ALLOWED_NAME, parse);
        let version = f.optional("version", ALLOWED_NAME, parse);
        let service = f.optional("service", ALLOWED_NAME, parse);
        let slots = f.required("slots", "a number from 1 to 100000", count_up_to(100_000));
        let cold_slots = f.optional(
            "cold-slots",
            "a number from 1 to 100000",
            count_up_to(100_000),
        );
        let workload = match (model, version, service) {
            (Some(model), Some(version), None) => Some(Workload::Engine { model, version }),
            (None, None, Some(service)) => Some(Workload::Service(service)),
            _ => {
                let allowed = "either model and version, or service";
                f.report(section.line, "", "another combination of keys", allowed);
                None
            }
        };
        if let (Some(slots), Some(cold)) = (slots, cold_slots)
            && cold > slots
        {
            let line = f.line("cold-slots");
            let allowed = format!("at most the {slots} slots");
            f.report(line, "cold-slots", cold.to_string(), &allowed);
        }
        f.finish();
        let slots = slots?;
        Some(Target {
            vm: vm?,
            zone: zone?,
            agent: agent?,
            workload: workload?,
            slots,
            cold_slots: cold_slots.unwrap_or(slots.div_ceil(8)),
        })
    }

    fn route(&mut self, section: &Section) -> Option<Route> {
        let mut f = self.fields(section);
        let method = f.required("method", "GET, PUT, POST, DELETE or PATCH", |text| {
            matches!(text, "GET" | "PUT" | "POST" | "DELETE" | "PATCH").then(|| text.to_owned())
        });
        let path = f.required("path", "a path that starts with /", |text| {
            text.starts_with('/').then(|| text.to_owned())
        });
        let service = f.required("service", ALLOWED_NAME, parse);
        let idempotency = f.required("idempotent", "yes, no", |text| match text {
            "yes" => Some(Idempotency::Idempotent),
            "no" => Some(Idempotency::AtMostOnce),
            _ => None,
        });
        f.finish();
        Some(Route {
            method: method?,
            path: path?,
            service: service?,
            idempotency: idempotency?,
        })
    }

    fn version_move(&mut self, section: &Section) -> Option<VersionMove> {
        let mut f = self.fields(section);
        let model = f.required("model", ALLOWED_NAME, parse);
        let from = f.required("from", ALLOWED_NAME, parse);
        let to = f.required("to", ALLOWED_NAME, parse);
        let due = f.required(
            "due",
            "a UTC time such as 2027-01-31T18:00:00Z",
            parse_unix_seconds,
        );
        let start_share = f.optional("start-share", "a percentage from 0% to 100%", parse_percent);
        let intent = f.optional("intent", "go, hold, back", parse);
        if from.is_some() && from == to {
            let line = f.line("to");
            let found = to
                .as_ref()
                .map_or_else(String::new, |to: &VersionName| format!("{:?}", to.as_str()));
            f.report(line, "to", found, "another version than from");
        }
        f.finish();
        Some(VersionMove {
            model: model?,
            from: from?,
            to: to?,
            due: due?,
            start_share: start_share.unwrap_or(0.02),
            intent: intent.unwrap_or(MoveIntent::Go),
        })
    }

    /// Reports values that several sections share although they have to be unique: agent addresses,
    /// combinations of method and path, and key hashes.
    pub(crate) fn check_duplicates(&mut self, sections: &[Section], document: &Document) {
        let mut agents = BTreeMap::new();
        let mut paths = BTreeMap::new();
        let mut hashes = BTreeMap::new();
        for section in sections {
            let name = section.name.as_str();
            match section.kind.as_str() {
                "target" => {
                    if let Some(target) = document.targets.get(name) {
                        let found = target.agent.to_string();
                        self.check_unique(section, "agent", found, target.agent, &mut agents);
                    }
                }
                "route" => {
                    if let Some(route) = document.routes.get(name) {
                        let found = format!("{} {}", route.method, route.path);
                        self.check_unique(section, "path", found.clone(), found, &mut paths);
                    }
                }
                "team" => {
                    let Some(team) = document.teams.get(name) else {
                        continue;
                    };
                    let keys = team.keys.iter().map(|hash| ("keys", hash));
                    let tokens = team.admin_tokens.iter().map(|hash| ("admin-tokens", hash));
                    for (key, hash) in keys.chain(tokens) {
                        // The first two bytes are enough to find the hash in the file.
                        let [a, b, ..] = hash.0;
                        let found = format!("{a:02x}{b:02x}...");
                        self.check_unique(section, key, found, hash.0, &mut hashes);
                    }
                }
                _ => {}
            }
        }
    }

    fn check_unique<'s, K: Ord>(
        &mut self,
        section: &'s Section,
        key: &str,
        found: String,
        value: K,
        seen: &mut BTreeMap<K, &'s Section>,
    ) {
        if let Some(first) = seen.get(&value) {
            let allowed = format!("a value that [{}] does not have", first.title());
            let mut f = self.fields(section);
            let line = f.line(key);
            f.report(line, key, found, &allowed);
        } else {
            seen.insert(value, section);
        }
    }

    pub(crate) fn check_references(&mut self, sections: &[Section], document: &Document) {
        for section in sections {
            let title = section.name.as_str();
            match section.kind.as_str() {
                "team" => {
                    let Some(team) = document.teams.get(title) else {
                        continue;
                    };
                    for model in &team.models {
                        self.check_reference(section, "models", model, &document.models);
                    }
                }
                "target" => {
                    let Some(target) = document.targets.get(title) else {
                        continue;
                    };
                    self.check_reference(section, "zone", &target.zone, &document.zones);
                    if let Workload::Engine { model, .. } = &target.workload {
                        self.check_reference(section, "model", model, &document.models);
                    }
                }
                "route" => {
                    let Some(route) = document.routes.get(title) else {
                        continue;
                    };
                    let served = document.targets.values().any(|target| {
                        matches!(&target.workload, Workload::Service(s) if *s == route.service)
                    });
                    if !served {
                        let mut f = self.fields(section);
                        let line = f.line("service");
                        let found = format!("{:?}", route.service.as_str());
                        f.report(line, "service", found, "a service that some target runs");
                    }
                }
                "move" => {
                    let Some(version_move) = document.moves.get(title) else {
                        continue;
                    };
                    self.check_reference(section, "model", &version_move.model, &document.models);
                }
                _ => {}
            }
        }
    }

    fn check_reference<K: Ord + AsRef<str>, V>(
        &mut self,
        section: &Section,
        key: &str,
        name: &K,
        known: &BTreeMap<K, V>,
    ) {
        if !known.contains_key(name) {
            let names: Vec<_> = known.keys().map(AsRef::as_ref).collect();
            let mut f = self.fields(section);
            let line = f.line(key);
            f.report(line, key, format!("{:?}", name.as_ref()), &names.join(", "));
        }
    }
}

fn insert_if_valid<K: Ord, V>(map: &mut BTreeMap<K, V>, name: Option<K>, value: Option<V>) {
    if let (Some(name), Some(value)) = (name, value) {
        map.insert(name, value);
    }
}

fn parse<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

fn count_up_to(max: u32) -> impl Fn(&str) -> Option<u32> {
    move |text| {
        text.parse()
            .ok()
            .filter(|number| (1..=max).contains(number))
    }
}

fn number_between(min: f64, max: f64) -> impl Fn(&str) -> Option<f64> {
    move |text| {
        text.parse()
            .ok()
            .filter(|number| (min..=max).contains(number))
    }
}

fn parse_percent(text: &str) -> Option<f64> {
    let number = number_between(0.0, 100.0)(text.strip_suffix('%')?.trim_end())?;
    Some(number / 100.0)
}

fn duration_between(min: Duration, max: Duration) -> impl Fn(&str) -> Option<Duration> {
    move |text| {
        let duration = humantime::parse_duration(text).ok()?;
        (min..=max).contains(&duration).then_some(duration)
    }
}

fn parse_unix_seconds(text: &str) -> Option<u64> {
    let time = humantime::parse_rfc3339(text).ok()?;
    Some(time.duration_since(UNIX_EPOCH).ok()?.as_secs())
}
