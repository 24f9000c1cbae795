//! Small deployment on loopback: routers and agents run as processes, the platform, engines and
//! services are simulated in this process.

use std::{
    fmt::Write as _,
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    ops::Range,
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use ebonyfall::{
    operate::{self, PublishRequest},
    platform::Platform as Client,
};
use socket2::{Domain, Socket, Type};

use crate::{
    engine::{self, EngineConfig},
    host::Host,
    log::LogLimits,
    platform::Platform,
    service::Service,
};

/// API key of the team `desks`, sent as bearer token.
pub const TEAM_KEY: &str = "desks-key";
/// SHA-256 of [`TEAM_KEY`].
const TEAM_KEY_HASH: &str = "7ee51ecc5369a0e44d1d8ddca3dd56e8011a1e2e601cacc7af50f6666ceaf948";
/// Token that authorizes operators at every process of a deployment.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Time limit for a process to listen after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Size and configuration of a deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Folder with the programs `ebonyfall-agent` and `ebonyfall-router`.
    pub programs: PathBuf,
    /// Folder for the daemons' settings and log files.
    pub folder: PathBuf,
    /// Zone names, assigned in turn to targets and routers; at least one.
    pub zones: Vec<String>,
    /// Number of engines of version `v1`, each with an agent.
    pub engines: u32,
    /// Number of plain services, each with an agent.
    pub services: u32,
    /// Number of routers.
    pub routers: u32,
    /// Behaviour of the engines of version `v1`.
    pub engine: EngineConfig,
    /// Limits of the platform's log.
    pub log: LogLimits,
    /// Number and behaviour of additional engines of version `v2`.
    pub new_engines: (u32, EngineConfig),
    /// Sections added to the generated configuration document, such as routes.
    pub document: String,
    /// Lines added to the settings of each router.
    pub router_settings: String,
}

/// A router's or agent's process, which is killed on drop.
#[derive(Debug)]
pub struct Daemon {
    /// Name in the daemon's settings, such as `router-0`.
    pub name: String,
    /// Address on which the daemon accepts requests.
    pub listen: SocketAddr,
    /// Address on which the daemon serves operators.
    pub admin: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl Daemon {
    fn start(
        program: &Path,
        name: &str,
        addresses: [SocketAddr; 2],
        settings: PathBuf,
    ) -> io::Result<Self> {
        let child = spawn(program, &settings)?;
        let [listen, admin] = addresses;
        let program = program.to_owned();
        Ok(Self {
            name: name.to_owned(),
            listen,
            admin,
            program,
            settings,
            child,
        })
    }

    /// Returns the id of the process; a restart changes it.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the largest amount of memory that the process has held, in bytes. `None` if it has
    /// ended.
    pub fn peak_memory(&self) -> Option<u64> {
        process_memory(self.id())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _dead = self.child.kill();
        let _status = self.child.wait();
    }

    /// Sends `TERM`, on which the process shuts down gracefully; does not wait for its end.
    ///
    /// # Errors
    ///
    /// Fails when the `kill` command cannot be started.
    pub fn terminate(&self) -> io::Result<()> {
        let id = self.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().map(drop)
    }

    /// Kills the process and starts it again with the same settings.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = spawn(&self.program, &self.settings)?;
        Ok(())
    }

    /// Waits for the process to end and returns its exit code, or `None` if a signal ended it.
    ///
    /// # Errors
    ///
    /// Fails when the system cannot report the exit status.
    pub fn wait(&mut self) -> io::Result<Option<i32>> {
        Ok(self.child.wait()?.code())
    }
}

/// Returns the largest amount of memory that a process has held, in bytes. `None` if it has ended.
pub(crate) fn process_memory(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: u64 = peak.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib << 10)
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, settings: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))?;
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
}

/// A running deployment; its daemons are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// Handle to the simulated platform.
    pub platform: Platform,
    /// Base URL of the simulated platform, without a trailing slash.
    pub platform_url: String,
    /// Addresses and handles of the engines, those of version `v1` first.
    pub engines: Vec<(SocketAddr, Host)>,
    /// Handles to the services and their servers.
    pub services: Vec<(Service, Host)>,
    /// Addresses of the engines followed by those of the services, in the order of `agents`.
    pub backends: Vec<SocketAddr>,
    /// Agents, in the order of `engines` followed by `services`.
    pub agents: Vec<Daemon>,
    /// Routers, in the order of their names.
    pub routers: Vec<Daemon>,
    /// Configuration document that was published at the start.
    pub document: String,
}

