//! Probes that wait for an answer, a bounded number of them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{name::ProcessName, time::Time};

/// Probes that may wait at once; further ones are not followed up.
const MAX_PROBES: usize = 64;
/// Longest wait for a direct answer. Round trips between regions stay below 300 ms.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for an answer through other processes.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Whom a probe serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Goal {
    /// This process, which sent it itself.
    Direct(ProcessName),
    /// This process, which asked others to probe.
    Indirect(ProcessName),
    /// Another process that asked for it.
    Relay(SocketAddr, u32),
}

#[derive(Debug, Clone)]
struct Probe {
    goal: Goal,
    first: Time,
    sent: Time,
}

/// The probes that wait.
#[derive(Debug, Clone, Default)]
pub(crate) struct Probes {
    waiting: BTreeMap<u32, Probe>,
    next: u32,
}

impl Probes {
    /// Numbers a new probe.
    pub(crate) fn start(&mut self, goal: Goal, now: Time) -> u32 {
        self.next = self.next.wrapping_add(1);
        if self.waiting.len() < MAX_PROBES {
            let probe = Probe {
                goal,
                first: now,
                sent: now,
            };
            self.waiting.insert(self.next, probe);
        }
        self.next
    }

    /// Ends a probe that was answered.
    pub(crate) fn answered(&mut self, number: u32) -> Option<Goal> {
        self.waiting.remove(&number).map(|probe| probe.goal)
    }

    /// Whether a process is being probed.
    pub(crate) fn covers(&self, name: &ProcessName) -> bool {
        let goals = self.waiting.values().map(|probe| &probe.goal);
        goals.into_iter().any(
            |goal| matches!(goal, Goal::Direct(found) | Goal::Indirect(found) if found == name),
        )
    }

    /// Ends the probes whose time is over, with the time of their first transmission.
    pub(crate) fn overdue(&mut self, now: Time) -> Vec<(u32, Goal, Time)> {
        let due = self.waiting.iter().filter(|(_, probe)| {
            let timeout = match probe.goal {
                Goal::Direct(_) | Goal::Relay(..) => DIRECT_TIMEOUT,
                Goal::Indirect(_) => INDIRECT_TIMEOUT,
            };
            now.since(probe.sent) >= timeout
        });
        let due: Vec<_> = due
            .map(|(number, probe)| (*number, probe.goal.clone(), probe.first))
            .collect();
        for (number, ..) in &due {
            self.waiting.remove(number);
        }
        due
    }

    /// Waits for an answer through others, under the number of the direct probe.
    pub(crate) fn indirect(&mut self, number: u32, name: ProcessName, first: Time, now: Time) {
        let goal = Goal::Indirect(name);
        let sent = now;
        self.waiting.insert(number, Probe { goal, first, sent });
    }

    /// Forgets every probe.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
    }
}
