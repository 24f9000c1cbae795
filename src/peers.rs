//! Joins a process to the others: gossip, the VM list and the exchange of configuration.

use std::{io, net::SocketAddr};

use ebonyfall_core::{id::Incarnation, peer::Role};
use slog::Logger;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
};

use crate::{
    control::{self, Control},
    gossip::{Gossip, Local},
    link::Identity,
    metrics::Metrics,
    platform::Platform,
    settings::CommonConfig,
    view::Config,
    vms,
};

/// The address for other processes cannot be used.
#[derive(Debug, Snafu)]
#[snafu(display("cannot take peers on {address}: {source}; free the address or change it"))]
pub struct JoinError {
    address: SocketAddr,
    source: io::Error,
}

/// What a process has to say of itself.
#[derive(Debug)]
pub struct Joining<'c> {
    /// Settings of the process.
    pub common: &'c CommonConfig,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// What it does.
    pub role: Role,
    /// Where it serves requests.
    pub listen: SocketAddr,
    /// Its configuration.
    pub config: Config,
    /// The platform.
    pub platform: Platform,
    /// Counts datagrams.
    pub metrics: Metrics,
    /// Turns true when the process ends.
    pub stop: watch::Receiver<bool>,
    /// Where to log.
    pub log: Logger,
}

/// The process among the others.
#[derive(Debug, Clone)]
pub struct Joined {
    /// How it authenticates.
    pub identity: Identity,
    /// Reaches the gossip task.
    pub gossip: Gossip,
    /// Answers peers.
    pub control: Control,
}

/// Starts the tasks.
///
/// # Errors
///
/// Fails when the address for other processes is in use.
pub async fn join(joining: Joining<'_>) -> Result<Joined, JoinError> {
    let Joining {
        common,
        incarnation,
        role,
        listen,
        config,
        platform,
        metrics,
        stop,
        log,
    } = joining;
    let identity = Identity {
        name: common.name.clone(),
        incarnation,
        keys: common.keys.clone(),
    };
    let address = common.gossip.unwrap_or(listen);
    let local = Local {
        identity: identity.clone(),
        role,
        zone: common.zone.clone(),
        address,
        seeds: common.seeds.clone(),
    };
    let socket = UdpSocket::bind(address)
        .await
        .context(JoinSnafu { address })?;
    let gossip = Gossip::start(local, socket, config.views().clone(), metrics, log.clone());
    let control = Control::new(config.clone());
    // Agents answer peers on `listen` too; a router serves callers' HTTP there.
    if address != listen {
        let listener = TcpListener::bind(address)
            .await
            .context(JoinSnafu { address })?;
        control
            .clone()
            .serve(listener, identity.clone(), log.clone());
    }
    vms::follow(platform, gossip.clone(), log.clone());
    control::follow(identity.clone(), gossip.clone(), config, stop, log);
    Ok(Joined {
        identity,
        gossip,
        control,
    })
}