/// Ports for servers, below the range of outgoing connections: otherwise such a connection could
/// take the port of a simulated server or daemon while that restarts.
const PORT_RANGE: Range<u32> = 12_000..32_000;
/// Number of ports that this process has tried so far.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port is free for TCP and UDP.
///
/// The ports lie below the range that the system uses for outgoing connections, which otherwise
/// take a port before the process for it has started. Each port is returned once, until the range
/// is used up; the first one depends on the process id.
///
/// # Panics
///
/// Panics when no port is free.
pub fn free_address() -> SocketAddr {
    // Processes that run at the same time start at distant ports.
    let start = process::id().wrapping_mul(499);
    for _ in PORT_RANGE {
        let next = start.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = PORT_RANGE.start + next % (PORT_RANGE.end - PORT_RANGE.start);
        let port = u16::try_from(port).expect("the range holds port numbers");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        // Daemons also receive datagrams on their TCP port.
        if tcp_is_free(address).is_ok() && udp_is_free(port).is_ok_and(|is_free| is_free) {
            return address;
        }
    }
    panic!("loopback has no free port in the range for servers")
}

/// Checks that a listener can be bound to `address`.
///
/// The check does not listen: a process that another thread starts at this moment keeps a copy of
/// the socket until it has loaded its program, and the copy of a listening socket would make the
/// next bind fail.
fn tcp_is_free(address: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}

/// Checks in the kernel's list of UDP sockets that no address has `port`. Binding a socket as a
/// check would leave a copy of it in a process that another thread starts.
fn udp_is_free(port: u16) -> io::Result<bool> {
    let sockets = fs::read_to_string("/proc/net/udp")?;
    let suffix = format!(":{port:04X}");
    let mut local_addresses = sockets
        .lines()
        .filter_map(|line| line.split_ascii_whitespace().nth(1));
    Ok(!local_addresses.any(|address| address.ends_with(&suffix)))
}

impl Deployment {
    /// Publishes a configuration document; `document` stays unchanged.
    ///
    /// # Errors
    ///
    /// Fails when the document is invalid or the platform does not accept it.
    pub async fn publish(&self, text: &str) -> io::Result<()> {
        publish(&Client::new(&self.platform_url), text).await
    }

    /// Starts all servers and daemons, publishes the document, and waits until every daemon
    /// listens.
    ///
    /// # Errors
    ///
    /// Fails when a program cannot be started or does not listen in time, or when the document is
    /// not accepted.
    pub async fn start(plan: &Plan) -> io::Result<Self> {
        let platform_address = free_address();
        let platform = Platform::start(platform_address, plan.log);
        let platform_url = format!("http://{platform_address}");
        wait_for(platform_address)?;

        let mut document = plan.document_head();
        let mut engines = Vec::new();
        let mut services = Vec::new();
        let mut agents = Vec::new();
        let old = (
            plan.engines,
            &plan.engine,
            "engine",
            "model = labels\nversion = v1\n",
        );
        let (count, new) = &plan.new_engines;
        let new = (*count, new, "new", "model = labels\nversion = v2\n");
        for (count, cfg, kind, software) in [old, new] {
            for index in 0..count {
                let address = free_address();
                engines.push((address, engine::start(address, cfg.clone())));
                let name = format!("{kind}-{index}");
                agents.push((
                    name,
                    address,
                    plan.zone(index),
                    software,
                    cfg.slots,
                    cfg.cold_slots,
                ));
            }
        }
        for index in 0..plan.services {
            let address = free_address();
            services.push(Service::start(address));
            agents.push((
                format!("service-{index}"),
                address,
                plan.zone(index),
                "service = print\n",
                64,
                64,
            ));
        }
        let backends = agents.iter().map(|agent| agent.1).collect();
        let mut daemons = Vec::new();
        for (name, backend, zone, software, slots, cold_slots) in agents {
            let addresses = [free_address(), free_address()];
            let _infallible = write!(
                document,
                "[target {name}]\nvm = vm-{name}\nzone = {zone}\nagent = {}\n{software}slots = {slots}\ncold-slots = {cold_slots}\n",
                addresses[0]
            );
            let own_settings = format!("target = {name}\nbackend = http://{backend}\n");
            let settings = plan.write_settings(
                "agent",
                &name,
                &zone,
                addresses,
                &platform_url,
                &own_settings,
            )?;
            let program = plan.programs.join("ebonyfall-agent");
            daemons.push(Daemon::start(&program, &name, addresses, settings)?);
        }
        let client = Client::new(&platform_url);
        publish(&client, &document).await?;

        let routers = plan.start_routers(&daemons, &platform_url)?;
        for daemon in daemons.iter().chain(&routers) {
            wait_for(daemon.listen)?;
        }
        // Routers connect to the agents after they have read the document.
        tokio::time::sleep(Duration::from_millis(1200)).await;
        Ok(Self {
            platform,
            platform_url,
            engines,
            services,
            backends,
            agents: daemons,
            routers,
            document,
        })
    }
}

