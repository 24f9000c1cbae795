//! Starts the tasks by which a process takes part in the fleet: gossip, polling of the VM list and
//! exchange of configuration.

use std::{io, net::SocketAddr};

use ebonyfall_core::{id::Incarnation, peer::Role};
use slog::Logger;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};

use crate::{
    control::{self, ControlServer},
    gossip::{Gossip, LocalProcess},
    link::Identity,
    metrics::Metrics,
    platform::Platform,
    settings::CommonConfig,
    supervisor::Supervisor,
    view::Config,
    vms,
};

/// The address for other processes cannot be bound.
#[derive(Debug, Snafu)]
#[snafu(display(
    "cannot listen for other processes on {address}: {source}; free the address or change it"
))]
pub struct JoinError {
    address: SocketAddr,
    source: io::Error,
}

/// Parameters of [`join`].
#[derive(Debug)]
pub struct JoinParams<'c> {
    /// Settings that all processes have.
    pub common: &'c CommonConfig,
    /// Number of this start of the process; grows with each start.
    pub incarnation: Incarnation,
    /// Role that other processes see.
    pub role: Role,
    /// Address at which the process serves requests; gossip uses it too, unless the settings name
    /// another one.
    pub listen: SocketAddr,
    /// Configuration that is served to peers and updated from them.
    pub config: Config,
    /// Source of the VM list.
    pub platform: Platform,
    /// Counters of gossip traffic.
    pub metrics: Metrics,
    /// Watches the started tasks.
    pub supervisor: &'c Supervisor,
    /// Logger of the started tasks.
    pub log: Logger,
}

/// Handles of the started tasks.
#[derive(Debug, Clone)]
pub struct Joined {
    /// Name, incarnation and keys for authentication with peers.
    pub identity: Identity,
    /// Handle of the gossip task.
    pub gossip: Gossip,
    /// Answers peers' requests for the configuration.
    pub control: ControlServer,
}

/// Starts the tasks and binds the address for other processes.
///
/// # Errors
///
/// Fails when the address for other processes cannot be bound.
pub async fn join(params: JoinParams<'_>) -> Result<Joined, JoinError> {
    let JoinParams {
        common,
        incarnation,
        role,
        listen,
        config,
        platform,
        metrics,
        supervisor,
        log,
    } = params;
    let identity = Identity {
        name: common.name.clone(),
        incarnation,
        keys: common.keys.clone(),
    };
    let address = common.gossip.unwrap_or(listen);
    let local = LocalProcess {
        identity: identity.clone(),
        role,
        zone: common.zone.clone(),
        address,
        seeds: common.seeds.clone(),
    };
    let socket = UdpSocket::bind(address)
        .await
        .context(JoinSnafu { address })?;
    let views = config.views().clone();
    let gossip = Gossip::start(local, socket, views, metrics, supervisor, log.clone());
    let control = ControlServer::new(config.clone());
    // On `listen`, agents answer peers as well as requests, while routers serve callers' HTTP. A
    // separate listener is needed only if the address for other processes is not `listen`.
    if address != listen {
        let listener = TcpListener::bind(address)
            .await
            .context(JoinSnafu { address })?;
        control
            .clone()
            .serve(listener, identity.clone(), supervisor, log.clone());
    }
    vms::start(platform, gossip.clone(), supervisor, log.clone());
    control::fetch_newer(identity.clone(), gossip.clone(), config, supervisor, log);
    Ok(Joined {
        identity,
        gossip,
        control,
    })
}
