//! A request's life, put together from the log lines of all processes.

use std::{fmt, io::BufRead};

use serde::Serialize;
use serde_json::{Map, Value};

/// Fields that every line has and that say nothing about the decision.
const FRAME: [&str; 5] = ["msg", "level", "ts", "module", "request"];

/// One decision on the request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LogEvent {
    /// When the line was written, as the process's clock had it.
    pub time: String,
    /// The file that it came from.
    pub source: String,
    /// What happened.
    pub what: String,
    /// The inputs and the outcome.
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

/// The lines of `log` that name the request; lines that are no JSON objects are passed over.
pub fn request_events(source: &str, log: impl BufRead, request: &str) -> Vec<LogEvent> {
    let lines = log.lines().map_while(Result::ok);
    lines
        .filter_map(|line| parse_event(source, &line, request))
        .collect()
}

fn parse_event(source: &str, line: &str, request: &str) -> Option<LogEvent> {
    // Platforms put a time and a process's name before the object.
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
    for name in FRAME {
        facts.remove(name);
    }
    Some(LogEvent {
        time,
        source: source.to_owned(),
        what,
        facts,
    })
}
