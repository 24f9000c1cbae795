//! What happens in a schedule, and which guard is taken out.

use std::time::Duration;

use ebonyfall_core::usage::{reporter::ReportTimes, window::WindowLength};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The routers as they are, or without one of their guards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    Correct,
    NoCheckBeforeCall,
    ClockStops,
    SendUnrecorded,
    /// Every other router believes in a longer lease than the candidates wait for.
    LongLeases,
    UnconditionalAppends,
    ForgetPrevious,
    ReleaseWhileCalling,
}

/// What happens in a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    Calm,
    Faults,
    Freezes,
    /// Routers lose the store, one at a time.
    Cuts,
    /// Holders are stopped one after another and come back at once. Windows are short, so that
    /// there are calls between the stops.
    Stops,
}

impl Plan {
    pub const fn window_ms(self) -> u64 {
        match self {
            Self::Stops => 300,
            Self::Calm | Self::Faults | Self::Freezes | Self::Cuts => 5_000,
        }
    }

    pub const fn lateness_ms(self) -> u64 {
        2 * self.window_ms()
    }

    /// Time from a restart until the membership is fresh.
    pub const fn join_ms(self) -> u64 {
        match self {
            Self::Stops => 100,
            Self::Calm | Self::Faults | Self::Freezes | Self::Cuts => 1_000,
        }
    }

    pub fn times(self) -> ReportTimes {
        ReportTimes {
            window: WindowLength::new(ms(self.window_ms())).expect("windows are long"),
            lateness: ms(self.lateness_ms()),
            call_interval: ms(20),
        }
    }
}
