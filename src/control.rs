//! Fetches the configuration from peers, and answers peers that ask for it.

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
    sync::{Semaphore, watch},
    time::{sleep, timeout},
};

use crate::{
    gossip::Gossip,
    link::{Identity, Link, LinkError},
    view::Config,
    web,
};

/// Peers' connections served at once.
const CONNECTIONS: usize = 8;
/// Configurations sent at once.
const ANSWERS: usize = 2;
/// Time for which an answer counts as being sent, which bounds answers to 8 a second.
const ANSWER_PAUSE: Duration = Duration::from_millis(250);
/// Longest silence on a peer's connection.
const IDLE: Duration = Duration::from_secs(5);
/// Peers asked for a configuration, so that one that is behind or wrong does not decide.
const ASKED: usize = 3;
/// Time between two looks at the newest offset that others announce.
const LOOK: Duration = Duration::from_millis(500);
/// Looks for which the log may still deliver a configuration before peers are asked.
const GRACE: u32 = 2;

/// Answers peers.
#[derive(Debug, Clone)]
pub struct Control {
    config: Config,
    answers: Arc<Semaphore>,
}

impl Control {
    /// Answers with what `config` has in force.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            answers: Arc::new(Semaphore::new(ANSWERS)),
        }
    }

    /// Answers one question.
    pub async fn answer(&self, ask: &ToPeer) -> FromPeer {
        let ToPeer::ConfigAfter(known) = *ask;
        let tip = self.config.tip().map(|(offset, _)| offset);
        if tip.is_none() || known >= tip {
            return FromPeer::Nothing;
        }
        let Ok(permit) = Arc::clone(&self.answers).try_acquire_owned() else {
            return FromPeer::Busy;
        };
        tokio::spawn(async move {
            sleep(ANSWER_PAUSE).await;
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

    /// Serves peers on a listener of their own until the process ends.
    pub fn serve(self, listener: TcpListener, identity: Identity, log: Logger) {
        let connections = Arc::new(Semaphore::new(CONNECTIONS));
        tokio::spawn(async move {
            loop {
                let (stream, _) = web::accept(&listener, &log).await;
                let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
                    continue;
                };
                let (control, identity, log) = (self.clone(), identity.clone(), log.clone());
                tokio::spawn(async move {
                    let served = async {
                        let mut link = Link::accept(&identity, stream).await?;
                        while let Ok(ask) = timeout(IDLE, link.receive()).await {
                            let ToAgent::Control(ask) = ask? else {
                                return Ok(());
                            };
                            link.send(&control.answer(&ask).await).await?;
                        }
                        Ok::<_, LinkError>(())
                    };
                    if let Err(error) = served.await {
                        debug!(log, "peer's connection ended"; "error" => %error);
                    }
                    drop(permit);
                });
            }
        });
    }
}

/// Starts the task that asks peers when they know a newer configuration than the log delivered.
pub fn follow(
    identity: Identity,
    gossip: Gossip,
    config: Config,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    tokio::spawn(async move {
        let mut looks = 0;
        loop {
            tokio::select! {
                () = sleep(LOOK) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
            let known = config.tip().map(|(offset, _)| offset);
            let tip = match gossip.get(ItemKey::Tip).await {
                Some(Value::Tip { offset, .. }) => Some(offset),
                _ => None,
            };
            if known.is_some() && known >= tip {
                looks = 0;
                continue;
            }
            looks += 1;
            if looks < GRACE {
                continue;
            }
            let mut peers = gossip.peers().await;
            peers.shuffle(&mut rand::rng());
            peers.truncate(ASKED);
            let asked = peers.into_iter().map(|peer| fetch(&identity, peer, known));
            for answer in futures_util::future::join_all(asked).await {
                match answer {
                    Ok(answer) => offer(&config, answer, &log).await,
                    Err(error) => debug!(log, "peer gave no configuration"; "error" => %error),
                }
            }
            looks = 0;
        }
    });
}

/// Hands a peer's answer to the configuration task, which verifies it and takes only news.
async fn offer(config: &Config, answer: FromPeer, log: &Logger) {
    let taken = match answer {
        FromPeer::Nothing | FromPeer::Busy => return,
        FromPeer::Records(records) => config.offer_records(records).await.map(drop),
        FromPeer::Snapshot(snapshot) => config.offer_snapshot(*snapshot).await,
    };
    match taken {
        Ok(()) => info!(log, "configuration fetched from a peer"),
        Err(refused) => debug!(log, "a peer's configuration was not taken"; "why" => ?refused),
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
    let Ok(answer) = timeout(IDLE, link.receive()).await else {
        return Err(LinkError::Timeout);
    };
    answer
}
