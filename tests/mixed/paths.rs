//! The two paths to a scripted target, so that each case is tried on both.

use std::{net::SocketAddr, time::Duration};

use ebonyfall_standin::{
    deploy::TEAM_KEY,
    entrance::{EntryDeployment, Reply},
    hostile::{HostileTarget, Step},
};
use tokio::time::sleep;

use crate::env::{
    AGENT_SAFE, AGENT_UNSAFE, AgentEnv, DEADLINE, Env, RESUMABLE, SAFE, STREAM, UNSAFE,
};

/// Limit on bodies of requests on both paths, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Pause between two looks at the desired state in force.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a request is sent on the path.
pub(crate) type Route = (&'static str, &'static str);

/// A router in front of a scripted target.
pub(crate) enum Path {
    Entry(Env),
    Agent(AgentEnv),
}

impl Path {
    /// Starts both paths.
    pub(crate) async fn both() -> [Self; 2] {
        let env = Env::start(0).await;
        let keys = [TEAM_KEY, ebonyfall_standin::entrance::TEAM_KEY];
        let deployment = &env.deployment;
        let state = deployment.put_desired_state_with(2, &keys, DEADLINE, MAX_BODY_BYTES);
        state.await;
        while deployment.desired_version(0).await != Some(2) {
            sleep(POLL_INTERVAL).await;
        }
        [Self::Entry(env), Self::Agent(AgentEnv::start().await)]
    }

    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Entry(_) => "entry",
            Self::Agent(_) => "agent",
        }
    }

    pub(crate) fn target(&self) -> &HostileTarget {
        match self {
            Self::Entry(env) => &env.hostile,
            Self::Agent(env) => &env.hostile,
        }
    }

    pub(crate) fn listen(&self) -> SocketAddr {
        match self {
            Self::Entry(env) => env.deployment.routers[0].listen,
            Self::Agent(env) => env.env.deployment.routers[0].listen,
        }
    }

    /// Routes of each kind: one that may be repeated, one that may not, and streams.
    pub(crate) fn routes(&self) -> &'static [Route] {
        match self {
            Self::Entry(_) => &[
                ("GET", SAFE),
                ("POST", UNSAFE),
                ("POST", STREAM),
                ("POST", RESUMABLE),
            ],
            Self::Agent(_) => &[("GET", AGENT_SAFE), ("POST", AGENT_UNSAFE)],
        }
    }

    /// Route of a request that must not run twice.
    pub(crate) fn unsafe_route(&self) -> Route {
        match self {
            Self::Entry(_) => ("POST", UNSAFE),
            Self::Agent(_) => ("POST", AGENT_UNSAFE),
        }
    }

    /// Plays a script to one request; `None` when its connection closes without an answer.
    pub(crate) async fn play(
        &self,
        script: impl Into<Vec<Step>>,
        (method, path): Route,
        body: &str,
    ) -> Option<Reply> {
        self.target().set_script(script.into());
        let key = format!("Bearer {TEAM_KEY}");
        let headers = [("authorization", &*key), ("x-deadline-ms", "2000")];
        EntryDeployment::call(self.listen(), "mixed", (method, path, body), &headers).await
    }
}

/// Whether the caller takes the reply for a whole answer with a success.
pub(crate) fn is_whole(reply: Option<&Reply>) -> bool {
    reply.is_some_and(|reply| reply.status.is_success() && reply.body.is_ok())
}
