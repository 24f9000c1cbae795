//! Structured logs: JSON lines, or text for a terminal.

use std::{collections::BTreeMap, io, str::FromStr};

use slog::{Drain, FnValue, Level, Logger, Record, o};
use slog_async::OverflowStrategy;

/// Log records that may wait for the writer before further ones are dropped and counted.
const QUEUE_LEN: usize = 4096;

/// Shape of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for people.
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

/// The lowest level that is logged, for all modules and for single ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Levels {
    /// Level of modules that are not listed.
    pub default: Level,
    /// Levels by module name, such as `relay`.
    pub modules: BTreeMap<String, Level>,
}

impl FromStr for Levels {
    type Err = ();

    /// Parses text such as `info, relay=debug`.
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
    fn allow(&self, record: &Record<'_>) -> bool {
        let module = record.module().rsplit("::").next().unwrap_or_default();
        let level = self.modules.get(module).copied().unwrap_or(self.default);
        record.level().is_at_least(level)
    }
}

/// Makes the root logger. JSON lines go to standard output, text for people to standard error.
pub fn logger(format: Format, levels: Levels) -> Logger {
    let filter = move |record: &Record<'_>| levels.allow(record);
    let module = FnValue(|record: &Record<'_>| record.module());
    match format {
        Format::Json => {
            let drain = slog_json::Json::default(io::stdout()).filter(filter).fuse();
            let drain = slog_async::Async::new(drain)
                .chan_size(QUEUE_LEN)
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
                .chan_size(QUEUE_LEN)
                .overflow_strategy(OverflowStrategy::DropAndReport)
                .build();
            Logger::root(drain.fuse(), o!())
        }
    }
}
