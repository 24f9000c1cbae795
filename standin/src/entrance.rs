//! Entry routers between stand-ins, as separate processes.

use std::{
    fs::File,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::{
    deploy::free_address,
    keyed::KeyedStore,
    memory::PromptCaches,
    proxy::Proxy,
    registered::{ModelServer, RegisteredTarget},
};

/// A key of the team `desk`.
pub const TEAM_KEY: &str = "key-of-the-desk";
/// Routers whose addresses every router is told.
const MAX_SEEDS: usize = 3;
/// Longest wait for a connection to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for a router's start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// An answer; the body is an error where it was cut.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// Time until the head of the answer, from the moment at which the connection was made.
    pub time_to_head: Duration,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Result<String, hyper::Error>,
}

/// A router's process.
#[derive(Debug)]
pub struct Router {
    /// Where it takes callers.
    pub listen: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // A process that has ended cannot be killed and is only reaped.
            let _ended = process.kill().is_err();
            let _reaped = process.wait().is_err();
        }
    }
}

/// A running deployment; its processes end when it is dropped.
#[derive(Debug)]
pub struct EntryDeployment {
    /// The platform's store.
    pub store: KeyedStore,
    /// The targets, each in a zone of its own.
    pub targets: Vec<RegisteredTarget>,
    /// What stands before each target.
    pub proxies: Vec<Proxy>,
    /// What stands between each router and the store.
    pub store_proxies: Vec<Proxy>,
    /// The routers.
    pub routers: Vec<Router>,
    /// Where routers reach the targets.
    pub addresses: Vec<SocketAddr>,
    program: PathBuf,
}

impl EntryDeployment {
    /// Starts routers of the program before targets; `folder` takes settings and logs.
    ///
    /// # Panics
    ///
    /// Panics when a process does not start or become ready.
    pub async fn start(program: &Path, folder: &Path, routers: usize, targets: usize) -> Self {
        let (store, store_address) = KeyedStore::start().await;
        let mut env = Self {
            store,
            targets: Vec::new(),
            proxies: Vec::new(),
            store_proxies: Vec::new(),
            routers: Vec::new(),
            addresses: Vec::new(),
            program: program.to_owned(),
        };
        for target in 0..targets {
            let (registered, target_address) = RegisteredTarget::start().await;
            let (proxy, address) = Proxy::start(target_address).await;
            env.targets.push(registered);
            env.proxies.push(proxy);
            env.addresses.push(address);
            env.register(target, "ready").await;
        }
        env.put_desired_state(1, &[TEAM_KEY]).await;
        let peers_port = free_address().port();
        // Routers take datagrams at one port, so that each needs an address of its own.
        let peers = |router: usize| format!("127.0.1.{}:{peers_port}", router + 1);
        let seeds: Vec<_> = (0..routers.min(MAX_SEEDS)).map(peers).collect();
        let seeds = seeds.join(",");
        for router in 0..routers {
            let [listen, ready, metrics] = [(); 3].map(|()| free_address());
            let peers = peers(router);
            let (store_proxy, store) = Proxy::start(store_address).await;
            env.store_proxies.push(store_proxy);
            let settings = format!(
                "[entry]\nname = e-{router}\nzone = z0\nlisten = {listen}\nready = {ready}\n\
                 metrics = {metrics}\nstore = {store}\npeers = {peers}\nseeds = {seeds}\n\
                 drain-ms = 2000\ngrace-s = 8\nrevocation-ms = 5000\nretry-ratio = 0.2\n\
                 retry-slack = 58\nretry-window-s = 10\n"
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
            env.restart(router).expect("the program starts");
        }
        for router in 0..routers {
            let started = Instant::now();
            while !env.is_ready(router).await {
                assert!(
                    started.elapsed() < READY_TIMEOUT,
                    "the router becomes ready"
                );
                sleep(Duration::from_millis(20)).await;
            }
        }
        env
    }

    /// Makes the targets model servers with room for this many prompt tokens each.
    pub fn set_model_servers(&self, capacity_tokens: u64) -> PromptCaches {
        let prompt_caches = PromptCaches::start(capacity_tokens);
        for (target, address) in self.targets.iter().zip(&self.addresses) {
            target.set_model_server(ModelServer {
                prompt_caches: prompt_caches.clone(),
                address: *address,
            });
        }
        prompt_caches
    }

    /// Starts a router's process unless it runs.
    ///
    /// # Errors
    ///
    /// Fails when the program or its log cannot be opened.
    pub fn restart(&mut self, router: usize) -> io::Result<()> {
        if !self.has_ended(router) {
            return Ok(());
        }
        let router = &mut self.routers[router];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&router.log)?;
        let process = Command::new(&self.program)
            .env("EBONYFALL_CONFIG", &router.settings)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()?;
        router.process = Some(process);
        Ok(())
    }

