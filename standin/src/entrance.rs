//! Deployment for entry routers: the routers run as processes, the store and the targets are
//! simulated in this process.

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
    deploy::process_memory,
    keyed::KeyedStore,
    memory::PromptCaches,
    proxy::Proxy,
    registered::{ModelServer, RegisteredTarget},
};

/// API key of the team `desk` in the first desired state.
pub const TEAM_KEY: &str = "key-of-the-desk";
/// Most routers that each router gets as gossip seeds.
const MAX_SEEDS: usize = 3;
/// Time limit for connecting to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on bodies, unless a test sets another one, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Timeout of all routes, unless a test sets another one.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for a router to become ready after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A router's answer to one request.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Time from sending the request on an open connection to receiving the answer's headers.
    pub time_to_head: Duration,
    /// HTTP headers of the answer.
    pub headers: HeaderMap,
    /// Complete body, or an error when the connection closed within it.
    pub body: Result<String, hyper::Error>,
}

/// An entry router that runs as a process of its own, which is killed on drop.
#[derive(Debug)]
pub struct Router {
    /// Address on which the router accepts requests of callers.
    pub listen: SocketAddr,
    /// Address on which the router answers readiness checks.
    pub ready: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // Killing fails when the process has already exited; waiting reaps it in either case.
            let _ended = process.kill().is_err();
            let _reaped = process.wait().is_err();
        }
    }
}

/// A running deployment; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct EntryDeployment {
    /// Simulated store, which holds the desired state and the target entries.
    pub store: KeyedStore,
    /// Simulated targets; the target with index `i` is in zone `z{i}`.
    pub targets: Vec<RegisteredTarget>,
    /// Proxies in front of the targets, in the order of `targets`.
    pub proxies: Vec<Proxy>,
    /// Proxies between the routers and the store, in the order of `routers`.
    pub store_proxies: Vec<Proxy>,
    /// Router processes; the router with index `i` is named `e-{i}`.
    pub routers: Vec<Router>,
    /// Addresses under which routers reach the targets, which are those of `proxies`.
    pub target_addresses: Vec<SocketAddr>,
    program: PathBuf,
}

impl EntryDeployment {
    /// Starts the targets, then routers that run `program`, and waits until these are ready.
    /// Settings and logs of the routers are written to `folder`.
    ///
    /// # Panics
    ///
    /// Panics when a process does not start or become ready.
    pub async fn start(program: &Path, folder: &Path, routers: usize, targets: usize) -> Self {
        Self::start_with(program, folder, (routers, targets), "").await
    }

