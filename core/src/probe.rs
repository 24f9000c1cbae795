//! Probes that wait for an answer, a bounded number of them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{name::ProcessName, time::Time};

/// Probes that may wait at once; further ones are not followed up.
const MAX_PENDING_PROBES: usize = 64;
/// Longest wait for a direct answer. Round trips between regions stay below 300 ms.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for an answer through other processes.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Whom a probe serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// This process, which sent it itself.
    Direct(ProcessName),
    /// This process, which asked others to probe.
    Indirect(ProcessName),
    /// Another process that asked for it.
    Relay(SocketAddr, u32),
}

#[derive(Debug, Clone)]
struct Probe {
    kind: ProbeKind,
    first_sent: Time,
    sent: Time,
}

/// The probes that wait.
#[derive(Debug, Clone, Default)]
pub(crate) struct Probes {
    pending: BTreeMap<u32, Probe>,
    next: u32,
}

impl Probes {
    /// Numbers a new probe.
    pub(crate) fn start(&mut self, kind: ProbeKind, now: Time) -> u32 {
        self.next = self.next.wrapping_add(1);
        if self.pending.len() < MAX_PENDING_PROBES {
            let probe = Probe {
                kind,
                first_sent: now,
                sent: now,
            };
            self.pending.insert(self.next, probe);
        }
        self.next
    }

    /// Ends a probe that was answered.
    pub(crate) fn finish(&mut self, number: u32) -> Option<ProbeKind> {
        self.pending.remove(&number).map(|probe| probe.kind)
    }

    /// Whether a process is being probed.
    pub(crate) fn is_probing(&self, name: &ProcessName) -> bool {
        let kinds = self.pending.values().map(|probe| &probe.kind);
        kinds.into_iter().any(|kind| {
            matches!(
                kind,
                ProbeKind::Direct(found) | ProbeKind::Indirect(found) if found == name
            )
        })
    }

    /// Ends the probes whose time is over, with the time of their first transmission.
    pub(crate) fn take_timed_out(&mut self, now: Time) -> Vec<(u32, ProbeKind, Time)> {
        let timed_out = self.pending.iter().filter(|(_, probe)| {
            let timeout = match probe.kind {
                ProbeKind::Direct(_) | ProbeKind::Relay(..) => DIRECT_TIMEOUT,
                ProbeKind::Indirect(_) => INDIRECT_TIMEOUT,
            };
            now.since(probe.sent) >= timeout
        });
        let timed_out: Vec<_> = timed_out
            .map(|(number, probe)| (*number, probe.kind.clone(), probe.first_sent))
            .collect();
        for (number, ..) in &timed_out {
            self.pending.remove(number);
        }
        timed_out
    }

    /// Waits for an answer through others, under the number of the direct probe.
    pub(crate) fn start_indirect(
        &mut self,
        number: u32,
        name: ProcessName,
        first_sent: Time,
        now: Time,
    ) {
        let kind = ProbeKind::Indirect(name);
        let sent = now;
        self.pending.insert(
            number,
            Probe {
                kind,
                first_sent,
                sent,
            },
        );
    }

    /// Forgets every probe.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }
}
