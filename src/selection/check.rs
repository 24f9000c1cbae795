//! Connections that are opened to find out whether a target can be reached: after a request to it broke, and
//! while it is silent to a request.

use std::{collections::HashMap, io, time::Duration};

use ebonyfall_core::{name::TargetName, outcome::Probe, target::TargetRecord, time::Time};
use tokio::{sync::oneshot, time::timeout};

use super::{Command, Task, idle::TargetRun};
use crate::{
    supervisor::TaskName,
    upstream::{ReadBuffer, TargetConnection},
};

/// Longest wait for a connection by which it is checked whether a target can be reached. Shorter than the
/// time for which two targets may have a request.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a target that has accepted a connection is not checked again.
const CHECK_VALID: Duration = Duration::from_secs(1);

/// Why a connection to a target is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeCause {
    /// A request to the target broke.
    Broken,
    /// The target is silent to a request.
    Silent,
}

/// Result of a connection that was tried.
#[derive(Debug)]
pub(super) struct Probed {
    cause: ProbeCause,
    /// `None` if the router itself could not connect.
    probe: Option<Probe>,
    connection: Option<TargetConnection>,
}

/// Where the result of a check goes; `None` if the router itself could not connect.
pub(super) type CheckReply = oneshot::Sender<Option<Probe>>;

/// Checks whether targets accept connections, for requests whose target is silent.
#[derive(Debug, Default)]
pub(super) struct Checks(HashMap<(TargetName, TargetRun), Check>);

/// Checks of one run of a target.
#[derive(Debug, Default)]
struct Check {
    waiting: Vec<CheckReply>,
    accepted_at: Option<Time>,
}

impl Check {
    fn is_recent(&self, now: Time) -> bool {
        let accepted = self.accepted_at;
        accepted.is_some_and(|at| now.since(at) < CHECK_VALID)
    }
}

impl Checks {
    /// Answers from the last check, or keeps `reply` until the next one ends. Returns whether that has to
    /// be made now.
    fn is_due(&mut self, target: &TargetRecord, reply: CheckReply, now: Time) -> bool {
        self.0
            .retain(|_, check| !check.waiting.is_empty() || check.is_recent(now));
        let key = (target.name.clone(), TargetRun::of(target));
        let check = self.0.entry(key).or_default();
        if check.is_recent(now) {
            let _request_ended = reply.send(Some(Probe::Accepted));
            return false;
        }
        check.waiting.push(reply);
        check.waiting.len() == 1
    }

    /// Passes the result of a check on.
    fn answer(&mut self, target: &TargetRecord, probe: Option<Probe>, now: Time) {
        let key = (target.name.clone(), TargetRun::of(target));
        let Some(check) = self.0.get_mut(&key) else {
            return;
        };
        check.accepted_at = (probe == Some(Probe::Accepted)).then_some(now);
        for reply in check.waiting.drain(..) {
            let _request_ended = reply.send(probe);
        }
    }
}

/// What a connection that failed at once says about the target; nothing if the router itself is the cause,
/// for example because it has no descriptor left.
fn failed_probe(error: &io::Error) -> Option<Probe> {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => Some(Probe::Refused),
        io::ErrorKind::TimedOut
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable
        | io::ErrorKind::ConnectionReset => Some(Probe::Unknown),
        _ => None,
    }
}

impl Task {
    /// Checks whether a target accepts connections, unless it did so a short time ago.
    pub(super) fn check(&mut self, target: TargetRecord, reply: CheckReply) {
        if self.checks.is_due(&target, reply, self.clock.now()) {
            self.probe(target, ProbeCause::Silent);
        }
    }

    /// Opens a connection to a target, so that a crash is noticed before further requests are sent there, or
    /// to check it for silent requests. A connection that is established is kept for one of them.
    pub(super) fn probe(&self, target: TargetRecord, cause: ProbeCause) {
        let Some(queue) = self.probes.upgrade() else {
            return;
        };
        let now = self.clock.now();
        self.supervisor.spawn_job(TaskName::Selector, async move {
            let connect = TargetConnection::connect(target.address, ReadBuffer::Adaptive, now);
            let (probe, connection) = match timeout(CHECK_TIMEOUT, connect).await {
                Ok(Ok(connection)) => (Some(Probe::Accepted), Some(connection)),
                Ok(Err(error)) => (failed_probe(&error), None),
                Err(_late) => (Some(Probe::Unknown), None),
            };
            let probed = Probed {
                cause,
                probe,
                connection,
            };
            let command = Command::Probed(Box::new(target), probed);
            let _ended = queue.send(command).await;
        });
    }

    /// Records the result of a probe. One for a silent request says nothing about a crash: a target that
    /// leaves may accept no connections while it completes its requests.
    pub(super) fn record_probed(&mut self, target: &TargetRecord, probed: Probed) {
        let now = self.clock.now();
        match probed.cause {
            ProbeCause::Silent => self.checks.answer(target, probed.probe, now),
            ProbeCause::Broken => {
                let probe = probed.probe.unwrap_or(Probe::Unknown);
                self.selector.record_probe(target, probe, now);
            }
        }
        let run = TargetRun::of(target);
        self.keep_idle(&target.name, run, probed.connection);
    }
}
