//! Collects what the log lines of all processes say about one request.

use std::{fmt, io::BufRead};

use serde::Serialize;
use serde_json::{Map, Value};

/// Fields left out of [`LogEvent::facts`]: the request id, those that [`LogEvent`] has as fields of
/// its own, and those that say nothing about the decision.
const COMMON_FIELDS: [&str; 5] = ["msg", "level", "ts", "module", "request"];

/// Log line that names the request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LogEvent {
    /// Time at which the line was written, by the clock of the logging process.
    pub time: String,
    /// File that the line was read from.
    pub source: String,
    /// Message of the line.
    pub what: String,
    /// Remaining fields of the line: inputs and outcome of the decision that it records.
    pub facts: Map<String, Value>,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.time, self.source, self.what)?;
        for (name, value) in &self.facts {
            match value {
                Value::String(text) => write!(f, " {name}={text}")?,
                value => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// Returns the lines of `log` that name the request, in the order of the log. Lines without a JSON
/// object are skipped.
pub fn request_events(source: &str, log: impl BufRead, request: &str) -> Vec<LogEvent> {
    let lines = log.lines().map_while(Result::ok);
    lines
        .filter_map(|line| parse_event(source, &line, request))
        .collect()
}

fn parse_event(source: &str, line: &str, request: &str) -> Option<LogEvent> {
    // Log collectors may put a time and a process name before the JSON object.
    let object = &line[line.find('{')?..];
    let mut facts: Map<String, Value> = serde_json::from_str(object).ok()?;
    if facts.get("request")?.as_str()? != request {
        return None;
    }
    let text = |facts: &Map<String, Value>, name| {
        let value = facts.get(name).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let (time, what) = (text(&facts, "ts"), text(&facts, "msg"));
    for name in COMMON_FIELDS {
        facts.remove(name);
    }
    Some(LogEvent {
        time,
        source: source.to_owned(),
        what,
        facts,
    })
}
