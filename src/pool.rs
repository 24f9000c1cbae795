//! The router's pool of idle connections to agents, which a task owns.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval},
};

use crate::{
    ask::ask,
    link::Link,
    supervisor::{Supervisor, TaskName},
};

/// Idle connections kept per agent; further ones are closed.
const MAX_IDLE_PER_AGENT: usize = 64;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Capacity of the task's command channel.
const QUEUE_LEN: usize = 1024;

#[derive(Debug)]
enum Command {
    Take {
        agent: SocketAddr,
        reply: oneshot::Sender<Option<Link>>,
    },
    Put {
        agent: SocketAddr,
        link: Box<Link>,
    },
}

/// Handle of the task that owns the idle connections.
#[derive(Debug, Clone)]
pub struct LinkPool(mpsc::Sender<Command>);

impl LinkPool {
    /// Starts the pool's task, which ends when the last handle is dropped.
    pub fn start(supervisor: &Supervisor) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        supervisor.spawn(TaskName::Links, run(rx));
        Self(tx)
    }

    /// Takes an open idle connection to `agent` from the pool; `None` if there is none.
    pub async fn take(&self, agent: SocketAddr) -> Option<Link> {
        ask(&self.0, |reply| Command::Take { agent, reply })
            .await
            .flatten()
    }

    /// Returns a connection to the pool; its last answer must have been received completely.
    pub async fn put(&self, agent: SocketAddr, link: Link) {
        // The task ends only with the process, so a connection that is lost here does not matter.
        let _ended = self
            .0
            .send(Command::Put {
                agent,
                link: Box::new(link),
            })
            .await;
    }
}

async fn run(mut rx: mpsc::Receiver<Command>) {
    let mut idle: HashMap<SocketAddr, Vec<(Instant, Link)>> = HashMap::new();
    let mut sweep = interval(IDLE_TIMEOUT / 4);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            command = rx.recv() => match command {
                None => return,
                Some(Command::Take { agent, reply }) => {
                    let links = idle.get_mut(&agent);
                    let link = links.and_then(|links| {
                        std::iter::from_fn(|| links.pop()).map(|(_, link)| link).find(Link::is_idle)
                    });
                    let _caller_gone = reply.send(link);
                }
                Some(Command::Put { agent, link }) => {
                    let links = idle.entry(agent).or_default();
                    if links.len() < MAX_IDLE_PER_AGENT {
                        links.push((Instant::now(), *link));
                    }
                }
            },
            _ = sweep.tick() => {
                let keep = |since: &Instant| since.elapsed() < IDLE_TIMEOUT;
                for links in idle.values_mut() {
                    links.retain(|(since, _)| keep(since));
                }
                idle.retain(|_, links| !links.is_empty());
            }
        }
    }
}
