//! Deployment for entry routers: the routers run as processes, the store and the targets are
//! simulated in this process.

mod calls;
mod processes;
mod state;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Child,
    time::Duration,
};

use http::StatusCode;

use crate::{
    deploy::free_address,
    keyed::KeyedStore,
    memory::PromptCaches,
    proxy::Proxy,
    registered::{ModelServer, RegisteredTarget},
};

pub use self::{
    calls::{CallerConnection, Reply},
    state::{ColdPeriod, ROUTE_TIMEOUT},
};

/// API key of the team `desk` in the first desired state.
pub const TEAM_KEY: &str = "key-of-the-desk";
/// Routers whose addresses for gossip differ in the last byte only.
const PEERS_PER_NET: usize = 250;
/// Most routers that each router gets as gossip seeds.
const MAX_SEEDS: usize = 3;
/// Time for which a router may run after SIGTERM, as its settings state it.
pub const STOP_GRACE: Duration = Duration::from_secs(8);
/// Length of the window of the retry bound, as the routers' settings state it.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Sizes and limits of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetPlan<'a> {
    /// Number of routers.
    pub routers: usize,
    /// Number of targets.
    pub targets: usize,
    /// Retries that the fleet may send for each request.
    pub retry_ratio: f64,
    /// Retries that the fleet may send besides those of the ratio, in each window.
    pub retry_slack: f64,
    /// Requests per second that a cold target tolerates from all routers together; 0 if targets
    /// need no such limit.
    pub cold_rate: f64,
    /// Lines that are added to the settings of each router.
    pub router_settings: &'a str,
}

impl Default for FleetPlan<'_> {
    fn default() -> Self {
        Self {
            routers: 1,
            targets: 1,
            retry_ratio: 0.2,
            retry_slack: 58.0,
            cold_rate: 0.0,
            router_settings: "",
        }
    }
}

/// An entry router that runs as a process of its own, which is killed on drop.
#[derive(Debug)]
pub struct Router {
    /// Address on which the router accepts requests of callers.
    pub listen: SocketAddr,
    /// Address on which the router answers readiness checks.
    pub ready: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // Killing fails when the process has already exited; waiting reaps it in either case.
            let _ended = process.kill().is_err();
            let _reaped = process.wait().is_err();
        }
    }
}

/// A running deployment; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct EntryDeployment {
    /// Simulated store, which holds the desired state and the target entries.
    pub store: KeyedStore,
    /// Simulated targets; the target with index `i` is in zone `z{i}`.
    pub targets: Vec<RegisteredTarget>,
    /// Proxies in front of the targets, in the order of `targets`.
    pub proxies: Vec<Proxy>,
    /// Proxies between the routers and the store, in the order of `routers`.
    pub store_proxies: Vec<Proxy>,
    /// Router processes; the router with index `i` is named `e-{i}`.
    pub routers: Vec<Router>,
    /// Addresses under which routers reach the targets, which are those of `proxies`.
    pub target_addresses: Vec<SocketAddr>,
    program: PathBuf,
    cold_rate: f64,
}

impl EntryDeployment {
    /// Starts the targets, then routers that run `program`, and waits until these are ready.
    /// Settings and logs of the routers are written to `folder`.
    ///
    /// # Panics
    ///
    /// Panics when a process does not start or become ready.
    pub async fn start(program: &Path, folder: &Path, routers: usize, targets: usize) -> Self {
        Self::start_with(program, folder, (routers, targets), "").await
    }

    /// Like [`Self::start`], with these numbers of routers and targets, and with lines that are
    /// added to the settings of each router.
    ///
    /// # Panics
    ///
    /// Panics like [`Self::start`].
    pub async fn start_with(
        program: &Path,
        folder: &Path,
        (routers, targets): (usize, usize),
        router_settings: &str,
    ) -> Self {
        let plan = FleetPlan {
            routers,
            targets,
            router_settings,
            ..FleetPlan::default()
        };
        Self::start_plan(program, folder, &plan).await
    }

    /// Like [`Self::start`], with these sizes and limits.
    ///
    /// # Panics
    ///
    /// Panics like [`Self::start`].
    pub async fn start_plan(program: &Path, folder: &Path, plan: &FleetPlan<'_>) -> Self {
        let mut env = Self::prepare(program, folder, plan).await;
        for router in 0..plan.routers {
            env.restart(router).expect("the program starts");
        }
        env.wait_until_ready(0..plan.routers).await;
        env
    }

