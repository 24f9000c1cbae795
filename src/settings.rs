//! Settings of the programs, read from INI files with one section each.

use std::{
    fs, io,
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
    path::PathBuf,
    str::FromStr,
    time::Duration,
};

use ebonyfall_core::{
    budget::RetryBound,
    doc::KeyHash,
    ini::{self, Diagnostic, SectionReader, join_lines},
    name::{OperatorName, ProcessName, TargetName, ZoneName},
    readers::OrderBounds,
    usage::{reporter::KEPT_WINDOWS, window::WindowLength},
};
use ebonyfall_wire::auth::{Key, Keys};
use http::Uri;
use snafu::{ResultExt, Snafu};

use crate::{
    logs::{Format, Levels},
    usage::duty::UsageConfig,
};

/// Memory of the smallest VM that a router is meant for, in MB.
const DEFAULT_MEMORY_MB: usize = 160;
/// Usual soft limit on the descriptors of a process.
const DEFAULT_MAX_FDS: usize = 1_024;
/// Descriptors reserved for files.
const FILE_FDS: usize = 200;
/// Time after which a changed desired state must be in force, unless the settings state another one.
const DEFAULT_APPLY: Duration = Duration::from_secs(2);
/// Lowest value of the setting `apply-ms`. A router waits for a record for less than half of it, and a
/// read of another router takes up to 250 ms more.
const MIN_APPLY: Duration = Duration::from_millis(500);
/// Range of the setting `memory-mb`. An idle router alone takes 16 MB.
const MEMORY_MB: RangeInclusive<usize> = 64..=1 << 20;
/// Range of the setting `max-fds`; 200 descriptors are reserved for files.
const MAX_FDS: RangeInclusive<usize> = 300..=1 << 20;
/// Range of the settings for the time that callers have, in seconds.
const CALLER_SECONDS: RangeInclusive<u64> = 1..=600;
/// Range of the setting `max-fields`.
const MAX_FIELDS: RangeInclusive<usize> = 20..=1_000;

/// Failure to load a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; give an existing file", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file does not parse, or has unknown, missing or malformed keys.
    #[snafu(display("{}", join_lines(faults)))]
    Faults {
        /// Every fault found, with file and line.
        faults: Vec<Diagnostic>,
    },
}

/// What the machine grants to a router's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory of the process, in bytes; setting `memory-mb`, 160 MB by default.
    pub memory: usize,
    /// File descriptors of the process; setting `max-fds`, 1,024 by default.
    pub max_fds: usize,
}

impl MachineLimits {
    /// Most connections of callers at once. A request takes one descriptor for its caller and one for
    /// its target, so that callers get half of what is not reserved for files.
    pub fn max_callers(&self) -> usize {
        self.max_fds.saturating_sub(FILE_FDS) / 2
    }
}

/// Limits on callers that do not follow from the machine or from the desired state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerConfig {
    /// Most fields in the head of a request; setting `max-fields`, 100 by default. More are answered
    /// with 431. Each field takes several times its bytes in memory.
    pub max_fields: usize,
    /// Longest time for a body to arrive; setting `body-time-s`, 10 s by default.
    pub body_time: Duration,
    /// Lowest mean rate of a body after half of that time, in bytes per second; setting `body-rate`,
    /// 4,096 by default.
    pub body_rate: u64,
    /// Longest time for which a caller takes no byte of its answer; setting `stall-s`, 15 s by default.
    /// The buffers of a connection are small enough that a caller that reads 10 KB/s shows progress
    /// within that time.
    pub stall: Duration,
    /// Time after a request's deadline within which its caller has to have read the answer; setting
    /// `answer-grace-s`, 10 s by default.
    pub answer_grace: Duration,
}

impl Default for CallerConfig {
    fn default() -> Self {
        Self {
            max_fields: 100,
            body_time: Duration::from_secs(10),
            body_rate: 4 << 10,
            stall: Duration::from_secs(15),
            answer_grace: Duration::from_secs(10),
        }
    }
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            memory: DEFAULT_MEMORY_MB << 20,
            max_fds: DEFAULT_MAX_FDS,
        }
    }
}