    /// Sends a signal such as `TERM` to a router's process, if it runs.
    ///
    /// # Panics
    ///
    /// Panics when the signal cannot be sent.
    pub fn signal(&mut self, router: usize, signal: &str) {
        if self.has_ended(router) {
            return;
        }
        if let Some(process) = &self.routers[router].process {
            let pid = process.id().to_string();
            let sent = Command::new("kill")
                .args([&format!("-{signal}"), &pid])
                .status();
            assert!(
                sent.is_ok_and(|status| status.success()),
                "the process is our own"
            );
        }
    }

    /// Whether a router's process has ended.
    pub fn has_ended(&mut self, router: usize) -> bool {
        let process = self.routers[router].process.as_mut();
        process.is_none_or(|process| process.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Writes a desired state in which the team `desk` has these keys.
    pub async fn put_desired_state(&self, version: u64, keys: &[&str]) {
        let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
            json!({
                "name": name, "host": "spine.example", "path_prefix": format!("/{name}/"),
                "type": kind, "timeout_ms": 2_000, "slo_ms": 500, "priority": 0,
                "service": "plain", "max_attempts": attempts, "public": false, "sticky": kind == "stream",
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
        self.register_version(target, state, "v1").await;
    }

    /// Writes the entry of a target whose software has this version.
    pub async fn register_version(&self, target: usize, state: &str, version: &str) {
        let entry = json!({
            "service": "plain", "addr": self.addresses[target], "zone": format!("z{target}"),
            "version": version, "slots": 8, "state": state, "warmup_left_ms": 0, "seq": 1,
            "born": 1,
        });
        let key = format!("t-{target}");
        self.store.put("keyed.servers", &key, Some(&entry)).await;
    }

    /// Calls a router on a connection of its own; `None` when there is no answer.
    pub async fn call(
        address: SocketAddr,
        id: &str,
        (method, path, body): (&str, &str, &str),
        headers: &[(&str, &str)],
    ) -> Option<Reply> {
        send(address, request(id, (method, path, body), headers)).await
    }

    /// Calls the first router and closes the connection after a while.
    ///
    /// # Panics
    ///
    /// Panics when the router does not listen, or answers before.
    pub async fn call_and_disconnect(&self, method: &str, path: &str, after: Duration) {
        let req = request("leaves", (method, path, ""), &[]);
        let stream = TcpStream::connect(self.routers[0].listen).await;
        let stream = stream.expect("the router listens");
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("the connection is new");
        let connection = tokio::spawn(connection);
        let outcome = timeout(after, sender.send_request(req)).await;
        assert!(outcome.is_err(), "the answer came before the caller left");
        connection.abort();
    }

    /// Whether a router tells the balancer that it is ready.
    pub async fn is_ready(&self, router: usize) -> bool {
        let reply = get(self.routers[router].ready, "/").await;
        reply.is_some_and(|reply| reply.status == StatusCode::OK)
    }

    /// A router's metrics.
    ///
    /// # Panics
    ///
    /// Panics when they are not served.
    pub async fn metrics(&self, router: usize) -> String {
        self.get_page(router, "/metrics").await
    }

    /// A router's state dump.
    ///
    /// # Panics
    ///
    /// Panics when it is not served.
    pub async fn dump(&self, router: usize) -> String {
        self.get_page(router, "/dump").await
    }

    async fn get_page(&self, router: usize, path: &str) -> String {
        let reply = get(self.routers[router].metrics, path).await;
        let reply = reply.expect("the page is served");
        reply.body.expect("the answer is whole")
    }

    /// A router's log.
    ///
    /// # Panics
    ///
    /// Panics when it cannot be read.
    pub fn log(&self, router: usize) -> String {
        std::fs::read_to_string(&self.routers[router].log).expect("the log is readable")
    }
}

fn request(
    id: &str,
    (method, path, body): (&str, &str, &str),
    headers: &[(&str, &str)],
) -> Request<Full<Bytes>> {
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "spine.example")
        .header("ebonyfall-attempt-id", id);
    let key = format!("Bearer {TEAM_KEY}");
    for (name, value) in [("ebonyfall-deadline-ms", "2000"), ("authorization", &key)] {
        if !headers.iter().any(|(given, _)| *given == name) {
            req = req.header(name, value);
        }
    }
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(Full::from(body.to_owned()))
        .expect("the parts are valid")
}

async fn get(address: SocketAddr, path: &str) -> Option<Reply> {
    let req = Request::builder().uri(path).header("host", "x");
    send(address, req.body(Full::from("")).ok()?).await
}

async fn send(address: SocketAddr, req: Request<Full<Bytes>>) -> Option<Reply> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let sent = Instant::now();
    let res = sender.send_request(req).await.ok()?;
    let time_to_head = sent.elapsed();
    let (head, body) = res.into_parts();
    let body = body.collect().await;
    Some(Reply {
        status: head.status,
        time_to_head,
        headers: head.headers,
        body: body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned()),
    })
}
