//! The state of a fleet at a glance.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    time::{Duration, UNIX_EPOCH},
};

use ebonyfall_core::{
    config::Tip,
    doc::{Document, MoveIntent, Workload, ZoneState},
    id::Offset,
    name::MoveName,
};
use futures_util::future;
use serde::{Deserialize, Serialize};

use crate::{admin::Dump, operate, platform::Platform, remote, rollouts::MoveState};

/// Bound for a configuration to be in force everywhere; before it has passed, a process that still
/// has the one before is not reported as wrong.
const IN_FORCE_BOUND: Duration = Duration::from_secs(8);
/// Age of a process's last read of the log above which it is reported.
const LOG_AGE_BOUND: Duration = Duration::from_secs(15);
/// Lines of each list that are printed.
const MAX_LINES: usize = 8;
/// Width of the printed lines.
const WIDTH: usize = 79;

/// A process as it answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Its admin address.
    pub address: SocketAddr,
    /// Its name, if it answered.
    pub name: Option<String>,
    /// Its zone, if it answered.
    pub zone: Option<String>,
    /// Its configuration's offset.
    pub offset: Option<Offset>,
    /// Whether it has the configuration in force.
    pub in_force: bool,
    /// Why not, or what else is wrong with it.
    pub note: Option<String>,
}

/// A version move as the document declares it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// The move's name.
    pub name: String,
    /// The model that moves.
    pub model: String,
    /// The version that serves now.
    pub from: String,
    /// The version that shall serve.
    pub to: String,
    /// When all traffic must have moved, in seconds since the Unix epoch.
    pub due: u64,
    /// What the operator wants done.
    pub intent: MoveIntent,
    /// Whether the due time has passed.
    pub overdue: bool,
    /// How far it is, from the router that has compared most requests.
    pub state: Option<String>,
}

/// The state of a fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// What is wrong.
    pub wrong: Vec<String>,
    /// What is changing.
    pub moving: Vec<String>,
    /// What the operator has to do.
    pub needs_operator: Vec<String>,
    /// Environment, offset and author of the configuration in force.
    pub configuration: Option<(String, Offset, String)>,
    /// Processes that have the configuration in force.
    pub in_force: usize,
    /// Every process that was asked.
    pub processes: Vec<ProcessStatus>,
    /// Zones that are out of service.
    pub zones_out: Vec<String>,
    /// Zones in all.
    pub zones: usize,
    /// Targets by what they run.
    pub targets: BTreeMap<String, usize>,
    /// Version moves.
    pub moves: Vec<MoveStatus>,
}

/// Asks the log and every process.
pub async fn collect(
    platform: &Platform,
    processes: &[SocketAddr],
    token: &str,
    now: Duration,
) -> Status {
    let asked = processes
        .iter()
        .map(|address| async move { (*address, remote::dump(*address, token).await) });
    let (tip, answers) = tokio::join!(operate::current_tip(platform), future::join_all(asked));
    let mut status = Status::default();
    let tip = match tip {
        Ok(Some(tip)) => Some(tip),
        Ok(None) => {
            status
                .wrong
                .push("the log holds no configuration".to_owned());
            let step = "publish a document, or wait for a process to renew the configuration";
            status.needs_operator.push(step.to_owned());
            None
        }
        Err(error) => {
            status
                .wrong
                .push(format!("the log cannot be read: {error}"));
            None
        }
    };
    // Without the log, the newest configuration of a process is taken for the one in force.
    let answers: Vec<_> = answers;
    let newest = answers
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok());
    let newest = newest.filter_map(|dump| dump.configuration.offset).max();
    let expected = tip.as_ref().map(|tip| tip.offset).max(newest);
    let fresh = tip.as_ref().is_some_and(|tip| {
        now.saturating_sub(Duration::from_millis(tip.published_ms)) < IN_FORCE_BOUND
    });
    let verdicts = move_states(
        answers
            .iter()
            .filter_map(|(_, answer)| answer.as_ref().ok()),
    );
    for (address, answer) in answers {
        let line = match answer {
            Ok(dump) => process_status(address, &dump, expected),
            Err(error) => ProcessStatus {
                address,
                name: None,
                zone: None,
                offset: None,
                in_force: false,
                note: Some(error.to_string()),
            },
        };
        status.in_force += usize::from(line.in_force);
        if let Some(note) = &line.note {
            let name = line.name.clone().unwrap_or_else(|| address.to_string());
            let text = format!("{name}: {note}");
            if fresh && !line.in_force && line.offset.is_some() {
                status.moving.push(text);
            } else {
                status.wrong.push(text);
            }
        }
        status.processes.push(line);
    }
    if let Some(tip) = &tip {
        status.describe(tip, &verdicts, now);
    }
    status
}

fn process_status(address: SocketAddr, dump: &Dump, expected: Option<Offset>) -> ProcessStatus {
    let state = &dump.configuration;
    let in_force = state.offset.is_some() && state.offset == expected;
    let note = if state.offset.is_none() {
        Some("has no configuration and does not serve".to_owned())
    } else if state.log_reset {
        Some("has read records that the log no longer holds; the log was set back".to_owned())
    } else if !in_force {
        let show = |offset: Option<Offset>| offset.map_or("none".to_owned(), |at| at.to_string());
        Some(format!(
            "has offset {} instead of {}",
            show(state.offset),
            show(expected)
        ))
    } else if let Some(error) = &state.log_error {
        Some(format!("cannot read the log: {error}"))
    } else if state.log_read_age_ms.map(Duration::from_millis) > Some(LOG_AGE_BOUND) {
        Some("has not read the log for a while".to_owned())
    } else {
        None
    };
    ProcessStatus {
        address,
        name: Some(dump.name.clone()),
        zone: Some(dump.zone.clone()),
        offset: state.offset,
        in_force,
        note,
    }
}

