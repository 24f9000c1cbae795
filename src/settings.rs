//! Settings of one process, read from an INI file.

use std::{
    fs, io,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    str::FromStr,
    time::Duration,
};

use ebonyfall_core::{
    budget::RetryBound,
    doc::KeyHash,
    ini::{self, Diagnostic, SectionReader, join_lines},
    name::{OperatorName, ProcessName, TargetName, ZoneName},
};
use ebonyfall_wire::auth::{Key, Keys};
use snafu::{ResultExt, Snafu};

use crate::logs::{Format, Levels};

/// Settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; give an existing file", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The file has faults.
    #[snafu(display("{}", join_lines(faults)))]
    Faults {
        /// Every fault found.
        faults: Vec<Diagnostic>,
    },
}

/// What every process is told.
#[derive(Debug, Clone)]
pub struct Common {
    /// The process's name.
    pub name: ProcessName,
    /// The zone that the process runs in.
    pub zone: ZoneName,
    /// Where `/metrics`, `/dump` and the admin API are served.
    pub admin: SocketAddr,
    /// Hashes of the operators' tokens: the current one, and the previous one during a rotation.
    pub operator_tokens: Vec<KeyHash>,
    /// Keys between the system's processes.
    pub keys: Keys,
    /// Base URL of the platform's log and VM list.
    pub platform: String,
    /// Shape of the log lines.
    pub log_format: Format,
    /// Levels of the log lines.
    pub log_levels: Levels,
    /// Where datagrams and peers' connections are taken; the port of `listen` by default.
    pub gossip: Option<SocketAddr>,
    /// Addresses of other processes, for a start during an outage of the log.
    pub seeds: Vec<SocketAddr>,
    /// How long a shutdown waits for running requests.
    pub drain: Duration,
}

/// Settings of a router.
#[derive(Debug, Clone)]
pub struct RouterConfig {
    /// What every process is told.
    pub common: Common,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Admin addresses of the processes that the router reports on.
    pub processes: Vec<SocketAddr>,
}

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// What every process is told.
    pub common: Common,
    /// Where routers connect.
    pub listen: SocketAddr,
    /// The target that the agent stands beside.
    pub target: TargetName,
    /// Base URL of the engine or service.
    pub backend: String,
}

/// Settings of a router on an entry VM whose targets register themselves.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryConfig {
    /// The process's name.
    pub name: ProcessName,
    /// The zone that the process runs in.
    pub zone: ZoneName,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the router is ready.
    pub ready: SocketAddr,
    /// Where `/metrics` is served.
    pub metrics: SocketAddr,
    /// Where the platform's log store is.
    pub store: SocketAddr,
    /// Where datagrams of other routers are taken.
    pub peers: SocketAddr,
    /// VMs of other routers, which take datagrams at the same port.
    pub seeds: Vec<IpAddr>,
    /// Time after which a leaving target must get no work.
    pub drain: Duration,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
    /// Time after which a key that was taken away must be refused.
    pub revocation: Duration,
    /// The fleet's bound on repeated requests.
    pub retry: RetryBound,
    /// Levels of the log lines.
    pub log_levels: Levels,
}

/// Settings of the operators' command line; options take precedence.
#[derive(Debug, Clone, Default)]
pub struct OperatorConfig {
    /// The operator's name, recorded with each change.
    pub name: Option<OperatorName>,
    /// Base URL of the platform's log.
    pub platform: Option<String>,
    /// File that holds the operators' token.
    pub token_file: Option<PathBuf>,
    /// Admin addresses of the processes.
    pub processes: Vec<SocketAddr>,
}

/// Reads the settings of the operators' command line.
///
/// # Errors
///
/// Fails when the file cannot be read or has faults.
pub fn operator(path: impl Into<PathBuf>) -> Result<OperatorConfig, SettingsError> {
    read(path.into(), "operator", |f| {
        Some(OperatorConfig {
            name: f.optional("name", "an operator's name", parsed),
            platform: f.optional("platform", URL, url),
            token_file: f.optional("token-file", "a file", |text| Some(text.into())),
            processes: f.list("processes", ADDRESSES, parsed),
        })
    })
}

/// Reads a router's settings.
///
/// # Errors
///
/// Fails when the file cannot be read or has faults.
pub fn router(path: impl Into<PathBuf>) -> Result<RouterConfig, SettingsError> {
    read(path.into(), "router", |f| {
        let common = common(f);
        let listen = f.required("listen", ADDRESS, parsed);
        let processes = f.list("processes", ADDRESSES, parsed);
        Some(RouterConfig {
            common: common?,
            listen: listen?,
            processes,
        })
    })
}

/// Reads the settings of a router on an entry VM.
///
/// # Errors
///
/// Fails when the file cannot be read or has faults.
pub fn entry(path: impl Into<PathBuf>) -> Result<EntryConfig, SettingsError> {
    read(path.into(), "entry", |f| {
        let name = f.required("name", "a process name", parsed);
        let zone = f.required("zone", "a zone's name", parsed);
        let listen = f.required("listen", ADDRESS, parsed);
        let ready = f.required("ready", ADDRESS, parsed);
        let metrics = f.required("metrics", ADDRESS, parsed);
        let store = f.required("store", ADDRESS, parsed);
        let peers = f.required("peers", ADDRESS, parsed);
        let seeds = f.optional("seeds", "addresses, separated by commas", seeds);
        let drain = f.required("drain-ms", MILLIS, millis);
        let grace = f.required("grace-s", SECONDS, seconds);
        let revocation = f.required("revocation-ms", MILLIS, millis);
        let ratio = f.required("retry-ratio", "a number such as 0.2", parsed);
        let slack = f.required("retry-slack", "a number such as 50", parsed);
        let window = f.required("retry-window-s", SECONDS, seconds);
        let levels = f.optional("log-levels", "levels such as info, carry=debug", parsed);
        Some(EntryConfig {
            name: name?,
            zone: zone?,
            listen: listen?,
            ready: ready?,
            metrics: metrics?,
            store: store?,
            peers: peers?,
            seeds: seeds.unwrap_or_default(),
            drain: drain?,
            grace: grace?,
            revocation: revocation?,
            retry: RetryBound {
                ratio: ratio?,
                slack: slack?,
                window: window?,
            },
            log_levels: levels.unwrap_or_else(default_levels),
        })
    })
}

