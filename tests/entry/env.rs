//! Test environment: entry routers between stand-ins for the store and the targets.

use std::{
    ops::Deref,
    path::Path,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use ebonyfall_standin::entrance::EntryDeployment;
pub use ebonyfall_standin::entrance::{Reply, TEAM_KEY};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

static CALLS: AtomicU64 = AtomicU64::new(1);

/// Running routers and stand-ins; all of them end when the environment is dropped.
#[derive(Debug)]
pub struct EntryEnv {
    entrance: EntryDeployment,
    _folder: TempDir,
}

impl Deref for EntryEnv {
    type Target = EntryDeployment;

    fn deref(&self) -> &EntryDeployment {
        &self.entrance
    }
}

impl EntryEnv {
    /// Starts one router, `count` targets and a store.
    pub async fn start(count: usize) -> Self {
        Self::start_fleet(1, count).await
    }

    /// Starts `routers` routers, `count` targets and a store.
    pub async fn start_fleet(routers: usize, count: usize) -> Self {
        Self::start_fleet_with(routers, count, "").await
    }

    /// Starts `routers` routers with additional settings, `count` targets and a store.
    pub async fn start_fleet_with(routers: usize, count: usize, settings: &str) -> Self {
        let folder = tempfile::tempdir().expect("the system has a folder for temporary files");
        let program = Path::new(env!("CARGO_BIN_EXE_ebonyfall-entry"));
        Self {
            entrance: EntryDeployment::start_with(
                program,
                folder.path(),
                (routers, count),
                settings,
            )
            .await,
            _folder: folder,
        }
    }

    /// Sends a request to the first router on a new connection.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Reply {
        self.call_router(0, method, path, body, headers).await
    }

    /// Sends a request to the router with index `router` on a new connection.
    pub async fn call_router(
        &self,
        router: usize,
        method: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Reply {
        let id = format!("id-{}", CALLS.fetch_add(1, Ordering::Relaxed));
        let listen = self.routers[router].listen;
        let reply = EntryDeployment::call(listen, &id, (method, path, body), headers).await;
        reply.expect("the router answers")
    }

    /// Sends SIGTERM to the first router.
    pub fn terminate(&mut self) {
        self.entrance.signal(0, "TERM");
    }

    /// Sends a signal such as `KILL` to the router with index `router`.
    pub fn signal(&mut self, router: usize, signal: &str) {
        self.entrance.signal(router, signal);
    }

    /// Starts the first router again.
    pub fn restart(&mut self) {
        self.restart_router(0);
    }

    /// Starts the router with index `router` again.
    pub fn restart_router(&mut self, router: usize) {
        self.entrance.restart(router).expect("the program starts");
    }

    /// Waits for the first router to exit. False if it is still running after `limit`.
    pub async fn ended(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.entrance.has_ended(0) {
                return true;
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }
}
