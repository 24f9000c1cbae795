//! Summary of a fleet's state, collected from the platform's log and the processes' dumps.

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

/// Time within which a published configuration reaches every process. Until then, a process with an
/// older configuration counts as changing, not as wrong.
const PROPAGATION_BOUND: Duration = Duration::from_secs(8);
/// Maximum time since a process's last successful read of the log; a longer one is reported.
const MAX_LOG_READ_AGE: Duration = Duration::from_secs(15);
/// Maximum number of lines printed of each list.
const MAX_LIST_LINES: usize = 8;
/// Maximum width of a printed line, in characters.
const MAX_LINE_CHARS: usize = 79;

/// State of one process, taken from its dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Admin address that was queried.
    pub address: SocketAddr,
    /// Name of the process; `None` if its dump could not be read.
    pub name: Option<String>,
    /// Zone of the process; `None` if its dump could not be read.
    pub zone: Option<String>,
    /// Offset of the configuration that the process applies; `None` if it has none or its dump
    /// could not be read.
    pub offset: Option<Offset>,
    /// Whether the process applies the configuration in force.
    pub in_force: bool,
    /// Why `in_force` is false, or another problem of the process; `None` if it is healthy.
    pub note: Option<String>,
}

/// Version move declared in the configuration, with its progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// Name of the move.
    pub name: String,
    /// Model whose version changes.
    pub model: String,
    /// Version that the move replaces.
    pub from: String,
    /// Version that the move introduces.
    pub to: String,
    /// Time by which all traffic has to be on the new version, in seconds since the Unix epoch.
    pub due: u64,
    /// Intent that the operator declared in the document.
    pub intent: MoveIntent,
    /// Whether the due time has passed.
    pub overdue: bool,
    /// Progress as reported by a router with a verdict, or else by the one that has compared the
    /// most requests; `None` if no process reports the move.
    pub state: Option<String>,
}

/// State of a fleet, as printed by `status` and served at `/v1/status`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Problems, one line of text each.
    pub wrong: Vec<String>,
    /// Changes under way, one line of text each.
    pub moving: Vec<String>,
    /// Actions required of the operator, one line of text each.
    pub needs_operator: Vec<String>,
    /// Environment, offset and author of the configuration in the log; `None` if it could not be
    /// read.
    pub configuration: Option<(String, Offset, String)>,
    /// Number of processes that apply the configuration in force.
    pub in_force: usize,
    /// Every process that was queried.
    pub processes: Vec<ProcessStatus>,
    /// Names of the zones that the document takes out of service.
    pub zones_out: Vec<String>,
    /// Number of zones in the document.
    pub zones: usize,
    /// Number of targets for each model version or service.
    pub targets: BTreeMap<String, usize>,
    /// Version moves that the document declares.
    pub moves: Vec<MoveStatus>,
}

/// Collects the state of the fleet at Unix time `now`: reads the configuration from the log, and a
/// dump from each of the admin addresses in `processes` with the operators' `token`.
pub async fn collect(
    platform: &Platform,
    processes: &[SocketAddr],
    token: &str,
    now: Duration,
) -> FleetStatus {
    let dumps = processes
        .iter()
        .map(|address| async move { (*address, remote::dump(*address, token).await) });
    let (tip, answers) = tokio::join!(operate::current_tip(platform), future::join_all(dumps));
    let mut status = FleetStatus::default();
    let tip = match tip {
        Ok(Some(tip)) => Some(tip),
        Ok(None) => {
            status
                .wrong
                .push("the log holds no configuration".to_owned());
            let action = "publish a document, or wait for a process to renew the configuration";
            status.needs_operator.push(action.to_owned());
            None
        }
        Err(error) => {
            status
                .wrong
                .push(format!("the log cannot be read: {error}"));
            None
        }
    };
    // The newest offset among the log and all processes counts as in force, so that the processes
    // are compared also when the log cannot be read.
    let answers: Vec<_> = answers;
    let newest = answers
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok());
    let newest = newest.filter_map(|dump| dump.configuration.offset).max();
    let expected = tip.as_ref().map(|tip| tip.offset).max(newest);
    let recently_published = tip.as_ref().is_some_and(|tip| {
        now.saturating_sub(Duration::from_millis(tip.published_ms)) < PROPAGATION_BOUND
    });
    let move_states = move_states(
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
            if recently_published && !line.in_force && line.offset.is_some() {
                status.moving.push(text);
            } else {
                status.wrong.push(text);
            }
        }
        status.processes.push(line);
    }
    if let Some(tip) = &tip {
        status.add_configuration(tip, &move_states, now);
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
    } else if state.log_read_age_ms.map(Duration::from_millis) > Some(MAX_LOG_READ_AGE) {
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

/// Selects one state of each move: one with a verdict if there is any, else the one with the most
/// compared requests.
fn move_states<'d>(dumps: impl Iterator<Item = &'d Dump>) -> BTreeMap<MoveName, MoveState> {
    let mut states: BTreeMap<MoveName, MoveState> = BTreeMap::new();
    for dump in dumps {
        let moves = dump.tasks.get("moves").cloned().unwrap_or_default();
        let moves: BTreeMap<MoveName, MoveState> =
            serde_json::from_value(moves).unwrap_or_default();
        for (name, state) in moves {
            let rank = |state: &MoveState| (state.verdict.is_some(), state.samples);
            let preferred = states
                .get(&name)
                .is_none_or(|known| rank(known) < rank(&state));
            if preferred {
                states.insert(name, state);
            }
        }
    }
    states
}