/// Settings shared by routers and agents.
#[derive(Debug, Clone)]
pub struct CommonConfig {
    /// Name of the process, by which logs and other processes identify it.
    pub name: ProcessName,
    /// Availability zone that the process runs in.
    pub zone: ZoneName,
    /// Listen address of the admin interface: `/healthz`, `/metrics`, `/dump` and the configuration
    /// API.
    pub admin: SocketAddr,
    /// SHA-256 hashes of the accepted operators' tokens: the current one, and the previous one
    /// during a rotation.
    pub operator_tokens: Vec<KeyHash>,
    /// Keys that authenticate messages between processes: the current one, and the previous one
    /// during a rotation.
    pub keys: Keys,
    /// Base URL of the platform, which serves the log and the VM list.
    pub platform: String,
    /// Format of the log lines; JSON by default.
    pub log_format: Format,
    /// Lowest level that is logged, for each module; `info` by default.
    pub log_levels: Levels,
    /// Listen address for gossip datagrams and peers' connections; `None` stands for `listen`.
    pub gossip: Option<SocketAddr>,
    /// Gossip addresses of other processes, used to join when the log is unavailable at start.
    pub seeds: Vec<SocketAddr>,
    /// Maximum time that a shutdown waits for running requests; 30 s by default.
    pub drain: Duration,
}

/// Settings of a router.
#[derive(Debug, Clone)]
pub struct RouterConfig {
    /// Settings shared by routers and agents.
    pub common: CommonConfig,
    /// Listen address for callers' requests.
    pub listen: SocketAddr,
    /// Admin addresses of the processes that `/v1/status` queries.
    pub processes: Vec<SocketAddr>,
    /// What the machine grants to the process.
    pub machine: MachineLimits,
    /// Other limits on callers.
    pub callers: CallerConfig,
}

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// Settings shared by routers and agents.
    pub common: CommonConfig,
    /// Listen address for routers' requests.
    pub listen: SocketAddr,
    /// Target whose admission the agent controls.
    pub target: TargetName,
    /// Base URL of the engine or service that handles the requests.
    pub backend: Uri,
}

/// Settings of a router on an entry VM whose targets register themselves.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryConfig {
    /// Name of the process, by which logs and other processes identify it.
    pub name: ProcessName,
    /// Availability zone that the process runs in.
    pub zone: ZoneName,
    /// Listen address for callers' requests.
    pub listen: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// Listen address for `/metrics`.
    pub metrics: SocketAddr,
    /// Address of the platform's log store.
    pub store: SocketAddr,
    /// Listen address for datagrams from other routers.
    pub peers: SocketAddr,
    /// Addresses of other routers' VMs, which receive datagrams on the port of `peers`.
    pub seeds: Vec<IpAddr>,
    /// Time after which a leaving target must receive no more requests.
    pub drain: Duration,
    /// Time from the stop signal until the platform kills the process.
    pub grace: Duration,
    /// Times after which a changed desired state must be in force and a revoked API key must be
    /// refused; settings `apply-ms`, 2,000 ms by default, and `revocation-ms`.
    pub orders: OrderBounds,
    /// Limit on the retries that the whole fleet sends to one service.
    pub retry: RetryBound,
    /// Usage reports; `None` if the deployment has none.
    pub usage: Option<UsageConfig>,
    /// Whether requests wait for capacity of services whose targets state slots; on by default.
    pub dispatch: bool,
    /// Lowest level that is logged, for each module; `info` by default.
    pub log_levels: Levels,
    /// What the machine grants to the process.
    pub machine: MachineLimits,
    /// Other limits on callers.
    pub callers: CallerConfig,
}

