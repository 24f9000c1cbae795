//! State of the usage reports for operators.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    net::IpAddr,
    time::{Duration, UNIX_EPOCH},
};

use ebonyfall_core::name::{ProcessName, TeamName};
use serde::{Deserialize, Serialize};

/// State of the usage reports, as one router knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageDump {
    /// Last known holder of the lease; `None` until the router has read the stream.
    pub holder: Option<HolderDump>,
    /// Whether this router holds the lease.
    pub holding: bool,
    /// Time for which this router may still act under the lease, unless it renews it.
    pub held_for_ms: Option<u64>,
    /// Place of this router among the live ones; `None` while the membership is not fresh.
    pub rank: Option<usize>,
    /// Windows that have ended and are neither recorded nor given up.
    pub open: u64,
    /// Recorded windows that the platform has not acknowledged.
    pub unsent: usize,
    /// Windows that this process has decided.
    pub decided: u64,
    /// Reports of this process that were acknowledged.
    pub sent: u64,
    /// Reports that were acknowledged after they were due.
    pub late: u64,
    /// Windows that this process has given up.
    pub given_up: u64,
    /// The last recorded windows, oldest first.
    pub windows: Vec<WindowDump>,
}

/// Last known claim, renewal or release of the lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderDump {
    /// Name of the router.
    pub name: ProcessName,
    /// Address of its machine.
    pub address: IpAddr,
    /// Fencing token.
    pub token: u64,
    /// Whether it has released the lease.
    pub released: bool,
}

/// Recorded report of one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowDump {
    /// Number of the window.
    pub window: u64,
    /// End of the window, in milliseconds since the Unix epoch.
    pub end_unix_ms: u64,
    /// Token of the holder that recorded the report.
    pub token: u64,
    /// Whether the platform has acknowledged it, as far as this router knows.
    pub acknowledged: bool,
    /// Number of requests of each team.
    pub counts: BTreeMap<TeamName, u64>,
}

impl Display for UsageDump {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match &self.holder {
            None => writeln!(f, "holder: not known to this router")?,
            Some(holder) => {
                let HolderDump { name, address, .. } = holder;
                let state = if holder.released { ", released" } else { "" };
                writeln!(
                    f,
                    "holder: {name} ({address}), token {}{state}",
                    holder.token
                )?;
            }
        }
        let rank = self
            .rank
            .map_or("unknown".to_owned(), |rank| rank.to_string());
        match self.held_for_ms {
            Some(left) => writeln!(f, "this router: holds the lease for {left} ms, rank {rank}")?,
            None => writeln!(f, "this router: does not hold the lease, rank {rank}")?,
        }
        writeln!(
            f,
            "windows: {} open, {} unsent; by this process: {} decided, {} sent, {} late, {} given up",
            self.open, self.unsent, self.decided, self.sent, self.late, self.given_up
        )?;
        for window in &self.windows {
            let end = UNIX_EPOCH + Duration::from_millis(window.end_unix_ms);
            let end = humantime::format_rfc3339_seconds(end);
            let state = if window.acknowledged {
                "sent"
            } else {
                "unsent"
            };
            write!(
                f,
                "{} until {end}, token {}, {state}:",
                window.window, window.token
            )?;
            for (team, count) in &window.counts {
                write!(f, " {team}={count}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