/// Reads an agent's settings.
///
/// # Errors
///
/// Fails when the file cannot be read or has faults.
pub fn agent(path: impl Into<PathBuf>) -> Result<AgentConfig, SettingsError> {
    read(path.into(), "agent", |f| {
        let common = common(f);
        let listen = f.required("listen", ADDRESS, parsed);
        let target = f.required("target", "a target's name", parsed);
        let backend = f.required("backend", URL, url);
        Some(AgentConfig {
            common: common?,
            listen: listen?,
            target: target?,
            backend: backend?,
        })
    })
}

const ADDRESS: &str = "an IP address and port, such as 127.0.0.1:8080";
const ADDRESSES: &str = "IP addresses and ports, comma-separated";
const HASH: &str = "SHA-256 of the token as 64 hex digits";
const URL: &str = "a URL such as http://127.0.0.1:9000";
const KEY: &str = "32 hex digits";
const SECONDS: &str = "seconds, such as 8 or 0.5";
const MILLIS: &str = "milliseconds, such as 5000";

/// The ports that seeds name belong to another interface.
fn seeds(text: &str) -> Option<Vec<IpAddr>> {
    let names = text
        .split(',')
        .map(str::trim)
        .filter(|name| !name.is_empty());
    names
        .map(|name| parsed::<SocketAddr>(name).map(|address| address.ip()))
        .collect()
}

fn seconds(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}

fn millis(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.parse::<f64>().ok()? / 1_000.0).ok()
}

fn default_levels() -> Levels {
    "info".parse().expect("the literal is a level")
}

fn read<T>(
    path: PathBuf,
    kind: &str,
    own: impl Fn(&mut SectionReader<'_>) -> Option<T>,
) -> Result<T, SettingsError> {
    let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    let file = path.display().to_string();
    let sections =
        ini::sections(&file, &text).map_err(|faults| SettingsError::Faults { faults })?;
    let mut faults = Vec::new();
    let mut config = None;
    for section in &sections {
        let mut f = SectionReader::new(&file, section, &mut faults);
        if section.kind != kind {
            f.report(section.line, "", "another section", &format!("[{kind}]"));
            continue;
        }
        // Without the common part, the own keys are still read, so that one run shows every fault.
        config = own(&mut f);
        f.finish();
    }
    match config {
        Some(config) if faults.is_empty() => Ok(config),
        _ if faults.is_empty() => {
            let location = format!("[{kind}]");
            let allowed = format!("one [{kind}] section");
            let found = "nothing".to_owned();
            FaultsSnafu {
                faults: vec![Diagnostic {
                    file,
                    line: 1,
                    location,
                    found,
                    allowed,
                }],
            }
            .fail()
        }
        _ => FaultsSnafu { faults }.fail(),
    }
}

fn common(f: &mut SectionReader<'_>) -> Option<Common> {
    let name = f.required("name", "a process name", parsed);
    let zone = f.required("zone", "a zone's name", parsed);
    let admin = f.required("admin", ADDRESS, parsed);
    let token = f.required("operator-token", HASH, KeyHash::from_hex);
    let previous_token = f.optional("previous-operator-token", HASH, KeyHash::from_hex);
    let key = f.required("key", KEY, key);
    let previous = f.optional("previous-key", KEY, self::key);
    let platform = f.required("platform", URL, url);
    let log_format = f.optional("log-format", "json, terminal", parsed);
    let log_levels = f.optional("log-levels", "levels such as info, relay=debug", parsed);
    let gossip = f.optional("gossip", ADDRESS, parsed);
    let seeds = f.optional("seeds", "addresses, separated by commas", |text| {
        text.split(',').map(|seed| parsed(seed.trim())).collect()
    });
    let drain = f.optional("drain", "a duration such as 30s", |text| {
        text.strip_suffix('s')?
            .parse()
            .ok()
            .map(Duration::from_secs)
    });
    Some(Common {
        name: name?,
        zone: zone?,
        admin: admin?,
        operator_tokens: [Some(token?), previous_token]
            .into_iter()
            .flatten()
            .collect(),
        keys: Keys::new(key?, previous),
        platform: platform?,
        log_format: log_format.unwrap_or(Format::Json),
        log_levels: log_levels.unwrap_or_else(default_levels),
        gossip,
        seeds: seeds.unwrap_or_default(),
        drain: drain.unwrap_or(Duration::from_secs(30)),
    })
}

fn parsed<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

fn url(text: &str) -> Option<String> {
    let uri: http::Uri = text.parse().ok()?;
    (uri.scheme_str() == Some("http") && uri.authority().is_some())
        .then(|| text.trim_end_matches('/').to_owned())
}

fn key(text: &str) -> Option<Key> {
    // The number parser would also take a sign.
    if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    Some(Key::new(u128::from_str_radix(text, 16).ok()?.to_be_bytes()))
}