    /// Starts the store and the targets of a plan, and writes the settings of its routers, which
    /// are not started.
    ///
    /// # Panics
    ///
    /// Panics when the folder is not writable or no port is free.
    pub async fn prepare(program: &Path, folder: &Path, plan: &FleetPlan<'_>) -> Self {
        let (store, store_address) = KeyedStore::start().await;
        let mut env = Self {
            store,
            targets: Vec::new(),
            proxies: Vec::new(),
            store_proxies: Vec::new(),
            routers: Vec::new(),
            target_addresses: Vec::new(),
            program: program.to_owned(),
            cold_rate: plan.cold_rate,
        };
        for target in 0..plan.targets {
            let (registered, target_address) = RegisteredTarget::start().await;
            let (proxy, address) = Proxy::start(target_address).await;
            env.targets.push(registered);
            env.proxies.push(proxy);
            env.target_addresses.push(address);
            env.register(target, "ready").await;
        }
        env.put_desired_state(1, &[TEAM_KEY]).await;
        let peers_port = free_address().port();
        // All routers receive gossip on the same port, so each needs its own IP address.
        let peers = |router: usize| {
            let (net, host) = (1 + router / PEERS_PER_NET, 1 + router % PEERS_PER_NET);
            format!("127.0.{net}.{host}:{peers_port}")
        };
        let seeds: Vec<_> = (0..plan.routers.min(MAX_SEEDS)).map(peers).collect();
        let seeds = seeds.join(",");
        let FleetPlan {
            retry_ratio,
            retry_slack,
            router_settings,
            ..
        } = plan;
        let retry_window_s = RETRY_WINDOW.as_secs();
        let grace_s = STOP_GRACE.as_secs();
        for router in 0..plan.routers {
            let [listen, ready, metrics] = [(); 3].map(|()| free_address());
            let peers = peers(router);
            let (store_proxy, store) = Proxy::start(store_address).await;
            env.store_proxies.push(store_proxy);
            let settings = format!(
                "[entry]\nname = e-{router}\nzone = z0\nlisten = {listen}\nready = {ready}\n\
                 metrics = {metrics}\nstore = {store}\npeers = {peers}\nseeds = {seeds}\n\
                 drain-ms = 2000\ngrace-s = {grace_s}\nrevocation-ms = 5000\n\
                 retry-ratio = {retry_ratio}\nretry-slack = {retry_slack}\n\
                 retry-window-s = {retry_window_s}\n{router_settings}"
            );
            let path = folder.join(format!("e-{router}.ini"));
            std::fs::write(&path, settings).expect("the folder is writable");
            env.routers.push(Router {
                listen,
                ready,
                metrics,
                settings: path,
                log: folder.join(format!("e-{router}.log")),
                process: None,
            });
        }
        env
    }

    /// Makes each target a model server whose cache holds up to `capacity_tokens` prompt tokens.
    pub fn set_model_servers(&self, capacity_tokens: u64) -> PromptCaches {
        let prompt_caches = PromptCaches::start(capacity_tokens);
        for (target, address) in self.targets.iter().zip(&self.target_addresses) {
            target.set_model_server(ModelServer {
                prompt_caches: prompt_caches.clone(),
                address: *address,
            });
        }
        prompt_caches
    }

    /// Returns whether a router's readiness check, which load balancers query, succeeds.
    pub async fn is_ready(&self, router: usize) -> bool {
        let reply = calls::get(self.routers[router].ready, "/").await;
        reply.is_some_and(|reply| reply.status == StatusCode::OK)
    }

    /// Settings file of a router.
    pub fn settings(&self, router: usize) -> &Path {
        &self.routers[router].settings
    }

    /// Returns a router's metrics in the text format.
    ///
    /// # Panics
    ///
    /// Panics when the router does not answer or its answer is incomplete.
    pub async fn metrics(&self, router: usize) -> String {
        self.get_page(router, "/metrics").await
    }

    /// Returns the version of the desired state that a router has in force; `None` before the first one.
    ///
    /// # Panics
    ///
    /// Panics like [`Self::metrics`].
    pub async fn desired_version(&self, router: usize) -> Option<u64> {
        let metrics = self.metrics(router).await;
        let mut lines = metrics.lines();
        let version = lines.find_map(|line| line.strip_prefix("ebonyfall_desired_version "))?;
        version.parse().ok()
    }

    /// Returns a router's state dump.
    ///
    /// # Panics
    ///
    /// Panics when the router does not answer or its answer is incomplete.
    pub async fn dump(&self, router: usize) -> String {
        self.get_page(router, "/dump").await
    }

    /// Address at which a router serves its metrics and its dump.
    pub fn metrics_address(&self, router: usize) -> SocketAddr {
        self.routers[router].metrics
    }

    async fn get_page(&self, router: usize, path: &str) -> String {
        let reply = calls::get(self.routers[router].metrics, path).await;
        let reply = reply.expect("the page is served");
        reply.body.expect("the answer is whole")
    }

    /// Returns what a router has logged, over all its starts.
    ///
    /// # Panics
    ///
    /// Panics when the log file cannot be read.
    pub fn log(&self, router: usize) -> String {
        std::fs::read_to_string(&self.routers[router].log).expect("the log is readable")
    }
}
