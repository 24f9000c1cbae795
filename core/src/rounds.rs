//! State that a process keeps between gossip rounds.

use crate::{dissemination::ItemKey, name::ProcessName, time::Time};

/// Peers to which an urgent change is sent at once. With four each, one pass reaches 98 in 100
/// processes.
pub(crate) const URGENT_PEERS: u8 = 4;
/// Processes that are asked for an indirect probe, besides a second direct one. With 5 % of the
/// datagrams lost, two indirect probes and no second direct one led to thousands of false
/// suspicions among 1,000 processes within minutes.
pub(crate) const INDIRECT_PROBERS: usize = 3;

/// Timers, budgets and cursors of the gossip rounds.
#[derive(Debug, Clone, Default)]
pub(crate) struct RoundState {
    pub(crate) next_round: Time,
    pub(crate) last_tick: Option<(Time, u64)>,
    pub(crate) last_packet: Option<Time>,
    pub(crate) stale_since: Option<Time>,
    pub(crate) urgent_tokens: f64,
    pub(crate) probe_queue: Vec<ProcessName>,
    pub(crate) peers: Option<PeerCandidates>,
    pub(crate) member_cursor: usize,
    pub(crate) item_cursor: Option<ItemKey>,
}

/// Indexes of the entries that can be chosen as peers, by distance.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerCandidates {
    pub(crate) zone: Vec<usize>,
    pub(crate) region: Vec<usize>,
    pub(crate) other_regions: Vec<usize>,
    pub(crate) unreachable: Vec<usize>,
    pub(crate) is_relay: bool,
}

impl RoundState {
    pub(crate) fn invalidate_peers(&mut self) {
        self.peers = None;
    }

    pub(crate) fn queue_probe(&mut self, name: &ProcessName) {
        if self.probe_queue.len() < INDIRECT_PROBERS && !self.probe_queue.contains(name) {
            self.probe_queue.push(name.clone());
        }
    }

    /// Ensures that one urgent change can be sent at once to [`URGENT_PEERS`] peers, whatever was
    /// sent before.
    pub(crate) fn refill_urgent(&mut self) {
        self.urgent_tokens = self.urgent_tokens.max(f64::from(URGENT_PEERS));
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.stale_since.is_none()
    }
}
