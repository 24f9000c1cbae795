//! One entry router between stand-ins, for integration tests.

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

/// A running deployment; everything ends when it is dropped.
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
    /// Starts a router before `count` targets.
    pub async fn start(count: usize) -> Self {
        Self::start_fleet(1, count).await
    }

    /// Starts routers before `count` targets.
    pub async fn start_fleet(routers: usize, count: usize) -> Self {
        let folder = tempfile::tempdir().expect("the system has a folder for temporary files");
        let program = Path::new(env!("CARGO_BIN_EXE_ebonyfall-entry"));
        Self {
            entrance: EntryDeployment::start(program, folder.path(), routers, count).await,
            _folder: folder,
        }
    }

    /// Calls the router on a connection of its own.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Reply {
        self.call_router(0, method, path, body, headers).await
    }

    /// Calls one of the routers on a connection of its own.
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

    /// Sends the stop signal.
    pub fn terminate(&mut self) {
        self.entrance.signal(0, "TERM");
    }

    /// Starts the router again.
    pub fn restart(&mut self) {
        self.entrance.restart(0).expect("the program starts");
    }

    /// Whether the router ends by itself within `limit`.
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
