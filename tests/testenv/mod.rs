//! Small deployment of real processes for integration tests.

use std::{net::SocketAddr, path::Path};

use ebonyfall_bench::client::Caller;
use ebonyfall_standin::{
    deploy::{Deployment, Plan},
    engine::{EngineConfig, EngineStatus},
    log::LogLimits,
};
use http_body_util::BodyExt;
use tempfile::TempDir;

/// Running deployment with a temporary folder. Dropping it ends the processes and deletes the
/// folder.
#[derive(Debug)]
pub struct TestEnv {
    /// Processes of the deployment and its simulated platform.
    pub deployment: Deployment,
    folder: TempDir,
}

/// Builds a plan of `engines` engines and `services` services in three zones behind two routers.
pub fn plan(engines: u32, services: u32) -> Plan {
    let router = Path::new(env!("CARGO_BIN_EXE_ebonyfall-router"));
    Plan {
        new_engines: (0, EngineConfig::default()),
        programs: router
            .parent()
            .expect("the program is in a folder")
            .to_owned(),
        folder: std::path::PathBuf::new(),
        zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
        engines,
        services,
        routers: 2,
        engine: EngineConfig::default(),
        log: LogLimits::default(),
        document: String::new(),
        router_settings: String::new(),
    }
}

impl TestEnv {
    /// Starts `plan` in a new temporary folder.
    pub async fn start(mut plan: Plan) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        folder.path().clone_into(&mut plan.folder);
        let deployment = Deployment::start(&plan)
            .await
            .expect("the deployment starts");
        Self { deployment, folder }
    }

    /// Folder for files of the test; deleted with the deployment.
    #[allow(dead_code, reason = "not every test file uses it")]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Writes the operators' token to a file and returns its path.
    #[allow(dead_code, reason = "not every test file uses it")]
    pub fn token_file(&self) -> String {
        let path = self.folder.path().join("token");
        std::fs::write(&path, ebonyfall_standin::deploy::OPERATOR_TOKEN)
            .expect("the folder is writable");
        path.display().to_string()
    }

    /// Returns a client of the router with this index.
    #[allow(dead_code, reason = "not every test file uses it")]
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(self.deployment.routers[index].listen)
    }
}

/// Queries an engine's `/status`.
#[allow(dead_code, reason = "not every test file uses it")]
pub async fn engine_status(engine: SocketAddr) -> EngineStatus {
    let res = Caller::new(engine).send("GET", "/status", "", &[]).await;
    let body = res.expect("the engine answers").into_body().collect().await;
    let body = body.expect("the status is complete").to_bytes();
    serde_json::from_slice(&body).expect("the status is JSON")
}