/// Settings of the operators' command line. Command-line options take precedence; `None` means that
/// the option is required where it is needed.
#[derive(Debug, Clone, Default)]
pub struct OperatorConfig {
    /// Name of the operator, recorded with each published change.
    pub name: Option<OperatorName>,
    /// Base URL of the platform, which serves the log.
    pub platform: Option<String>,
    /// File with the operators' token for the admin interfaces.
    pub token_file: Option<PathBuf>,
    /// Admin addresses of the processes that `status` queries.
    pub processes: Vec<SocketAddr>,
}

/// Loads the settings of the operators' command line from its `[operator]` section.
///
/// # Errors
///
/// Fails if the file cannot be read or has faults.
pub fn operator(path: impl Into<PathBuf>) -> Result<OperatorConfig, SettingsError> {
    load(path.into(), "operator", |f| {
        Some(OperatorConfig {
            name: f.optional("name", "an operator's name", parse),
            platform: f.optional("platform", URL, parse_url),
            token_file: f.optional("token-file", "a file", |text| Some(text.into())),
            processes: f.list("processes", ADDRESSES, parse),
        })
    })
}

/// Loads the settings of a router from its `[router]` section.
///
/// # Errors
///
/// Fails if the file cannot be read or has faults.
pub fn router(path: impl Into<PathBuf>) -> Result<RouterConfig, SettingsError> {
    load(path.into(), "router", |f| {
        let common = parse_common(f);
        let listen = f.required("listen", ADDRESS, parse);
        let processes = f.list("processes", ADDRESSES, parse);
        let machine = parse_machine(f);
        let callers = parse_callers(f);
        Some(RouterConfig {
            common: common?,
            listen: listen?,
            processes,
            machine,
            callers,
        })
    })
}

/// Loads the settings of a router on an entry VM from its `[entry]` section.
///
/// # Errors
///
/// Fails if the file cannot be read or has faults.
pub fn entry(path: impl Into<PathBuf>) -> Result<EntryConfig, SettingsError> {
    load(path.into(), "entry", |f| {
        let name = f.required("name", "a process name", parse);
        let zone = f.required("zone", "a zone's name", parse);
        let listen = f.required("listen", ADDRESS, parse);
        let ready = f.required("ready", ADDRESS, parse);
        let metrics = f.required("metrics", ADDRESS, parse);
        let store = f.required("store", ADDRESS, parse);
        let peers = f.required("peers", ADDRESS, parse);
        let seeds = f.optional("seeds", "addresses, separated by commas", parse_seeds);
        let drain = f.required("drain-ms", MILLIS, parse_millis);
        let grace = f.required("grace-s", SECONDS, parse_seconds);
        let revocation = f.required("revocation-ms", MILLIS, parse_millis);
        let apply = f.optional("apply-ms", APPLY_MILLIS, parse_apply);
        let ratio = f.required("retry-ratio", "a number such as 0.2", parse);
        let slack = f.required("retry-slack", "a number such as 50", parse);
        let window = f.required("retry-window-s", SECONDS, parse_seconds);
        let usage = parse_usage(f);
        let dispatch = f.optional("dispatch", "on, off", parse_switch);
        let levels = f.optional("log-levels", "levels such as info, carry=debug", parse);
        let machine = parse_machine(f);
        let callers = parse_callers(f);
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
            orders: OrderBounds {
                apply: apply.unwrap_or(DEFAULT_APPLY),
                revocation: revocation?,
            },
            retry: RetryBound {
                ratio: ratio?,
                slack: slack?,
                window: window?,
            },
            usage,
            dispatch: dispatch.unwrap_or(true),
            log_levels: levels.unwrap_or_else(default_levels),
            machine,
            callers,
        })
    })
}

/// Loads the settings of an agent from its `[agent]` section.
///
/// # Errors
///
/// Fails if the file cannot be read or has faults.
pub fn agent(path: impl Into<PathBuf>) -> Result<AgentConfig, SettingsError> {
    load(path.into(), "agent", |f| {
        let common = parse_common(f);
        let listen = f.required("listen", ADDRESS, parse);
        let target = f.required("target", "a target's name", parse);
        let backend = f.required("backend", URL, parse_uri);
        Some(AgentConfig {
            common: common?,
            listen: listen?,
            target: target?,
            backend: backend?,
        })
    })
}

