//! Routers, agents whose connections can be broken, and targets that pause.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use ebonyfall_standin::{
    deploy::{Plan, TEAM_KEY},
    entrance::{EntryDeployment, Reply},
    pausing::{Conduct, PauseAt, PausingTarget, Work},
    proxy::{ConnectionFault, Proxy},
};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::testenv::{TestEnv, plan};

/// Path of an idempotent route.
pub(crate) const SAFE: &str = "/print/status";
/// Path of a route whose requests must not run twice.
pub(crate) const UNSAFE: &str = "/print/orders";
/// Time that callers allow.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Longest time for which a target may work on a request for which nobody waits, once its agent can be
/// reached.
pub(crate) const MAX_WORK_AFTER_CALLER: Duration = Duration::from_millis(500);
/// Time in which routers learn a new configuration.
const LEARN_TIME: Duration = Duration::from_millis(1_500);

static CALLS: AtomicU64 = AtomicU64::new(1);

/// A deployment whose routers reach each agent through a proxy.
pub(crate) struct Env {
    pub(crate) processes: TestEnv,
    /// Configuration in force, with the addresses of the proxies.
    pub(crate) document: String,
    /// Proxies before the agents, in the order of the agents.
    pub(crate) links: Vec<Proxy>,
    /// Targets in place of the plain services.
    pub(crate) targets: Vec<PausingTarget>,
}

impl Env {
    /// Starts `plan`, with sound targets without pauses in place of its services.
    pub(crate) async fn start(plan: Plan) -> Self {
        let mut env = Self::start_without_links(plan).await;
        env.add_links().await;
        env
    }

    /// Like [`Self::start`], but the routers reach the agents directly.
    pub(crate) async fn start_without_links(plan: Plan) -> Self {
        let processes = TestEnv::start(plan).await;
        let mut targets = Vec::new();
        let deployment = &processes.deployment;
        for (index, (_, host)) in deployment.services.iter().enumerate() {
            host.stop();
            let address = deployment.backends[deployment.engines.len() + index];
            while TcpStream::connect(address).await.is_ok() {
                sleep(Duration::from_millis(20)).await;
            }
            let calm = Conduct::Serve(PauseAt::Head, Duration::ZERO);
            targets.push(PausingTarget::start_at(address, calm).0);
        }
        Self {
            document: deployment.document.clone(),
            processes,
            links: Vec::new(),
            targets,
        }
    }

    /// Puts a proxy before each agent and publishes the addresses of the proxies.
    async fn add_links(&mut self) {
        for agent in &self.processes.deployment.agents {
            let (link, address) = Proxy::start(agent.listen).await;
            let document = &mut self.document;
            *document = document.replace(&agent.listen.to_string(), &address.to_string());
            self.links.push(link);
        }
        let published = self.processes.deployment.publish(&self.document).await;
        published.expect("the document is published");
        sleep(LEARN_TIME).await;
    }

    pub(crate) async fn services(count: u32) -> Self {
        Self::start(plan(0, count)).await
    }

    pub(crate) fn set_conduct(&self, conduct: Conduct) {
        for target in &self.targets {
            target.set_conduct(conduct);
        }
    }

    pub(crate) fn set_fault(&self, fault: ConnectionFault) {
        for link in &self.links {
            link.set_fault(fault);
        }
    }

    /// Sends a request to the first router.
    pub(crate) fn call(
        &self,
        path: &'static str,
        idempotency_key: Option<String>,
    ) -> impl Future<Output = Option<Reply>> + Send + use<> {
        let number = CALLS.fetch_add(1, Ordering::Relaxed);
        let listen = self.processes.deployment.routers[0].listen;
        async move {
            let method = if path == SAFE { "GET" } else { "POST" };
            let millis = TIMEOUT.as_millis().to_string();
            let key = format!("Bearer {TEAM_KEY}");
            let mut headers = vec![("authorization", key.as_str()), ("x-deadline-ms", &millis)];
            if let Some(key) = &idempotency_key {
                headers.push(("idempotency-key", key));
            }
            let body = format!("body {number}");
            EntryDeployment::call(listen, "any", (method, path, &body), &headers).await
        }
    }

    /// Work of all targets on all requests so far.
    pub(crate) fn work(&self) -> Vec<Work> {
        self.targets.iter().flat_map(PausingTarget::work).collect()
    }

    /// Waits until the targets have begun to work on `count` requests in all.
    pub(crate) async fn wait_for_work(&self, count: usize) {
        let begun = async {
            while self.work().len() < count {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, begun)
            .await
            .expect("the requests reach a target");
    }
}
