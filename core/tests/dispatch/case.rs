//! Cases of the schedules: targets, load and network.

/// Time of the warm-up, after which callers are counted.
pub const COUNTED_FROM_MS: u64 = 1_500;
/// Share of the length after which new callers are not counted, since they may not end in time.
const COUNTED_TO_PERCENT: u64 = 50;

/// How reports travel between routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Network {
    Sound,
    /// Reports take 300 to 900 ms.
    Late,
    /// Half of the reports are lost.
    Lossy,
    /// Every second router hears the others but is heard by none.
    OneWay,
    /// No report arrives.
    Silent,
}

/// What targets state about their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Statement {
    None,
    True,
    /// The largest number for running and waiting requests.
    Huge,
    /// Nothing runs and many wait.
    Stuck,
}

/// Requests of one team.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    pub team: &'static str,
    pub class: u8,
    /// Multiple of the capacity of all targets that the team asks for.
    pub load: f64,
}

#[derive(Debug, Clone)]
pub struct Case {
    pub seed: u64,
    pub routers: usize,
    pub targets: usize,
    pub slots: u32,
    /// Range of the service time, in milliseconds.
    pub service_ms: [u64; 2],
    pub objective_ms: u64,
    pub deadline_ms: u64,
    /// Requests that a target queues before it refuses.
    pub target_queue: usize,
    pub statement: Statement,
    pub network: Network,
    pub streams: Vec<Stream>,
    pub length_ms: u64,
    /// When the first router ends with all its requests.
    pub killed_at_ms: Option<u64>,
    /// When each router learns of the others; `None` if it knows them from the start.
    pub known_from_ms: Option<u64>,
    /// A cut between routers, after which each hears only those of its group.
    pub cut: Option<Cut>,
}

/// A cut between routers. All of them still reach the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut {
    pub at_ms: u64,
    /// Number of groups of about equal size.
    pub groups: usize,
}

impl Case {
    /// Four plain services of 6 slots.
    pub fn plain(seed: u64, routers: usize, streams: Vec<Stream>) -> Self {
        Self {
            seed,
            routers,
            targets: 4,
            slots: 6,
            service_ms: [30, 60],
            objective_ms: 250,
            deadline_ms: 3_000,
            target_queue: 24,
            statement: Statement::None,
            network: Network::Sound,
            streams,
            length_ms: 6_500,
            killed_at_ms: None,
            known_from_ms: None,
            cut: None,
        }
    }

    /// Four engines of 64 slots.
    pub fn engines(seed: u64, routers: usize, streams: Vec<Stream>) -> Self {
        Self {
            targets: 4,
            slots: 64,
            service_ms: [400, 1_200],
            objective_ms: 1_500,
            deadline_ms: 6_000,
            target_queue: 192,
            length_ms: 10_000,
            statement: Statement::True,
            ..Self::plain(seed, routers, streams)
        }
    }

    /// Whether callers that arrive first at `ms` are counted.
    pub fn counts(&self, ms: u64) -> bool {
        (COUNTED_FROM_MS..self.length_ms * COUNTED_TO_PERCENT / 100).contains(&ms)
    }

    pub fn mean_service_s(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "small numbers of milliseconds")]
        let sum = (self.service_ms[0] + self.service_ms[1]) as f64;
        sum / 2_000.0
    }
}
