//! Notices when a task that owns state ends.
//!
//! The other tasks of the process have only handles of such a task: without it they would refuse
//! requests, or serve on what they last heard, for good. The process therefore stops as after SIGTERM:
//! it is no longer ready, open requests get their answers, and whoever started it starts it again.

use derive_more::Display;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family},
};
use slog::{Logger, error, info};
use tokio::{
    sync::watch,
    task::{AbortHandle, JoinError},
};

/// A task without which a process cannot do its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EncodeLabelValue)]
pub enum TaskName {
    /// Serves the interface for operators.
    Admin,
    /// Admits attempts to a target.
    Admission,
    /// Claims at-most-once requests in the log.
    Claims,
    /// Follows the configuration in the log.
    Configuration,
    /// Fetches the configuration from other processes.
    ConfigurationFetch,
    /// Serves the configuration to other processes.
    ConfigurationReads,
    /// Owns the waiting requests.
    Dispatch,
    /// Exchanges membership and other facts with other processes.
    Gossip,
    /// Keeps each claim from running twice.
    Guard,
    /// Announces that the process leaves.
    Leave,
    /// Owns idle connections to agents.
    Links,
    /// Loads the models that the configuration asks for.
    ModelOrders,
    /// Serves metrics and the dump.
    Monitoring,
    /// Records the progress of version moves.
    MoveReports,
    /// Watches the age of the orders.
    OrderAge,
    /// Follows the operators' orders.
    Orders,
    /// Serves reads of other routers.
    PeerReads,
    /// Takes part in the exchange between routers.
    Peering,
    /// Chooses targets by the configuration.
    Picker,
    /// Owns pointers to moved chats.
    Pointers,
    /// Passes quarantined requests between routers.
    Quarantine,
    /// Answers the load balancer's checks.
    Readiness,
    /// Owns the retry budget.
    Retrier,
    /// Adds this router's part to the retry budget.
    RetryReserve,
    /// Keeps this router's record in the store.
    Roster,
    /// Decides on version moves.
    Rollouts,
    /// Chooses among registered targets.
    Selector,
    /// Watches the settings file.
    Settings,
    /// Polls the target's engine.
    Status,
    /// Follows the phases of a stop.
    StopPhases,
    /// Follows the targets' entries.
    Targets,
    /// Counts requests for usage reports.
    UsageCounts,
    /// Exchanges counts of requests with another router.
    UsageCollector,
    /// Takes part in the reporting lease.
    UsageDuty,
    /// Sends usage reports.
    UsageSender,
    /// Polls the platform's list of VMs.
    Vms,
}

/// Labels of the counter of ended tasks.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TaskLabels {
    /// The task that ended.
    pub task: TaskName,
}

/// Counter of the tasks that ended although the process needs them.
pub type EndedTasks = Family<TaskLabels, Counter>;

/// How a task may end while the process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lifetime {
    /// Not at all.
    Process,
    /// When its work is done.
    Work,
}

/// Starts tasks and watches for their end. Clones share what they know.
#[derive(Debug, Clone)]
pub struct Supervisor {
    ended: watch::Sender<Option<TaskName>>,
    stop: watch::Sender<bool>,
    running: watch::Sender<Vec<(TaskName, AbortHandle)>>,
    counts: EndedTasks,
    log: Logger,
}

impl Supervisor {
    /// Creates the supervisor of a process that stops when `signal` becomes true, or its sender is
    /// dropped.
    pub fn new(mut signal: watch::Receiver<bool>, counts: EndedTasks, log: Logger) -> Self {
        let stop = watch::Sender::new(false);
        let stopped = stop.clone();
        tokio::spawn(async move {
            // A closed channel means that the process is ending, as the signal does.
            let _closed = signal.wait_for(|stop| *stop).await.is_err();
            stopped.send_replace(true);
        });
        Self {
            ended: watch::Sender::new(None),
            stop,
            running: watch::Sender::new(Vec::new()),
            counts,
            log,
        }
    }

    /// Returns a receiver that becomes true when the process has to stop, on a signal or since a task
    /// has ended.
    pub fn stop(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }

    /// The task whose end stopped the process; `None` if none did.
    pub fn ended(&self) -> Option<TaskName> {
        *self.ended.borrow()
    }

    /// Starts a task that runs as long as the process.
    pub fn spawn(&self, name: TaskName, task: impl Future<Output = ()> + Send + 'static) {
        let handle = self.start(name, Lifetime::Process, task);
        self.running
            .send_modify(|running| running.push((name, handle)));
    }

    /// Starts a task that may end when its work is done, on which the task `name` waits.
    pub fn spawn_job(&self, name: TaskName, task: impl Future<Output = ()> + Send + 'static) {
        self.start(name, Lifetime::Work, task);
    }

    /// Names of the tasks that were started to run as long as the process.
    pub fn running(&self) -> Vec<TaskName> {
        let running = self.running.borrow();
        running.iter().map(|(name, _)| *name).collect()
    }

    /// Ends a running task from outside, as a panic would end it, to test what follows.
    pub fn abort(&self, name: TaskName) {
        let running = self.running.borrow();
        let handles = running.iter().filter(|(running, _)| *running == name);
        handles.for_each(|(_, handle)| handle.abort());
    }

    fn start(
        &self,
        name: TaskName,
        lifetime: Lifetime,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> AbortHandle {
        let handle = tokio::spawn(task);
        let abort = handle.abort_handle();
        let supervisor = self.clone();
        tokio::spawn(async move {
            match handle.await {
                Ok(()) if lifetime == Lifetime::Work || *supervisor.stop.borrow() => {}
                Ok(()) => supervisor.record_end(name, None),
                Err(error) => supervisor.record_end(name, Some(error)),
            }
        });
        abort
    }

    /// Counts and logs the end of a task, and stops the process.
    fn record_end(&self, task: TaskName, error: Option<JoinError>) {
        self.counts.get_or_create(&TaskLabels { task }).inc();
        let cause = error.map_or("it returned".to_owned(), |error| error.to_string());
        let is_stopping = self.stop.send_replace(true);
        if is_stopping {
            info!(self.log, "a task ended while the process stops"; "event" => "task_ended",
                "task" => %task, "cause" => cause);
            return;
        }
        self.ended.send_replace(Some(task));
        error!(self.log, "a task that the process needs has ended; stopping";
            "event" => "task_ended", "task" => %task, "cause" => cause);
    }
}
