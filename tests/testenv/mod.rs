//! A small deployment for integration tests.

use std::{net::SocketAddr, path::Path};

use ebonyfall_bench::client::Caller;
use ebonyfall_standin::{
    deploy::{Deployment, Plan},
    engine::{EngineConfig, EngineStatus},
    log::LogLimits,
};
use http_body_util::BodyExt;
use tempfile::TempDir;

/// A running deployment; everything ends when it is dropped.
#[derive(Debug)]
pub struct TestEnv {
    /// The deployment.
    pub deployment: Deployment,
    folder: TempDir,
}

/// A plan with `engines` engines and `services` services in three zones behind two routers.
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
    }
}

impl TestEnv {
    /// Starts `plan` in a folder of its own.
    pub async fn start(mut plan: Plan) -> Self {
        let folder = tempfile::tempdir().expect("the system has a folder for temporary files");
        folder.path().clone_into(&mut plan.folder);
        let deployment = Deployment::start(&plan)
            .await
            .expect("the deployment starts");
        Self { deployment, folder }
    }

    /// The folder for the test's files.
    #[allow(dead_code, reason = "not every test file uses it")]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// A file that holds the operators' token.
    #[allow(dead_code, reason = "not every test file uses it")]
    pub fn token_file(&self) -> String {
        let path = self.folder.path().join("token");
        std::fs::write(&path, ebonyfall_standin::deploy::OPERATOR_TOKEN)
            .expect("the folder is writable");
        path.display().to_string()
    }

    /// A caller of router `index`.
    #[allow(dead_code, reason = "not every test file uses it")]
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(self.deployment.routers[index].listen)
    }
}

/// What an engine reports of itself.
#[allow(dead_code, reason = "not every test file uses it")]
pub async fn engine_status(engine: SocketAddr) -> EngineStatus {
    let res = Caller::new(engine).send("GET", "/status", "", &[]).await;
    let body = res.expect("the engine answers").into_body().collect().await;
    let body = body.expect("the status is whole").to_bytes();
    serde_json::from_slice(&body).expect("the status is JSON")
}
