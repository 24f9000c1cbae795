//! Routers in front of a scripted target, on both paths: an entry router, and a router with an agent.

use std::{net::SocketAddr, path::Path, time::Duration};

use ebonyfall_standin::{
    deploy::TEAM_KEY,
    entrance::{EntryDeployment, Reply},
    hostile::{HostileTarget, Step},
};
use tempfile::TempDir;
use tokio::{net::TcpStream, time::sleep};

use crate::testenv::{self, TestEnv};

/// Path of an idempotent route.
pub(crate) const SAFE: &str = "/status/7";
/// Path of a route whose requests must not run twice.
pub(crate) const UNSAFE: &str = "/order/7";
/// Path of a route with a stream that may be resumed at another target.
pub(crate) const RESUMABLE: &str = "/suggest/7";
/// Path of a route with a stream that must not be resumed.
pub(crate) const STREAM: &str = "/draft/7";
/// Paths of the same kinds of routes behind a router with agents.
pub(crate) const AGENT_SAFE: &str = "/print/status";
pub(crate) const AGENT_UNSAFE: &str = "/print/orders";
/// Time limit of every request of the deployment.
pub(crate) const DEADLINE: Duration = Duration::from_secs(2);
/// Time after the deadline within which the caller must have an answer.
pub(crate) const SLACK: Duration = Duration::from_millis(500);
/// Memory of the smallest entry VM, in bytes.
pub(crate) const VM_MEMORY: u64 = 160 << 20;
/// Requests at once in the tests of memory.
pub(crate) const CONCURRENT: usize = 64;

/// A router in front of one hostile target, and of a sound one if there are two.
pub(crate) struct Env {
    pub(crate) deployment: EntryDeployment,
    pub(crate) hostile: HostileTarget,
    pub(crate) hostile_address: SocketAddr,
    _folder: TempDir,
}

impl Env {
    pub(crate) async fn start(sound_targets: usize) -> Self {
        let folder = tempfile::tempdir().expect("the system has a folder for temporary files");
        let program = Path::new(env!("CARGO_BIN_EXE_ebonyfall-entry"));
        let deployment = EntryDeployment::start(program, folder.path(), 1, sound_targets).await;
        let (hostile, address) = HostileTarget::start().await;
        deployment.register_address("hostile", address).await;
        // The router reads the entries of targets about once a second.
        sleep(Duration::from_millis(1_500)).await;
        Self {
            deployment,
            hostile,
            hostile_address: address,
            _folder: folder,
        }
    }

    pub(crate) async fn call(&self, id: &str, method: &str, path: &str) -> Reply {
        let listen = self.deployment.routers[0].listen;
        let reply = EntryDeployment::call(listen, id, (method, path, "body"), &[]).await;
        reply.expect("the router answers")
    }
}

/// A router with an agent whose plain service is a hostile target.
pub(crate) struct AgentEnv {
    pub(crate) env: TestEnv,
    pub(crate) hostile: HostileTarget,
}

impl AgentEnv {
    pub(crate) async fn start() -> Self {
        Self::start_with("").await
    }

    /// Starts it with these lines added to the settings of the routers.
    pub(crate) async fn start_with(router_settings: &str) -> Self {
        let mut plan = testenv::plan(0, 1);
        router_settings.clone_into(&mut plan.router_settings);
        let env = TestEnv::start(plan).await;
        let (_service, host) = &env.deployment.services[0];
        host.stop();
        let address = env.deployment.backends[0];
        while TcpStream::connect(address).await.is_ok() {
            sleep(Duration::from_millis(20)).await;
        }
        let (hostile, _address) = HostileTarget::start_at(address).await;
        Self { env, hostile }
    }

    pub(crate) async fn call(&self, id: &str, method: &str, path: &str) -> Option<Reply> {
        self.call_with(id, method, path, &[]).await
    }

    pub(crate) async fn call_with(
        &self,
        id: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Option<Reply> {
        let listen = self.env.deployment.routers[0].listen;
        let key = format!("Bearer {TEAM_KEY}");
        let own = [("authorization", key.as_str()), ("x-deadline-ms", "2000")];
        let is_own = |name| !headers.iter().any(|(given, _)| *given == name);
        let own = own.iter().filter(|(name, _)| is_own(*name));
        let headers: Vec<_> = own.chain(headers).copied().collect();
        EntryDeployment::call(listen, id, (method, path, "body"), &headers).await
    }
}

pub(crate) fn send(text: &str) -> Step {
    Step::Send(text.to_owned())
}

pub(crate) fn sealed(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nEbonyfall-Attempt-Id: {{id}}\r\nEbonyfall-Server-Seal: s\r\n\
         {headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub(crate) fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\nEbonyfall-Attempt-Id: {id}\r\nEbonyfall-Server-Seal: s\r\n\
     Content-Type: text/event-stream\r\n\r\n"
        .to_owned()
}
