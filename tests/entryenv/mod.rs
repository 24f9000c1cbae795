//! An entry router between stand-ins, for integration tests.

use std::{
    fs::File,
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bytes::Bytes;
use ebonyfall_standin::{deploy::free_address, keyed::KeyedStore, registered::Registered};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tempfile::TempDir;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// A key of the team `desk`.
pub const KEY: &str = "key-of-the-desk";
/// Longest wait for the router's start.
const START: Duration = Duration::from_secs(20);

static CALLS: AtomicU64 = AtomicU64::new(1);

/// An answer; the body is an error where it was cut.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Result<String, hyper::Error>,
}

/// A running deployment; the router ends when it is dropped.
#[derive(Debug)]
pub struct EntryEnv {
    pub store: KeyedStore,
    pub targets: Vec<Registered>,
    addresses: Vec<SocketAddr>,
    listen: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    router: Child,
    folder: TempDir,
}

impl EntryEnv {
    /// Starts a router before `count` targets, each in a zone of its own.
    pub async fn start(count: usize) -> Self {
        let folder = tempfile::tempdir().expect("the system has a folder for temporary files");
        let store_address = free_address();
        let store = KeyedStore::start(store_address).await;
        let addresses: Vec<_> = (0..count).map(|_| free_address()).collect();
        let mut targets = Vec::new();
        for address in &addresses {
            targets.push(Registered::start(*address).await);
        }
        let [listen, ready, metrics, peers] = [(); 4].map(|()| free_address());
        let settings = format!(
            "[entry]\nname = e-0\nzone = z0\nlisten = {listen}\nready = {ready}\n\
             metrics = {metrics}\nstore = {store_address}\npeers = {peers}\nseeds = \n\
             drain-ms = 2000\ngrace-s = 8\nrevocation-ms = 5000\nretry-ratio = 0.2\n\
             retry-slack = 58\nretry-window-s = 10\n"
        );
        let path = folder.path().join("entry.ini");
        std::fs::write(&path, settings).expect("the folder is writable");
        let log = File::create(folder.path().join("log")).expect("the folder is writable");
        let router = Command::new(env!("CARGO_BIN_EXE_ebonyfall-entry"))
            .env("EBONYFALL_CONFIG", &path)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts");
        let env = Self {
            store,
            targets,
            addresses,
            listen,
            ready,
            metrics,
            router,
            folder,
        };
        env.state(1, &[KEY]).await;
        for target in 0..count {
            env.register(target, "ready").await;
        }
        let started = Instant::now();
        while !env.is_ready().await {
            assert!(started.elapsed() < START, "the router becomes ready");
            sleep(Duration::from_millis(20)).await;
        }
        // Targets that registered after the first read are known after the next one.
        sleep(Duration::from_millis(1_000)).await;
        env
    }

    /// Writes a desired state in which the team `desk` has these keys.
    pub async fn state(&self, version: u64, keys: &[&str]) {
        let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
            json!({
                "name": name, "host": "spine.example", "path_prefix": format!("/{name}/"),
                "type": kind, "timeout_ms": 2_000, "slo_ms": 500, "priority": 0,
                "service": "plain", "max_attempts": attempts, "public": false, "sticky": false,
                "resumable": resumable,
            })
        };
        let state = json!({
            "version": version,
            "routes": [
                route("status", "safe", 2, false),
                route("order", "unsafe", 1, false),
                route("suggest", "stream", 2, true),
                route("draft", "stream", 1, false),
            ],
            "services": [{ "name": "plain", "max_conns": 100, "warmup_per_s": 0.0 }],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 65_536,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
            },
            "tenants": [{ "name": "desk", "api_keys": keys }],
        });
        self.store.put("keyed.op", "config", Some(&state)).await;
    }

    /// Writes a target's entry.
    pub async fn register(&self, target: usize, state: &str) {
        let entry = json!({
            "service": "plain", "addr": self.addresses[target], "zone": format!("z{target}"),
            "version": "v1", "slots": 8, "state": state, "warmup_left_ms": 0, "seq": 1,
            "born": 1,
        });
        let key = format!("t-{target}");
        self.store.put("keyed.servers", &key, Some(&entry)).await;
    }

    fn request(
        method: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Request<Full<Bytes>> {
        let id = format!("id-{}", CALLS.fetch_add(1, Ordering::Relaxed));
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "spine.example")
            .header("ebonyfall-attempt-id", id)
            .header("ebonyfall-deadline-ms", "2000")
            .header("authorization", format!("Bearer {KEY}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        req.body(Full::from(body.to_owned()))
            .expect("the parts are valid")
    }

    async fn send(address: SocketAddr, req: Request<Full<Bytes>>) -> Option<Reply> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let res = sender.send_request(req).await.ok()?;
        let (head, body) = res.into_parts();
        let body = body.collect().await;
        Some(Reply {
            status: head.status,
            headers: head.headers,
            body: body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned()),
        })
    }

    /// Calls the router on a connection of its own.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Reply {
        let req = Self::request(method, path, body, headers);
        let reply = Self::send(self.listen, req).await;
        reply.expect("the router answers")
    }

    /// Calls the router and closes the connection after a while.
    pub async fn call_and_leave(&self, method: &str, path: &str, after: Duration) {
        let req = Self::request(method, path, "", &[]);
        let stream = TcpStream::connect(self.listen)
            .await
            .expect("the router listens");
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("the connection is new");
        let connection = tokio::spawn(connection);
        let left = timeout(after, sender.send_request(req)).await;
        assert!(left.is_err(), "the answer came before the caller left");
        connection.abort();
    }

    async fn get(address: SocketAddr) -> Option<Reply> {
        let req = Request::builder().uri("/").header("host", "x");
        let req = req.body(Full::from("")).expect("the parts are valid");
        Self::send(address, req).await
    }

    /// Whether the router tells the balancer that it is ready.
    pub async fn is_ready(&self) -> bool {
        let reply = Self::get(self.ready).await;
        reply.is_some_and(|reply| reply.status == StatusCode::OK)
    }

    /// The router's metrics.
    pub async fn metrics(&self) -> String {
        let reply = Self::get(self.metrics).await.expect("metrics are served");
        reply.body.expect("the answer is whole")
    }

    /// The router's log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).expect("the log is readable")
    }

    /// Sends the stop signal.
    pub fn terminate(&self) {
        let pid = self.router.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Whether the router ends by itself within `limit`.
    pub async fn ended(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.router.try_wait().is_ok_and(|status| status.is_some()) {
                return true;
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }
}

impl Drop for EntryEnv {
    fn drop(&mut self) {
        let _ended = self.router.kill();
        let _reaped = self.router.wait();
    }
}
