//! The task that owns idle connections to agents.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval},
};

use crate::link::Link;

/// Idle connections kept for each agent.
const MAX_IDLE_PER_AGENT: usize = 64;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Messages that may wait for the task.
const QUEUE_LEN: usize = 1024;

/// A message to the task.
#[derive(Debug)]
enum Command {
    Take {
        agent: SocketAddr,
        reply: oneshot::Sender<Option<Link>>,
    },
    Return {
        agent: SocketAddr,
        link: Box<Link>,
    },
}

/// Lends idle connections.
#[derive(Debug, Clone)]
pub struct LinkPool(mpsc::Sender<Command>);

impl LinkPool {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start() -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        tokio::spawn(run(rx));
        Self(tx)
    }

    /// An idle connection to `agent`, if there is one.
    pub async fn take(&self, agent: SocketAddr) -> Option<Link> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Command::Take { agent, reply }).await.ok()?;
        answer.await.ok()?
    }

    /// Gives a connection back after a whole answer.
    pub async fn put(&self, agent: SocketAddr, link: Link) {
        // Without the task the process is ending, and the connection may close.
        let _ended = self
            .0
            .send(Command::Return {
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
                Some(Command::Return { agent, link }) => {
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