/// The state of each move: a verdict counts before the number of requests.
fn move_states<'d>(dumps: impl Iterator<Item = &'d Dump>) -> BTreeMap<MoveName, MoveState> {
    let mut states: BTreeMap<MoveName, MoveState> = BTreeMap::new();
    for dump in dumps {
        let moves = dump.tasks.get("moves").cloned().unwrap_or_default();
        let moves: BTreeMap<MoveName, MoveState> =
            serde_json::from_value(moves).unwrap_or_default();
        for (name, state) in moves {
            let weight = |state: &MoveState| (state.verdict.is_some(), state.samples);
            let newer = states
                .get(&name)
                .is_none_or(|known| weight(known) < weight(&state));
            if newer {
                states.insert(name, state);
            }
        }
    }
    states
}

impl Status {
    fn describe(&mut self, tip: &Tip, states: &BTreeMap<MoveName, MoveState>, now: Duration) {
        let document: &Document = &tip.document;
        self.configuration = Some((
            document.environment.to_string(),
            tip.offset,
            tip.author.to_string(),
        ));
        self.zones = document.zones.len();
        let out = document.zones.iter();
        let out = out.filter(|(_, zone)| zone.state == ZoneState::Out);
        self.zones_out = out.map(|(name, _)| name.to_string()).collect();
        for target in document.targets.values() {
            let runs = match &target.workload {
                Workload::Engine { model, version } => format!("{model} {version}"),
                Workload::Service(service) => format!("service {service}"),
            };
            *self.targets.entry(runs).or_default() += 1;
        }
        for zone in &self.zones_out {
            self.moving.push(format!("zone {zone} is out of service"));
        }
        for (name, step) in &document.moves {
            let overdue = step.due < now.as_secs();
            self.moves.push(MoveStatus {
                name: name.to_string(),
                model: step.model.to_string(),
                from: step.from.to_string(),
                to: step.to.to_string(),
                due: step.due,
                intent: step.intent,
                overdue,
                state: states.get(name).map(ToString::to_string),
            });
            self.moving.push(format!(
                "move {name}: {} from {} to {}, intent {}",
                step.model, step.from, step.to, step.intent
            ));
            if let Some(state) = states.get(name).filter(|state| state.verdict.is_some()) {
                let text =
                    format!("move {name} is {state}; withdraw it or declare another version");
                self.needs_operator.push(text);
            }
            if overdue {
                let text = format!("move {name} is past its due time; finish or withdraw it");
                self.needs_operator.push(text);
            }
        }
        for (name, team) in &document.teams {
            if team.keys.is_empty() {
                let text = format!("team {name} has no keys; add one");
                self.needs_operator.push(text);
            }
        }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        list(f, "wrong", &self.wrong)?;
        list(f, "moving", &self.moving)?;
        list(f, "needs you", &self.needs_operator)?;
        if let Some((environment, offset, author)) = &self.configuration {
            let line = format!("configuration: {environment} at offset {offset} by {author}");
            writeln!(f, "{}", cut(&line))?;
        }
        let count = self.processes.len();
        writeln!(
            f,
            "processes: {} of {count} have it in force",
            self.in_force
        )?;
        let targets = self.targets.iter();
        let targets: Vec<_> = targets
            .map(|(runs, count)| format!("{count} {runs}"))
            .collect();
        writeln!(f, "{}", cut(&format!("targets: {}", targets.join(", "))))?;
        let out = match &*self.zones_out {
            [] => "none".to_owned(),
            out => out.join(", "),
        };
        writeln!(f, "{}", cut(&format!("zones: {}, out: {out}", self.zones)))?;
        let moves: Vec<_> = self.moves.iter().map(ToString::to_string).collect();
        list(f, "moves", &moves)
    }
}

impl fmt::Display for MoveStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let due = UNIX_EPOCH + Duration::from_secs(self.due);
        write!(
            f,
            "{}: {} {} -> {}, {}, due {}{}",
            self.name,
            self.model,
            self.from,
            self.to,
            self.intent,
            humantime::format_rfc3339_seconds(due),
            if self.overdue { ", overdue" } else { "" }
        )?;
        match &self.state {
            Some(state) => write!(f, "; {state}"),
            None => Ok(()),
        }
    }
}

fn list(f: &mut fmt::Formatter<'_>, title: &str, lines: &[String]) -> fmt::Result {
    if lines.is_empty() {
        return writeln!(f, "{title}: nothing");
    }
    writeln!(f, "{title}: {}", lines.len())?;
    for line in lines.iter().take(MAX_LINES) {
        writeln!(f, "{}", cut(&format!("  {line}")))?;
    }
    if lines.len() > MAX_LINES {
        writeln!(f, "  and {} more; see --json", lines.len() - MAX_LINES)?;
    }
    Ok(())
}

fn cut(line: &str) -> String {
    let mut text: String = line.chars().take(WIDTH).collect();
    if line.chars().count() > WIDTH {
        text.truncate(text.floor_char_boundary(WIDTH - 3));
        text.push_str("...");
    }
    text
}