async fn publish(platform: &Client, text: &str) -> io::Result<()> {
    let author = "deploy".parse().map_err(io::Error::other)?;
    let req = PublishRequest {
        file: "deployment",
        text,
        author,
        base: None,
        initial: false,
    };
    operate::publish(platform, req)
        .await
        .map_err(io::Error::other)?;
    Ok(())
}

impl Plan {
    /// Starts the routers. Their settings list the admin addresses of all processes, and the first
    /// agents as seeds.
    fn start_routers(&self, agents: &[Daemon], platform_url: &str) -> io::Result<Vec<Daemon>> {
        let router_addresses: Vec<_> = (0..self.routers)
            .map(|_| [free_address(), free_address()])
            .collect();
        let admins = agents.iter().map(|agent| agent.admin);
        let admins = admins.chain(router_addresses.iter().map(|[_, admin]| *admin));
        let admins: Vec<_> = admins.map(|address| address.to_string()).collect();
        let seeds: Vec<_> = agents
            .iter()
            .take(3)
            .map(|agent| agent.listen.to_string())
            .collect();
        let mut own_settings = format!("processes = {}\n", admins.join(", "));
        if !seeds.is_empty() {
            let _infallible = writeln!(own_settings, "seeds = {}", seeds.join(", "));
        }
        let mut routers = Vec::new();
        for (index, addresses) in (0..).zip(router_addresses) {
            let name = format!("router-{index}");
            let settings = self.write_settings(
                "router",
                &name,
                &self.zone(index),
                addresses,
                platform_url,
                &format!(
                    "{own_settings}gossip = {}\n{}",
                    free_address(),
                    self.router_settings
                ),
            )?;
            let program = self.programs.join("ebonyfall-router");
            routers.push(Daemon::start(&program, &name, addresses, settings)?);
        }
        Ok(routers)
    }

    fn zone(&self, index: u32) -> String {
        self.zones[index as usize % self.zones.len()].clone()
    }

    fn document_head(&self) -> String {
        let mut text = String::from("[environment]\nname = trial\n[model labels]\nversion = v1\n");
        for zone in &self.zones {
            let _infallible = write!(text, "[zone {zone}]\nregion = south\n");
        }
        let _infallible = write!(
            text,
            "[team desks]\nkeys = {TEAM_KEY_HASH}\n{}",
            self.document
        );
        if self.services > 0 {
            text.push_str(
                "[route order]\nmethod = POST\npath = /print/orders\nservice = print\nidempotent = no\n\
                 [route status]\nmethod = GET\npath = /print/status\nservice = print\nidempotent = yes\n",
            );
        }
        text
    }

    fn write_settings(
        &self,
        kind: &str,
        name: &str,
        zone: &str,
        [listen, admin]: [SocketAddr; 2],
        platform: &str,
        own_settings: &str,
    ) -> io::Result<PathBuf> {
        let path = self.folder.join(format!("{name}.ini"));
        let text = format!(
            "[{kind}]\nname = {name}\nzone = {zone}\nlisten = {listen}\nadmin = {admin}\n\
             operator-token = {OPERATOR_TOKEN_HASH}\n\
             previous-operator-token = {PREVIOUS_TOKEN_HASH}\nkey = 000102030405060708090a0b0c0d0e0f\n\
             platform = {platform}\n{own_settings}"
        );
        fs::write(&path, text)?;
        Ok(path)
    }
}

/// SHA-256 of [`OPERATOR_TOKEN`].
const OPERATOR_TOKEN_HASH: &str =
    "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";

/// Operators' token before the last rotation, which daemons still accept.
pub const PREVIOUS_TOKEN: &str = "previous-token";
/// SHA-256 of [`PREVIOUS_TOKEN`].
const PREVIOUS_TOKEN_HASH: &str =
    "728a6eebdf2c29c8f6afaad2f06f2e8255aef713e79c0efed09d84ec2fc553f1";

fn wait_for(address: SocketAddr) -> io::Result<()> {
    let start = Instant::now();
    while TcpStream::connect(address).is_err() {
        if start.elapsed() > START_TIMEOUT {
            return Err(io::Error::other(format!(
                "server did not start in time: nothing listens on {address}"
            )));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