/// Keys of the settings of usage reports.
const USAGE_KEYS: [&str; 5] = [
    "usage-address",
    "usage-window-s",
    "usage-lease-ms",
    "usage-late-s",
    "usage-calls-per-s",
];
/// Shortest window that is accepted.
const MIN_USAGE_WINDOW: Duration = Duration::from_millis(100);
/// Shortest lease that is accepted. 750 ms of it are kept for the last call and as a margin, and
/// renewals need a third of it.
const MIN_USAGE_LEASE: Duration = Duration::from_millis(1_500);

// Descriptions of allowed values, shown in diagnostics.
const ADDRESS: &str = "an IP address and port, such as 127.0.0.1:8080";
const ADDRESSES: &str = "IP addresses and ports, comma-separated";
const TOKEN_HASH: &str = "SHA-256 of the token as 64 hex digits";
const URL: &str = "a URL such as http://127.0.0.1:9000";
const PEER_KEY: &str = "32 hex digits";
const SECONDS: &str = "seconds, such as 8 or 0.5";
const APPLY_MILLIS: &str = "milliseconds, at least 500";
const MILLIS: &str = "milliseconds, such as 5000";

/// Parses the addresses of other routers and drops their ports, which belong to another interface.
fn parse_seeds(text: &str) -> Option<Vec<IpAddr>> {
    let seeds = text
        .split(',')
        .map(str::trim)
        .filter(|seed| !seed.is_empty());
    seeds
        .map(|seed| parse::<SocketAddr>(seed).map(|address| address.ip()))
        .collect()
}

fn parse_seconds(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}

fn parse_switch(text: &str) -> Option<bool> {
    match text {
        "on" => Some(true),
        "off" => Some(false),
        _ => None,
    }
}

fn parse_apply(text: &str) -> Option<Duration> {
    parse_millis(text).filter(|apply| *apply >= MIN_APPLY)
}

fn parse_millis(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.parse::<f64>().ok()? / 1_000.0).ok()
}

fn default_levels() -> Levels {
    "info".parse().expect("the literal is a level")
}

