//! The entry router's task that owns the requests which wait for capacity.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use ebonyfall_core::{
    dispatch::{
        DispatchRequest, Dispatcher, Figures, QueueLimits, ServiceDispatch, Verdict,
        room::ServiceRoom,
    },
    name::ServiceName,
    time::Time,
};
use tokio::{
    sync::{
        mpsc::{self, OwnedPermit},
        oneshot, watch,
    },
    time,
};

use crate::{
    ask::ask,
    clock::BootClock,
    supervisor::{Supervisor, TaskName},
};

/// Maximum number of commands in the task's queue, including those reserved for the end of each
/// request.
const QUEUE_LEN: usize = 8_192;

type Reply = oneshot::Sender<(Verdict, Figures)>;

#[derive(Debug)]
enum Command {
    Offer(u64, Box<DispatchRequest>, Reply),
    Release(u64),
    Demand(oneshot::Sender<Vec<(ServiceName, u32)>>),
    Inspect(oneshot::Sender<Vec<ServiceDispatch>>),
}

/// Place of a request, or its place in the queue. Dropping it gives the place back, also when the
/// caller leaves or the handler panics.
#[derive(Debug)]
pub struct Place {
    id: u64,
    permit: Option<OwnedPermit<Command>>,
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.send(Command::Release(self.id));
        }
    }
}

/// Handle of the task that owns the waiting requests; cloning shares it.
#[derive(Debug, Clone)]
pub struct DispatchHandle {
    tx: mpsc::Sender<Command>,
    next_id: Arc<AtomicU64>,
}

impl DispatchHandle {
    /// Starts the task, which ends when the last handle and place are dropped. `rooms` are the
    /// capacities of the services; those that are not listed are not limited.
    pub fn start(
        rooms: watch::Receiver<Vec<ServiceRoom>>,
        limits: QueueLimits,
        clock: BootClock,
        supervisor: &Supervisor,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let task = Task {
            dispatcher: Dispatcher::new(limits),
            clock,
        };
        supervisor.spawn(TaskName::Dispatch, task.run(rx, rooms));
        Self {
            tx,
            next_id: Arc::default(),
        }
    }

    /// Waits until the request may be sent to a target or is refused. The place is held until it is
    /// dropped. If the task has ended, the request is admitted.
    pub async fn admit(&self, request: DispatchRequest) -> (Place, Verdict, Figures) {
        let mut place = Place {
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            permit: self.tx.clone().reserve_owned().await.ok(),
        };
        let id = place.id;
        let offer = |reply| Command::Offer(id, Box::new(request), reply);
        let decided = ask(&self.tx, offer).await;
        if decided.is_none() {
            place.permit = None;
        }
        let (verdict, figures) = decided.unwrap_or((Verdict::Admitted, Figures::default()));
        (place, verdict, figures)
    }

    /// Returns the open and waiting requests by service, for the report to other routers.
    pub async fn demand(&self) -> Vec<(ServiceName, u32)> {
        ask(&self.tx, Command::Demand).await.unwrap_or_default()
    }

    /// Returns a description of the state for the dump and the metrics.
    pub async fn inspect(&self) -> Vec<ServiceDispatch> {
        ask(&self.tx, Command::Inspect).await.unwrap_or_default()
    }
}

struct Task {
    dispatcher: Dispatcher<Reply>,
    clock: BootClock,
}

impl Task {
    async fn run(
        mut self,
        mut rx: mpsc::Receiver<Command>,
        mut rooms: watch::Receiver<Vec<ServiceRoom>>,
    ) {
        loop {
            let expiry = self.dispatcher.next_expiry();
            let wait = expiry.map(|expiry| expiry.since(self.clock.now()));
            tokio::select! {
                command = rx.recv() => match command {
                    Some(command) => self.apply(command),
                    None => return,
                },
                Ok(()) = rooms.changed() => {
                    let rooms = rooms.borrow_and_update().clone();
                    self.dispatcher.set_rooms(rooms, rand::random(), self.clock.now());
                }
                () = time::sleep(wait.unwrap_or(Duration::MAX)), if wait.is_some() => {}
            }
            let now = self.clock.now();
            if self.is_due(now) {
                self.dispatcher.expire(rand::random(), now);
            }
            for decided in self.dispatcher.take_decided() {
                // If the caller has left, its place is dropped, which releases it.
                let _caller_gone = decided.handle.send((decided.verdict, decided.figures));
            }
        }
    }

    fn is_due(&self, now: Time) -> bool {
        let expiry = self.dispatcher.next_expiry();
        expiry.is_some_and(|expiry| expiry <= now)
    }

    fn apply(&mut self, command: Command) {
        let (random, now) = (rand::random(), self.clock.now());
        match command {
            Command::Offer(id, request, reply) => {
                self.dispatcher.offer(id, *request, reply, random, now);
            }
            Command::Release(id) => self.dispatcher.release(id, random, now),
            Command::Demand(reply) => {
                let _caller_gone = reply.send(self.dispatcher.demand());
            }
            Command::Inspect(reply) => {
                let _caller_gone = reply.send(self.dispatcher.inspect(now));
            }
        }
    }
}