impl FleetStatus {
    fn add_configuration(
        &mut self,
        tip: &Tip,
        states: &BTreeMap<MoveName, MoveState>,
        now: Duration,
    ) {
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
            let workload = match &target.workload {
                Workload::Engine { model, version } => format!("{model} {version}"),
                Workload::Service(service) => format!("service {service}"),
            };
            *self.targets.entry(workload).or_default() += 1;
        }
        for zone in &self.zones_out {
            self.moving.push(format!("zone {zone} is out of service"));
        }
        for (name, version_move) in &document.moves {
            let overdue = version_move.due < now.as_secs();
            self.moves.push(MoveStatus {
                name: name.to_string(),
                model: version_move.model.to_string(),
                from: version_move.from.to_string(),
                to: version_move.to.to_string(),
                due: version_move.due,
                intent: version_move.intent,
                overdue,
                state: states.get(name).map(ToString::to_string),
            });
            self.moving.push(format!(
                "move {name}: {} from {} to {}, intent {}",
                version_move.model, version_move.from, version_move.to, version_move.intent
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

impl fmt::Display for FleetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_list(f, "wrong", &self.wrong)?;
        write_list(f, "moving", &self.moving)?;
        write_list(f, "needs you", &self.needs_operator)?;
        if let Some((environment, offset, author)) = &self.configuration {
            let line = format!("configuration: {environment} at offset {offset} by {author}");
            writeln!(f, "{}", truncate(&line))?;
        }
        let count = self.processes.len();
        writeln!(
            f,
            "processes: {} of {count} have it in force",
            self.in_force
        )?;
        let targets = self.targets.iter();
        let targets: Vec<_> = targets
            .map(|(workload, count)| format!("{count} {workload}"))
            .collect();
        writeln!(
            f,
            "{}",
            truncate(&format!("targets: {}", targets.join(", ")))
        )?;
        let out = match &*self.zones_out {
            [] => "none".to_owned(),
            out => out.join(", "),
        };
        writeln!(
            f,
            "{}",
            truncate(&format!("zones: {}, out: {out}", self.zones))
        )?;
        let moves: Vec<_> = self.moves.iter().map(ToString::to_string).collect();
        write_list(f, "moves", &moves)
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

fn write_list(f: &mut fmt::Formatter<'_>, title: &str, lines: &[String]) -> fmt::Result {
    if lines.is_empty() {
        return writeln!(f, "{title}: nothing");
    }
    writeln!(f, "{title}: {}", lines.len())?;
    for line in lines.iter().take(MAX_LIST_LINES) {
        writeln!(f, "{}", truncate(&format!("  {line}")))?;
    }
    if lines.len() > MAX_LIST_LINES {
        writeln!(f, "  and {} more; see --json", lines.len() - MAX_LIST_LINES)?;
    }
    Ok(())
}

fn truncate(line: &str) -> String {
    let mut text: String = line.chars().take(MAX_LINE_CHARS).collect();
    if line.chars().count() > MAX_LINE_CHARS {
        text.truncate(text.floor_char_boundary(MAX_LINE_CHARS - 3));
        text.push_str("...");
    }
    text
}