fn load<T>(
    path: PathBuf,
    kind: &str,
    parse_section: impl Fn(&mut SectionReader<'_>) -> Option<T>,
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
        // `parse_section` reads every key before it fails, so that one run reports every fault.
        config = parse_section(&mut f);
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

/// Parses the settings of usage reports, which are all there or all absent. `None` if they are
/// absent, or have faults, which are reported.
fn parse_usage(f: &mut SectionReader<'_>) -> Option<UsageConfig> {
    if !USAGE_KEYS.iter().any(|key| f.has(key)) {
        return None;
    }
    let platform = f.required("usage-address", ADDRESS, parse);
    let window = f.required("usage-window-s", "seconds, 0.1 or more", |text| {
        let window = parse_seconds(text)?;
        WindowLength::new(window).filter(|_| window >= MIN_USAGE_WINDOW)
    });
    let lease = f.required("usage-lease-ms", "milliseconds, 1500 or more", |text| {
        parse_millis(text).filter(|lease| *lease >= MIN_USAGE_LEASE)
    });
    let latest = window.map(|window| window.end((KEPT_WINDOWS / 2 - 1).into()));
    let allowed = "seconds, above 0 and at most 16 windows";
    let lateness = f.required("usage-late-s", allowed, |text| {
        let lateness = parse_seconds(text)?;
        let fits = latest.is_none_or(|latest| lateness <= latest);
        (fits && !lateness.is_zero()).then_some(lateness)
    });
    // The platform states its rates with a fraction, which is dropped.
    let calls_per_s = f.required("usage-calls-per-s", "a number, 1 or more", |text| {
        let whole = text
            .split_once('.')
            .map_or(text, |(whole, _fraction)| whole);
        parse::<f64>(text)?;
        parse::<u32>(whole).filter(|calls| *calls >= 1)
    });
    Some(UsageConfig {
        platform: platform?,
        window: window?,
        lease: lease?,
        lateness: lateness?,
        calls_per_s: calls_per_s?,
    })
}

fn parse_common(f: &mut SectionReader<'_>) -> Option<CommonConfig> {
    let name = f.required("name", "a process name", parse);
    let zone = f.required("zone", "a zone's name", parse);
    let admin = f.required("admin", ADDRESS, parse);
    let token = f.required("operator-token", TOKEN_HASH, KeyHash::from_hex);
    let previous_token = f.optional("previous-operator-token", TOKEN_HASH, KeyHash::from_hex);
    let key = f.required("key", PEER_KEY, parse_key);
    let previous = f.optional("previous-key", PEER_KEY, parse_key);
    let platform = f.required("platform", URL, parse_url);
    let log_format = f.optional("log-format", "json, terminal", parse);
    let log_levels = f.optional("log-levels", "levels such as info, relay=debug", parse);
    let gossip = f.optional("gossip", ADDRESS, parse);
    let seeds = f.optional("seeds", "addresses, separated by commas", |text| {
        text.split(',').map(|seed| parse(seed.trim())).collect()
    });
    let drain = f.optional("drain", "a duration such as 30s", |text| {
        text.strip_suffix('s')?
            .parse()
            .ok()
            .map(Duration::from_secs)
    });
    Some(CommonConfig {
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

fn parse_machine(f: &mut SectionReader<'_>) -> MachineLimits {
    let default = MachineLimits::default();
    let memory = f.optional("memory-mb", "megabytes from 64 to 1048576", |text| {
        parse(text).filter(|megabytes| MEMORY_MB.contains(megabytes))
    });
    let max_fds = f.optional("max-fds", "descriptors from 300 to 1048576", |text| {
        parse(text).filter(|count| MAX_FDS.contains(count))
    });
    MachineLimits {
        memory: memory.map_or(default.memory, |megabytes: usize| megabytes << 20),
        max_fds: max_fds.unwrap_or(default.max_fds),
    }
}

fn parse_callers(f: &mut SectionReader<'_>) -> CallerConfig {
    let default = CallerConfig::default();
    let mut seconds = |name: &'static str, default: Duration| {
        let allowed = "seconds from 1 to 600";
        let found = f.optional(name, allowed, |text| {
            parse_seconds(text).filter(|time| CALLER_SECONDS.contains(&time.as_secs()))
        });
        found.unwrap_or(default)
    };
    let body_time = seconds("body-time-s", default.body_time);
    let stall = seconds("stall-s", default.stall);
    let answer_grace = seconds("answer-grace-s", default.answer_grace);
    let max_fields = f.optional("max-fields", "fields from 20 to 1000", |text| {
        parse(text).filter(|count| MAX_FIELDS.contains(count))
    });
    let body_rate = f.optional("body-rate", "bytes per second, at least 1", |text| {
        parse(text).filter(|rate: &u64| *rate > 0)
    });
    CallerConfig {
        max_fields: max_fields.unwrap_or(default.max_fields),
        body_time,
        body_rate: body_rate.unwrap_or(default.body_rate),
        stall,
        answer_grace,
    }
}

fn parse<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

fn parse_uri(text: &str) -> Option<Uri> {
    let uri: Uri = text.parse().ok()?;
    (uri.scheme_str() == Some("http") && uri.authority().is_some()).then_some(uri)
}

fn parse_url(text: &str) -> Option<String> {
    parse_uri(text).map(|_valid| text.trim_end_matches('/').to_owned())
}

fn parse_key(text: &str) -> Option<Key> {
    // `from_str_radix` would also accept a sign.
    if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    Some(Key::new(u128::from_str_radix(text, 16).ok()?.to_be_bytes()))
}
