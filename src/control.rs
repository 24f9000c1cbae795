//! Fetches the configuration from peers, and answers peers that ask for it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ebonyfall_core::{
    dissemination::{ItemKey, Value},
    doc::Document,
    id::Offset,
};
use ebonyfall_wire::{
    control::{FromPeer, ToPeer},
    frame::ToAgent,
};
use rand::seq::SliceRandom;
use sha2::{Digest, Sha256};
use slog::{Logger, debug, info};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc},
    time::{sleep, timeout},
};

use crate::{
    gossip::Gossip,
    link::{Identity, Link, LinkError},
    view::{View, Views},
};

/// Peers' connections served at once.
const CONNECTIONS: usize = 8;
/// Configurations sent at once.
const ANSWERS: usize = 2;
/// Time for which an answer counts as being sent, which bounds answers to 8 a second.
const ANSWER_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a failed accept, so that a lack of file descriptors does not spin the thread.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
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
    views: Views,
    answers: Arc<Semaphore>,
}

impl Control {
    /// Answers with the newest of `views`.
    pub fn new(views: Views) -> Self {
        Self {
            views,
            answers: Arc::new(Semaphore::new(ANSWERS)),
        }
    }

    /// Answers one question.
    pub fn answer(&self, ask: &ToPeer) -> FromPeer {
        let ToPeer::ConfigAfter(known) = ask;
        let view = self.views.borrow().clone();
        let Some(view) = view.filter(|view| known.is_none_or(|known| view.offset > known)) else {
            return FromPeer::Nothing;
        };
        let Ok(permit) = Arc::clone(&self.answers).try_acquire_owned() else {
            return FromPeer::Busy;
        };
        tokio::spawn(async move {
            sleep(ANSWER_PAUSE).await;
            drop(permit);
        });
        let text = view.document.text.as_bytes();
        FromPeer::Config {
            offset: view.offset,
            digest: Sha256::digest(text).into(),
            document: text.to_vec().into(),
        }
    }

    /// Serves peers on a listener of their own until the process ends.
    pub fn serve(self, listener: TcpListener, identity: Identity, log: Logger) {
        let connections = Arc::new(Semaphore::new(CONNECTIONS));
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                };
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
                            link.send(&control.answer(&ask)).await?;
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

/// Starts the task that asks peers when they know a newer configuration than the log delivered;
/// what it finds goes to `found`.
pub fn follow(
    identity: Identity,
    gossip: Gossip,
    mut views: Views,
    found: mpsc::Sender<View>,
    log: Logger,
) {
    tokio::spawn(async move {
        let mut looks = 0;
        loop {
            sleep(LOOK).await;
            if found.is_closed() {
                return;
            }
            let known = views.borrow_and_update().as_ref().map(|view| view.offset);
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
            if let Some(view) = newest(&identity, peers, known, &log).await {
                info!(log, "configuration fetched from a peer"; "offset" => %view.offset);
                let _ended = found.send(view).await;
                looks = 0;
            }
        }
    });
}

/// Asks `peers` side by side and returns the newest configuration that verifies.
async fn newest(
    identity: &Identity,
    peers: Vec<SocketAddr>,
    known: Option<Offset>,
    log: &Logger,
) -> Option<View> {
    let asked = peers.into_iter().map(|peer| async move {
        match fetch(identity, peer, known).await {
            Ok(view) => view,
            Err(error) => {
                debug!(log, "peer gave no configuration"; "peer" => %peer, "error" => %error);
                None
            }
        }
    });
    let views = futures_util::future::join_all(asked).await;
    views.into_iter().flatten().max_by_key(|view| view.offset)
}

async fn fetch(
    identity: &Identity,
    peer: SocketAddr,
    known: Option<Offset>,
) -> Result<Option<View>, LinkError> {
    let mut link = Link::dial(identity, peer).await?;
    link.send(&ToAgent::Control(ToPeer::ConfigAfter(known)))
        .await?;
    let Ok(answer) = timeout(IDLE, link.receive()).await else {
        return Err(LinkError::Timeout);
    };
    Ok(match answer? {
        FromPeer::Nothing | FromPeer::Busy => None,
        FromPeer::Config {
            offset,
            digest,
            document,
        } => verified(offset, digest, &document),
    })
}

fn verified(offset: Offset, digest: [u8; 32], document: &[u8]) -> Option<View> {
    let found: [u8; 32] = Sha256::digest(document).into();
    let text = std::str::from_utf8(document).ok()?;
    let document = Document::parse("peer", text).ok()?;
    (found == digest).then(|| View::new(offset, document))
}