    /// Like [`Self::start`], with these numbers of routers and targets, and with lines that are
    /// added to the settings of each router.
    ///
    /// # Panics
    ///
    /// Panics like [`Self::start`].
    pub async fn start_with(
        program: &Path,
        folder: &Path,
        (routers, targets): (usize, usize),
        router_settings: &str,
    ) -> Self {
        let (store, store_address) = KeyedStore::start().await;
        let mut env = Self {
            store,
            targets: Vec::new(),
            proxies: Vec::new(),
            store_proxies: Vec::new(),
            routers: Vec::new(),
            target_addresses: Vec::new(),
            program: program.to_owned(),
        };
        for target in 0..targets {
            let (registered, target_address) = RegisteredTarget::start().await;
            let (proxy, address) = Proxy::start(target_address).await;
            env.targets.push(registered);
            env.proxies.push(proxy);
            env.target_addresses.push(address);
            env.register(target, "ready").await;
        }
        env.put_desired_state(1, &[TEAM_KEY]).await;
        let peers_port = free_address().port();
        // All routers receive gossip on the same port, so each needs its own IP address.
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
                 retry-slack = 58\nretry-window-s = 10\n{router_settings}"
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
                    "the router did not become ready in time"
                );
                sleep(Duration::from_millis(20)).await;
            }
        }
        env
    }

    /// Makes each target a model server whose cache holds up to `capacity_tokens` prompt tokens.
    pub fn set_model_servers(&self, capacity_tokens: u64) -> PromptCaches {
        let prompt_caches = PromptCaches::start(capacity_tokens);
        for (target, address) in self.targets.iter().zip(&self.target_addresses) {
            target.set_model_server(ModelServer {
                prompt_caches: prompt_caches.clone(),
                address: *address,
            });
        }
        prompt_caches
    }

    /// Starts a router's process again if it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the log file cannot be opened or the program cannot be started.
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

    /// Sends a signal such as `TERM` to a router's process; does nothing if it has ended.
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
                "kill could not signal the router's process"
            );
        }
    }

    /// Returns whether a router's process has ended.
    pub fn has_ended(&mut self, router: usize) -> bool {
        let process = self.routers[router].process.as_mut();
        process.is_none_or(|process| process.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Writes a desired state in which the team `desk` has these API keys.
    pub async fn put_desired_state(&self, version: u64, keys: &[&str]) {
        self.put_desired_state_with_timeout(version, keys, ROUTE_TIMEOUT)
            .await;
    }

    /// Like [`Self::put_desired_state`], with this timeout of all routes.
    pub async fn put_desired_state_with_timeout(
        &self,
        version: u64,
        keys: &[&str],
        timeout: Duration,
    ) {
        self.put_desired_state_with(version, keys, timeout, MAX_BODY_BYTES)
            .await;
    }

    /// Like [`Self::put_desired_state`], with this timeout of all routes and this limit on bodies.
    pub async fn put_desired_state_with(
        &self,
        version: u64,
        keys: &[&str],
        timeout: Duration,
        max_body_bytes: usize,
    ) {
        let timeout_ms = timeout.as_millis();
        let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
            json!({
                "name": name, "host": "spine.example", "path_prefix": format!("/{name}/"),
                "type": kind, "timeout_ms": timeout_ms, "slo_ms": 500, "priority": 0,
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
                "max_header_bytes": 16_384, "max_body_bytes": max_body_bytes,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
            },
            "tenants": [{ "name": "desk", "api_keys": keys }],
        });
        self.store.put("keyed.op", "config", Some(&state)).await;
    }

    /// Writes a target's entry in the store, with version `v1` of its software.
    pub async fn register(&self, target: usize, state: &str) {
        self.register_version(target, state, "v1").await;
    }

    /// Writes a target's entry in the store, with this version of its software.
    pub async fn register_version(&self, target: usize, state: &str, version: &str) {
        let entry = json!({
            "service": "plain", "addr": self.target_addresses[target], "zone": format!("z{target}"),
            "version": version, "slots": 8, "state": state, "warmup_left_ms": 0, "seq": 1,
            "born": 1,
        });
        let key = format!("t-{target}");
        self.store.put("keyed.servers", &key, Some(&entry)).await;
    }

    /// Writes an entry for a target of the service that this deployment did not start.
    pub async fn register_address(&self, name: &str, address: SocketAddr) {
        let entry = json!({
            "service": "plain", "addr": address, "zone": "z0", "version": "v1", "slots": 8,
            "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1,
        });
        self.store.put("keyed.servers", name, Some(&entry)).await;
    }

    /// Returns the id of a router's process; a restart changes it. `None` if it was never started.
    pub fn process_id(&self, router: usize) -> Option<u32> {
        self.routers[router].process.as_ref().map(Child::id)
    }

    /// Returns the largest amount of memory that a router's process has held, in bytes. `None` if
    /// it has ended.
    pub fn peak_memory(&self, router: usize) -> Option<u64> {
        let process = self.routers[router].process.as_ref()?;
        process_memory(process.id())
    }

    /// Sends a request on a new connection to `address`. Returns `None` when the connection fails
    /// or closes before an answer.
    pub async fn call(
        address: SocketAddr,
        id: &str,
        (method, path, body): (&str, &str, &str),
        headers: &[(&str, &str)],
    ) -> Option<Reply> {
        send(address, request(id, (method, path, body), headers)).await
    }

    /// Sends a request to the first router and closes the connection after `after`.
    ///
    /// # Panics
    ///
    /// Panics when the router does not accept the connection, or answers within `after`.
    pub async fn call_and_disconnect(&self, method: &str, path: &str, after: Duration) {
        let req = request("leaves", (method, path, ""), &[]);
        let stream = TcpStream::connect(self.routers[0].listen).await;
        let stream = stream.expect("the router listens");
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("the connection is new");
        let connection = tokio::spawn(connection);
        let outcome = timeout(after, sender.send_request(req)).await;
        assert!(
            outcome.is_err(),
            "the router answered before the caller disconnected"
        );
        connection.abort();
    }

    /// Returns whether a router's readiness check, which load balancers query, succeeds.
    pub async fn is_ready(&self, router: usize) -> bool {
        let reply = get(self.routers[router].ready, "/").await;
        reply.is_some_and(|reply| reply.status == StatusCode::OK)
    }

    /// Returns a router's metrics in the text format.
    ///
    /// # Panics
    ///
    /// Panics when the router does not answer or its answer is incomplete.
    pub async fn metrics(&self, router: usize) -> String {
        self.get_page(router, "/metrics").await
    }

    /// Returns a router's state dump.
    ///
    /// # Panics
    ///
    /// Panics when the router does not answer or its answer is incomplete.
    pub async fn dump(&self, router: usize) -> String {
        self.get_page(router, "/dump").await
    }

    /// Address at which a router serves its metrics and its dump.
    pub fn metrics_address(&self, router: usize) -> SocketAddr {
        self.routers[router].metrics
    }

    async fn get_page(&self, router: usize, path: &str) -> String {
        let reply = get(self.routers[router].metrics, path).await;
        let reply = reply.expect("the page is served");
        reply.body.expect("the answer is whole")
    }

    /// Returns what a router has logged, over all its starts.
    ///
    /// # Panics
    ///
    /// Panics when the log file cannot be read.
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
