//! Fetches the configuration from peers, and serves it to them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ebonyfall_core::{
    dissemination::{ItemKey, Value},
    id::Offset,
};
use ebonyfall_wire::{
    control::{FromPeer, ToPeer},
    frame::ToAgent,
};
use rand::seq::SliceRandom;
use slog::{Logger, debug, info};
use tokio::{
    net::TcpListener,
    sync::Semaphore,
    time::{sleep, timeout},
};

use crate::{
    gossip::Gossip,
    link::{Identity, Link, LinkError},
    supervisor::{Supervisor, TaskName},
    view::Config,
    web,
};

const MAX_PEER_CONNECTIONS: usize = 8;
const MAX_CONCURRENT_ANSWERS: usize = 2;
/// Time for which an answer holds its permit, which limits answers to 8 a second.
const ANSWER_PERMIT_HOLD: Duration = Duration::from_millis(250);
/// Maximum wait for the next message on a peer's connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Peers that are queried at once, so that the result does not depend on a single peer, which may
/// be outdated or wrong.
const PEERS_PER_FETCH: usize = 3;
/// Interval at which the offset in force is compared with the newest one in gossip.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Checks in a row that must find the process behind before it queries peers; meanwhile the log may
/// deliver the configuration.
const CHECKS_BEFORE_FETCH: u32 = 2;

/// Serves the configuration in force to peers.
#[derive(Debug, Clone)]
pub struct ControlServer {
    config: Config,
    answers: Arc<Semaphore>,
}

impl ControlServer {
    /// Creates a server of the configuration that `config` has in force.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            answers: Arc::new(Semaphore::new(MAX_CONCURRENT_ANSWERS)),
        }
    }

    /// Answers one request with the records after the peer's offset, or else with a snapshot.
    /// Answers `Nothing` if the peer is up to date, and `Busy` above the rate limit.
    pub async fn answer(&self, req: &ToPeer) -> FromPeer {
        let ToPeer::ConfigAfter(known) = *req;
        let tip = self.config.tip().map(|(offset, _)| offset);
        if tip.is_none() || known >= tip {
            return FromPeer::Nothing;
        }
        let Ok(permit) = Arc::clone(&self.answers).try_acquire_owned() else {
            return FromPeer::Busy;
        };
        tokio::spawn(async move {
            sleep(ANSWER_PERMIT_HOLD).await;
            drop(permit);
        });
        if let Some(known) = known
            && let Some(records) = self.config.records_after(known).await
            && !records.is_empty()
        {
            return FromPeer::Records(records);
        }
        let snapshot = self.config.snapshot().await;
        snapshot.map_or(FromPeer::Nothing, |snapshot| {
            FromPeer::Snapshot(Box::new(snapshot))
        })
    }

    /// Serves peers' connections on `listener` until the process ends.
    pub fn serve(
        self,
        listener: TcpListener,
        identity: Identity,
        supervisor: &Supervisor,
        log: Logger,
    ) {
        let connections = Arc::new(Semaphore::new(MAX_PEER_CONNECTIONS));
        supervisor.spawn(TaskName::ConfigurationReads, async move {
            loop {
                let (stream, _) = web::accept(&listener, &log).await;
                let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
                    continue;
                };
                let (control, identity, log) = (self.clone(), identity.clone(), log.clone());
                tokio::spawn(async move {
                    let served = async {
                        let mut link = Link::accept(&identity, stream).await?;
                        while let Ok(req) = timeout(IDLE_TIMEOUT, link.receive()).await {
                            let ToAgent::Control(req) = req? else {
                                return Ok(());
                            };
                            link.send(&control.answer(&req).await).await?;
                        }
                        Ok::<_, LinkError>(())
                    };
                    if let Err(error) = served.await {
                        debug!(log, "connection from a peer failed; closed"; "error" => %error);
                    }
                    drop(permit);
                });
            }
        });
    }
}

/// Starts the task that fetches the configuration from peers when gossip announces a newer one
/// than the log has delivered.
pub fn fetch_newer(
    identity: Identity,
    gossip: Gossip,
    config: Config,
    supervisor: &Supervisor,
    log: Logger,
) {
    let mut stop = supervisor.stop();
    supervisor.spawn(TaskName::ConfigurationFetch, async move {
        let mut behind_checks = 0;
        loop {
            tokio::select! {
                () = sleep(CHECK_INTERVAL) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
            let known = config.tip().map(|(offset, _)| offset);
            let tip = match gossip.get(ItemKey::Tip).await {
                Some(Value::Tip { offset, .. }) => Some(offset),
                _ => None,
            };
            if known.is_some() && known >= tip {
                behind_checks = 0;
                continue;
            }
            behind_checks += 1;
            if behind_checks < CHECKS_BEFORE_FETCH {
                continue;
            }
            let mut peers = gossip.peer_addresses().await;
            peers.shuffle(&mut rand::rng());
            peers.truncate(PEERS_PER_FETCH);
            let fetches = peers.into_iter().map(|peer| fetch(&identity, peer, known));
            for answer in futures_util::future::join_all(fetches).await {
                match answer {
                    Ok(answer) => offer(&config, answer, &log).await,
                    Err(error) => {
                        debug!(log, "cannot fetch the configuration from a peer; retrying later";
                            "error" => %error);
                    }
                }
            }
            behind_checks = 0;
        }
    });
}

/// Passes a peer's answer to the configuration task, which verifies it and accepts only newer
/// records.
async fn offer(config: &Config, answer: FromPeer, log: &Logger) {
    let result = match answer {
        FromPeer::Nothing | FromPeer::Busy => return,
        FromPeer::Records(records) => config.offer_records(records).await.map(drop),
        FromPeer::Snapshot(snapshot) => config.offer_snapshot(*snapshot).await,
    };
    match result {
        Ok(()) => info!(log, "configuration fetched from a peer"),
        Err(error) => debug!(log, "configuration from a peer rejected; keeping the current one";
            "why" => ?error),
    }
}

async fn fetch(
    identity: &Identity,
    peer: SocketAddr,
    known: Option<Offset>,
) -> Result<FromPeer, LinkError> {
    let mut link = Link::dial(identity, peer).await?;
    link.send(&ToAgent::Control(ToPeer::ConfigAfter(known)))
        .await?;
    let Ok(answer) = timeout(IDLE_TIMEOUT, link.receive()).await else {
        return Err(LinkError::Timeout);
    };
    answer
}
