//! Probes that await an answer.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{name::ProcessName, time::Time};

/// Limit of probes that await an answer. Timeouts of further ones are not tracked.
const MAX_PENDING_PROBES: usize = 64;
/// Timeout of a direct probe. Round trips between regions stay below 300 ms.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of an indirect probe, through other processes.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How a probe is sent, and for whom.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// Sent to the named process itself.
    Direct(ProcessName),
    /// Other processes were asked to probe the named one.
    Indirect(ProcessName),
    /// Sent for the process at this address, under its number of the probe.
    Delegated(SocketAddr, u32),
}

#[derive(Debug, Clone)]
struct Probe {
    kind: ProbeKind,
    first_sent: Time,
    sent: Time,
}

/// The probes that await an answer, by number.
#[derive(Debug, Clone, Default)]
pub(crate) struct Probes {
    pending: BTreeMap<u32, Probe>,
    next: u32,
}

impl Probes {
    /// Registers a new probe and returns its number.
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

    /// Removes a probe that was answered; `None` if it is unknown or timed out before.
    pub(crate) fn finish(&mut self, number: u32) -> Option<ProbeKind> {
        self.pending.remove(&number).map(|probe| probe.kind)
    }

    /// Whether a probe of this process awaits an answer.
    pub(crate) fn is_probing(&self, name: &ProcessName) -> bool {
        let kinds = self.pending.values().map(|probe| &probe.kind);
        kinds.into_iter().any(|kind| {
            matches!(
                kind,
                ProbeKind::Direct(found) | ProbeKind::Indirect(found) if found == name
            )
        })
    }

    /// Removes and returns the probes that timed out, with the time of their first transmission.
    pub(crate) fn take_timed_out(&mut self, now: Time) -> Vec<(u32, ProbeKind, Time)> {
        let timed_out = self.pending.iter().filter(|(_, probe)| {
            let timeout = match probe.kind {
                ProbeKind::Direct(_) | ProbeKind::Delegated(..) => DIRECT_TIMEOUT,
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

    /// Registers an indirect probe under the number of the direct probe that timed out.
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

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }
}
