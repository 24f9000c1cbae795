//! An entry router in front of a target that pauses and of others.

use std::{
    path::Path,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use ebonyfall_standin::{
    entrance::{EntryDeployment, FleetPlan, Reply, TEAM_KEY},
    pausing::{Conduct, PauseAt, PausingTarget, Work, complete_body, complete_stream},
};
use http::StatusCode;
use tempfile::TempDir;
use tokio::{task::JoinSet, time::sleep};

/// Path of an idempotent route.
pub(crate) const SAFE: &str = "/status/7";
/// Path of a route with a stream that may be resumed at another target.
pub(crate) const RESUMABLE: &str = "/suggest/7";
/// Timeout of the routes, and time that callers allow.
const TIMEOUT: Duration = Duration::from_secs(6);
/// Time in which a router learns what was written to the store.
const LEARN_TIME: Duration = Duration::from_millis(1_500);

static CALLS: AtomicU64 = AtomicU64::new(1);

pub(crate) struct Env {
    pub(crate) deployment: EntryDeployment,
    /// Target that pauses.
    pub(crate) first: PausingTarget,
    pub(crate) others: Vec<PausingTarget>,
    _folder: TempDir,
}

impl Env {
    /// Starts a router, a target that does not pause yet and others of these kinds. The fleet may send
    /// `retry_slack` retries in ten seconds.
    pub(crate) async fn start(others: &[Conduct], retry_slack: f64) -> Self {
        let folder = tempfile::tempdir().expect("the system has a folder for temporary files");
        let program = Path::new(env!("CARGO_BIN_EXE_ebonyfall-entry"));
        let plan = FleetPlan {
            targets: 0,
            retry_ratio: 0.0,
            retry_slack,
            ..FleetPlan::default()
        };
        let deployment = EntryDeployment::start_plan(program, folder.path(), &plan).await;
        deployment
            .put_desired_state_with_timeout(2, &[TEAM_KEY], TIMEOUT)
            .await;
        let calm = Conduct::Serve(PauseAt::Head, Duration::ZERO);
        let (first, address) = PausingTarget::start(calm);
        deployment.register_address("first", address).await;
        let mut env = Self {
            deployment,
            first,
            others: Vec::new(),
            _folder: folder,
        };
        for (number, conduct) in others.iter().enumerate() {
            let (other, address) = PausingTarget::start(*conduct);
            let name = format!("other-{number}");
            env.deployment.register_address(&name, address).await;
            env.others.push(other);
        }
        sleep(LEARN_TIME).await;
        env
    }

    /// Sends a request to the router and returns its id with the answer.
    pub(crate) fn call(
        &self,
        path: &'static str,
    ) -> impl Future<Output = (String, Option<Reply>)> + use<> {
        let id = format!("call-{}", CALLS.fetch_add(1, Ordering::Relaxed));
        let listen = self.deployment.routers[0].listen;
        async move {
            let method = if path == SAFE { "GET" } else { "POST" };
            let millis = TIMEOUT.as_millis().to_string();
            let headers = [("ebonyfall-deadline-ms", millis.as_str())];
            let reply = EntryDeployment::call(listen, &id, (method, path, "body"), &headers).await;
            (id, reply)
        }
    }

    /// Sends requests at once and returns their ids and answers.
    pub(crate) async fn call_at_once(
        &self,
        path: &'static str,
        count: usize,
    ) -> Vec<(String, Option<Reply>)> {
        let calls: JoinSet<_> = (0..count).map(|_| self.call(path)).collect();
        calls.join_all().await
    }

    /// Whether the request reached the pausing target before any other.
    pub(crate) fn was_first(&self, id: &str) -> bool {
        let begun = |target: &PausingTarget| {
            let work = target.work().into_iter();
            work.filter(|work| work.id == id)
                .map(|work| work.begun)
                .min()
        };
        let others = self.others.iter().filter_map(begun).min();
        begun(&self.first).is_some_and(|first| others.is_none_or(|other| first < other))
    }

    /// Work of all targets on a request, that of the pausing one first.
    pub(crate) fn work(&self, id: &str) -> Vec<Work> {
        let targets = std::iter::once(&self.first).chain(&self.others);
        let work = targets.flat_map(PausingTarget::work);
        work.filter(|work| work.id == id).collect()
    }

    /// Number of targets that worked on a request.
    pub(crate) fn working(&self, id: &str) -> usize {
        let targets = std::iter::once(&self.first).chain(&self.others);
        let worked = |target: &&PausingTarget| target.work().iter().any(|work| work.id == id);
        targets.filter(worked).count()
    }

    /// Sends requests at once and checks that all that reached the pausing target first are answered
    /// whole.
    pub(crate) async fn assert_whole(&self, path: &'static str, count: usize, case: &str) {
        let replies = self.call_at_once(path, count).await;
        let first: Vec<_> = replies
            .iter()
            .filter(|(id, _)| self.was_first(id))
            .collect();
        assert!(!first.is_empty(), "{case}: none reached the pausing target");
        let cut: Vec<_> = first
            .iter()
            .filter(|(_, reply)| !is_whole(path, reply.as_ref()))
            .collect();
        assert!(
            cut.is_empty(),
            "{case}: {} of {}: {cut:?}",
            cut.len(),
            first.len()
        );
    }
}

/// Whether an answer is complete and as its target sent it.
pub(crate) fn is_whole(path: &str, reply: Option<&Reply>) -> bool {
    let expected = if path == SAFE {
        complete_body().to_owned()
    } else {
        complete_stream()
    };
    reply.is_some_and(|reply| {
        let body = reply.body.as_ref().ok();
        reply.status == StatusCode::OK && body == Some(&expected)
    })
}
