//! Structured logging as JSON lines, or as text for a terminal.

use std::{collections::BTreeMap, fmt, io, str::FromStr};

use slog::{Drain, FnValue, Level, Logger, Record, o};
use slog_async::OverflowStrategy;

/// Maximum number of log records that wait to be written. Further ones are dropped, and the number
/// of dropped records is logged.
const MAX_QUEUED_RECORDS: usize = 4096;

/// Text of several values in one field of a log line, separated by commas.
pub fn list(values: &[impl fmt::Display]) -> String {
    let values: Vec<_> = values.iter().map(ToString::to_string).collect();
    values.join(",")
}

/// Output format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line, on standard output.
    Json,
    /// Human-readable text, on standard error.
    Terminal,
}

impl FromStr for Format {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "json" => Ok(Self::Json),
            "terminal" => Ok(Self::Terminal),
            _ => Err(()),
        }
    }
}

/// Lowest level that is logged, by default and for single modules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Levels {
    /// Lowest level for modules that are not listed in `modules`.
    pub default: Level,
    /// Lowest level by module name, such as `relay`: the last part of the module's path.
    pub modules: BTreeMap<String, Level>,
}

impl FromStr for Levels {
    type Err = ();

    /// Parses text such as `info, relay=debug`; the default level is `info` if none is given.
    fn from_str(text: &str) -> Result<Self, ()> {
        let mut levels = Self {
            default: Level::Info,
            modules: BTreeMap::new(),
        };
        for item in text.split(',').map(str::trim) {
            match item.split_once('=') {
                None => levels.default = item.parse()?,
                Some((module, level)) => {
                    levels
                        .modules
                        .insert(module.trim().to_owned(), level.trim().parse()?);
                }
            }
        }
        Ok(levels)
    }
}

impl Levels {
    fn allows(&self, record: &Record<'_>) -> bool {
        let module = record.module().rsplit("::").next().unwrap_or_default();
        let level = self.modules.get(module).copied().unwrap_or(self.default);
        record.level().is_at_least(level)
    }
}

/// Creates the root logger, which writes on a thread of its own.
pub fn logger(format: Format, levels: Levels) -> Logger {
    let filter = move |record: &Record<'_>| levels.allows(record);
    let module = FnValue(|record: &Record<'_>| record.module());
    match format {
        Format::Json => {
            let drain = slog_json::Json::default(io::stdout()).filter(filter).fuse();
            let drain = slog_async::Async::new(drain)
                .chan_size(MAX_QUEUED_RECORDS)
                .overflow_strategy(OverflowStrategy::DropAndReport)
                .build();
            Logger::root(drain.fuse(), o!("module" => module))
        }
        Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator)
                .build()
                .filter(filter)
                .fuse();
            let drain = slog_async::Async::new(drain)
                .chan_size(MAX_QUEUED_RECORDS)
                .overflow_strategy(OverflowStrategy::DropAndReport)
                .build();
            Logger::root(drain.fuse(), o!())
        }
    }
}
