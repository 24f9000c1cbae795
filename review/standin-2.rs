//! Small stand-ins of the platform's store, of servers and of clients, on loopback addresses, and the cases
//! that use them. Only the standard library is used.
use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Head and body of an HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Buffered reader of one connection.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }
    pub fn fill(&mut self) -> Option<usize> {
        let mut part = [0; 16384];
        match self.stream.read(&mut part) {
            Ok(0) | Err(_) => None,
            Ok(n) => {
                self.buf.extend_from_slice(&part[..n]);
                Some(n)
            }
        }
    }
    pub fn head(&mut self) -> Option<Message> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                let mut lines = head.split("\r\n");
                let first = lines.next()?.to_owned();
                let headers = lines.filter_map(|line| {
                    let (key, value) = line.split_once(':')?;
                    Some((key.trim().to_ascii_lowercase(), value.trim().to_owned()))
                });
                return Some(Message { first, headers: headers.collect(), body: Vec::new() });
            }
            self.fill()?;
        }
    }
    pub fn exact(&mut self, len: usize) -> Option<Vec<u8>> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Some(self.buf.drain(..len).collect())
    }
    pub fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }
    /// A whole message with a length or in chunks. The flag tells whether the body is whole.
    pub fn message(&mut self) -> Option<(Message, bool)> {
        let mut message = self.head()?;
        if let Some(len) = message.header("content-length") {
            let len = len.parse().ok()?;
            match self.exact(len) {
                Some(body) => message.body = body,
                None => return Some((message, false)),
            }
        } else if message.header("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.line() else { return Some((message, false)) };
                let Ok(len) = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16) else {
                    return Some((message, false));
                };
                let Some(part) = self.exact(len) else { return Some((message, false)) };
                if self.exact(2).is_none() {
                    return Some((message, false));
                }
                if len == 0 {
                    break;
                }
                message.body.extend(part);
            }
        }
        Some((message, true))
    }
}

pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n", body.len());
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out).is_ok()
}

// ---- store

#[derive(Default)]
struct Topics(BTreeMap<String, Vec<(String, Vec<u8>)>>);

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    topics: Arc<(Mutex<Topics>, Condvar)>,
    pub down: Arc<AtomicBool>,
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let b = [part[0], *part.get(1).unwrap_or(&0), *part.get(2).unwrap_or(&0)];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            if i <= part.len() {
                out.push(SET[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

impl Store {
    pub fn start(addr: &str) -> Self {
        let listener = TcpListener::bind(addr).expect("store address");
        let store = Self {
            addr: listener.local_addr().unwrap(),
            topics: Arc::default(),
            down: Arc::default(),
        };
        let me = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let me = me.clone();
                thread::spawn(move || me.serve(stream));
            }
        });
        store
    }
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        let mut topics = self.topics.0.lock().unwrap();
        topics.0.entry(topic.to_owned()).or_default().push((key.to_owned(), value.as_bytes().to_vec()));
        self.topics.1.notify_all();
        Instant::now()
    }
    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        let mut reader = Reader::new(stream);
        while let Some((req, true)) = reader.message() {
            if self.down.load(Ordering::SeqCst) {
                if !respond(&mut out, "503 Service Unavailable", "", b"") {
                    return;
                }
                continue;
            }
            let (path, query) = req.path().split_once('?').unwrap_or((req.path(), ""));
            let query: HashMap<_, _> = query.split('&').filter_map(|item| item.split_once('=')).collect();
            let topic = query.get("topic").copied().unwrap_or("").to_owned();
            let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
            let ok = match path {
                "/api/log-append" => {
                    let mut topics = self.topics.0.lock().unwrap();
                    let records = topics.0.entry(topic).or_default();
                    let end = records.len() as u64;
                    if number("at").is_some_and(|at| at != end) {
                        let body = format!("{{\"end\":{end}}}");
                        drop(topics);
                        respond(&mut out, "412 Precondition Failed", "", body.as_bytes())
                    } else {
                        let mut rest = &req.body[..];
                        while rest.len() >= 5 {
                            let len = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                            let record = &rest[4..4 + len];
                            rest = &rest[4 + len..];
                            let key_len = usize::from(record[0]);
                            let key = String::from_utf8_lossy(&record[1..1 + key_len]).into_owned();
                            records.push((key, record[1 + key_len..].to_vec()));
                        }
                        let body = format!("{{\"offset\":{end},\"end\":{}}}", records.len());
                        self.topics.1.notify_all();
                        drop(topics);
                        respond(&mut out, "200 OK", "content-type: application/json\r\n", body.as_bytes())
                    }
                }
                "/api/log-read" => {
                    let from = number("from").unwrap_or(0) as usize;
                    let until = Instant::now() + ms(number("wait_ms").unwrap_or(0));
                    let mut topics = self.topics.0.lock().unwrap();
                    loop {
                        let len = topics.0.get(&topic).map_or(0, Vec::len);
                        let now = Instant::now();
                        if len > from || now >= until {
                            break;
                        }
                        topics = self.topics.1.wait_timeout(topics, until - now).unwrap().0;
                    }
                    let records = topics.0.get(&topic).cloned().unwrap_or_default();
                    drop(topics);
                    let mut body = (records.len() as u64).to_be_bytes().to_vec();
                    body.extend(0u64.to_be_bytes());
                    let most = number("max_kb").unwrap_or(1024) as usize * 1024;
                    let start = body.len();
                    for (key, value) in records.iter().skip(from) {
                        if body.len() > start && body.len() + value.len() > most {
                            break;
                        }
                        body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                        body.push(key.len() as u8);
                        body.extend(key.as_bytes());
                        body.extend(value);
                    }
                    respond(&mut out, "200 OK", "", &body)
                }
                "/api/log-newest" => {
                    let topics = self.topics.0.lock().unwrap();
                    let records = topics.0.get(&topic).cloned().unwrap_or_default();
                    drop(topics);
                    let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
                    for (offset, (key, value)) in records.iter().enumerate() {
                        newest.insert(key, (offset, value));
                    }
                    let entries: Vec<_> = newest
                        .iter()
                        .filter(|(_, (_, value))| !value.is_empty())
                        .map(|(key, (offset, value))| {
                            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
                        })
                        .collect();
                    let body = format!(
                        "{{\"entries\":[{}],\"has_more\":false,\"end\":{}}}",
                        entries.join(","),
                        records.len()
                    );
                    respond(&mut out, "200 OK", "content-type: application/json\r\n", body.as_bytes())
                }
                _ => respond(&mut out, "404 Not Found", "", b""),
            };
            if !ok {
                return;
            }
        }
    }
}

// ---- processes under test

pub struct Router {
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub log: PathBuf,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const TERM: i32 = 15;
pub const KILL: i32 = 9;
pub const STOP: i32 = 19;
pub const CONT: i32 = 18;
pub const HUP: i32 = 1;

impl Router {
    pub fn signal(&self, number: i32) {
        unsafe { kill(self.child.id() as i32, number) };
    }
    pub fn memory_kb(&self, field: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(field));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    }
    pub fn ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}
impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Plan<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub ip: String,
    pub store: SocketAddr,
    pub seeds: String,
    pub memory_mb: u32,
    pub max_fds: u32,
}

pub fn start_router(folder: &Path, plan: &Plan) -> Router {
    let ip = &plan.ip;
    let template = fs::read_to_string("deploy/settings.ini").expect("run it in the repository");
    let memory_mb = plan.memory_mb.to_string();
    let max_fds = plan.max_fds.to_string();
    let store = plan.store.to_string();
    let front = format!("{ip}:8227");
    let ready = format!("{ip}:8220");
    let values = [
        ("node", plan.name), ("zone", plan.zone), ("listen.front", &front), ("listen.ready", &ready), ("ip", ip),
        ("platform.addr", &store), ("port_range.0", "7340"), ("seeds", &plan.seeds),
        ("bounds.drain_ms", "2000"), ("bounds.grace_s", "8"), ("bounds.revoke_ms", "5000"),
        ("bounds.config_apply_ms", "2000"), ("bounds.retry_ratio", "0.2"), ("bounds.retry_slack", "58"),
        ("bounds.retry_window_s", "10"), ("limits.memory_mb", &memory_mb), ("limits.max_fds", &max_fds),
    ];
    let mut text = String::new();
    let mut skip = false;
    for line in template.lines() {
        if let Some(name) = line.strip_prefix("{{#").and_then(|l| l.strip_suffix("}}")) {
            skip = !values.iter().any(|(known, _)| *known == name);
            continue;
        }
        if line.starts_with("{{/") {
            skip = false;
            continue;
        }
        if skip {
            continue;
        }
        let mut line = line.to_owned();
        for (name, value) in values {
            line = line.replace(&format!("{{{{{name}}}}}"), value);
        }
        text += &line;
        text.push('\n');
    }
    let path = folder.join(format!("{}.ini", plan.name));
    fs::write(&path, text).unwrap();
    let log = folder.join(format!("{}.log", plan.name));
    let out = fs::File::create(&log).unwrap();
    let child = Command::new("target/release/ebonyfall-entry")
        .env_clear()
        .env("EBONYFALL_CONFIG", &path)
        .env("PATH", "/usr/bin:/bin")
        .stdin(Stdio::null())
        .stdout(out.try_clone().unwrap())
        .stderr(out)
        .spawn()
        .expect("the entry router starts");
    Router {
        child,
        front: front.parse().unwrap(),
        ready: ready.parse().unwrap(),
        metrics: format!("{ip}:9464").parse().unwrap(),
        log,
    }
}

pub fn connect(addr: SocketAddr) -> Option<Reader> {
    let stream = TcpStream::connect_timeout(&addr, ms(2000)).ok()?;
    let _ = stream.set_read_timeout(Some(ms(20000)));
    Some(Reader::new(stream))
}

pub fn get(addr: SocketAddr, path: &str) -> Option<(Message, bool)> {
    let mut reader = connect(addr)?;
    write!(reader.stream, "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").ok()?;
    let (mut m, whole) = reader.message()?;
    if m.header("content-length").is_none() && m.header("transfer-encoding").is_none() {
        while reader.fill().is_some() {}
        m.body = std::mem::take(&mut reader.buf);
    }
    Some((m, whole))
}

pub fn wait_ready(router: &Router, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if get(router.ready, "/api/readyz").is_some_and(|(m, _)| m.status() == 200) {
            return true;
        }
        thread::sleep(ms(50));
    }
    false
}

static IDS: AtomicU64 = AtomicU64::new(1);
pub fn new_id() -> String {
    format!("{:016x}", 0x1a00_0000_0000_0000u64 + IDS.fetch_add(1, Ordering::SeqCst))
}

pub fn random_net() -> String {
    let mut bytes = [0u8; 2];
    fs::File::open("/dev/urandom").and_then(|mut f| f.read_exact(&mut bytes)).unwrap();
    format!("127.{}.{}", 10 + bytes[0] % 200, bytes[1])
}
// ---- parts that all cases share

const KEYS: [&str; 10] = ["k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", "k9"];

/// Where a case writes what happened.
pub struct Run {
    pub folder: PathBuf,
    pub trouble: bool,
    record: Mutex<fs::File>,
    start: Instant,
}

impl Run {
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{at:8.3} {text}");
    }
}

fn seal(req: &Message) -> String {
    let id = req.header("ebonyfall-attempt-id").unwrap_or("");
    format!("ebonyfall-attempt-id: {id}\r\nebonyfall-server-seal: 3e1b.{id}\r\n")
}

/// Serves each connection in a thread of its own until `answer` returns false.
fn serve(addr: &str, answer: impl Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(addr).expect("a free address");
    let addr = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            let _ = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                let Ok(mut out) = stream.try_clone() else { return };
                let mut reader = Reader::new(stream);
                while let Some((req, true)) = reader.message() {
                    if !answer(req, &mut out) {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn entry(service: &str, addr: &str, slots: u32, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{addr}\",\"zone\":\"lakes-a\",\"version\":\"v1\",\"slots\":{slots},\
         \"state\":\"{state}\",\"warmup_left_ms\":0,\"seq\":1,\"born\":1765000000000}}"
    )
}

fn desired_state(version: u64) -> String {
    let tenants: Vec<_> = KEYS.iter().map(|key| format!("{{\"name\":\"team-{key}\",\"api_keys\":[\"{key}\"]}}")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"draft\",\"host\":\"album.example\",\"path_prefix\":\"/draft/\",\"type\":\"stream\",\"timeout_ms\":12000,\
         \"slo_ms\":1000,\"gap_aim_ms\":400,\"priority\":1,\"service\":\"ebony-pool\",\"max_attempts\":1,\"sticky\":true}},\
         {{\"name\":\"fetch\",\"host\":\"album.example\",\"path_prefix\":\"/fetch/\",\"type\":\"safe\",\"timeout_ms\":4000,\
         \"slo_ms\":300,\"priority\":2,\"service\":\"ebony-pool\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"ebony-pool\",\"max_conns\":740}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":30000}},\
         \"tenants\":[{}]}}",
        tenants.join(",")
    )
}

/// One ordinary request; its status.
fn ordinary(router: &Router) -> Option<u16> {
    let mut caller = connect(router.front)?;
    write!(
        caller.stream,
        "GET /fetch/1 HTTP/1.1\r\nhost: album.example\r\nebonyfall-attempt-id: {}\r\nebonyfall-deadline-ms: 4000\r\n\
         authorization: Bearer k1\r\n\r\n",
        new_id()
    )
    .ok()?;
    let (answer, whole) = caller.message()?;
    whole.then_some(answer.status())
}
// ---- cases: crowds that end a router by its memory

const MEMORY_MB: u64 = 260;
const CROWD: usize = 1900;
const FIELDS: usize = 92;
const BODY_BYTES: usize = 30_000;
const EVENT_BYTES: usize = 48 << 10;
const EVENTS: usize = 8;

/// What the crowd of a case does.
#[derive(Clone, Copy, PartialEq)]
enum Crowd {
    /// Requests of 43 kB with many short fields, at servers that begin to answer after 8 s.
    ManyFields,
    /// Small requests for streams; their callers stop reading after the head of the answer.
    StopReading,
}

fn crowd_request(crowd: Crowd, id: &str) -> Vec<u8> {
    let body = if crowd == Crowd::ManyFields { BODY_BYTES } else { 200 };
    let key = KEYS[id.bytes().last().unwrap_or(0) as usize % KEYS.len()];
    let mut text = format!(
        "POST /draft/1 HTTP/1.1\r\nhost: album.example\r\nebonyfall-attempt-id: {id}\r\n\
         ebonyfall-model: m\r\nebonyfall-token-counts: 1300,55\r\nebonyfall-prefix-hash: 5c1e07a2:10512,{id}:1300\r\n\
         ebonyfall-deadline-ms: 12000\r\nauthorization: Bearer {key}\r\ncontent-length: {body}\r\n"
    );
    if crowd == Crowd::ManyFields {
        for field in 0..FIELDS {
            text += &format!("x-{field}: {}\r\n", "v".repeat(120));
        }
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.resize(bytes.len() + body, b'b');
    bytes
}

/// A sound model server's answer to a draft.
fn answer_draft(crowd: Crowd, req: &Message, out: &mut TcpStream) -> bool {
    if crowd == Crowd::ManyFields {
        // A busy server: the first event comes after 8 s, inside the time budget of 12 s.
        thread::sleep(ms(8000));
    }
    let seal = seal(req);
    let head = format!("HTTP/1.1 200 OK\r\n{seal}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
    if out.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let (events, data) = match crowd {
        Crowd::ManyFields => (55, "some tokens of the answer".to_owned()),
        Crowd::StopReading => (EVENTS, "p".repeat(EVENT_BYTES)),
    };
    for event in 1..=events {
        let event = format!("id: {event}\ndata: {data}\n\n");
        if write!(out, "{:x}\r\n{event}\r\n", event.len()).is_err() {
            return false;
        }
    }
    out.write_all(b"0\r\n\r\n").is_ok()
}

/// Sends the requests of a part of the crowd, and tells what came back once `stop` is set.
fn play_crowd(crowd: Crowd, front: SocketAddr, sent: &AtomicU64, stop: &AtomicBool) -> BTreeMap<String, u64> {
    let mut held = Vec::new();
    for _ in 0..CROWD / 4 {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let Some(mut caller) = connect(front) else { continue };
        if caller.stream.write_all(&crowd_request(crowd, &new_id())).is_ok() {
            sent.fetch_add(1, Ordering::SeqCst);
        }
        held.push(caller);
    }
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(ms(20));
    }
    let mut answers: BTreeMap<String, u64> = BTreeMap::new();
    for mut caller in held {
        let _ = caller.stream.set_read_timeout(Some(ms(300)));
        let what = match caller.message() {
            None => "no answer".to_owned(),
            Some((answer, true)) => format!("{} whole", answer.status()),
            Some((answer, false)) => format!("{} cut", answer.status()),
        };
        *answers.entry(what).or_default() += 1;
    }
    answers
}

/// The same callers without the disruption: they read their streams to the end.
fn play_readers(crowd: Crowd, front: SocketAddr) -> BTreeMap<String, u64> {
    let left = Arc::new(AtomicU64::new(CROWD as u64));
    let parts: Vec<_> = (0..60)
        .map(|_| {
            let left = left.clone();
            thread::spawn(move || {
                let mut answers: BTreeMap<String, u64> = BTreeMap::new();
                while left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok() {
                    let Some(mut caller) = connect(front) else { continue };
                    let _ = caller.stream.write_all(&crowd_request(crowd, &new_id()));
                    let what = match caller.message() {
                        None => "no answer".to_owned(),
                        Some((answer, whole)) => format!("{} {}", answer.status(), if whole { "whole" } else { "cut" }),
                    };
                    *answers.entry(what).or_default() += 1;
                }
                answers
            })
        })
        .collect();
    merge(parts)
}

fn merge(parts: Vec<thread::JoinHandle<BTreeMap<String, u64>>>) -> BTreeMap<String, u64> {
    let mut all: BTreeMap<String, u64> = BTreeMap::new();
    for part in parts {
        for (what, count) in part.join().unwrap_or_default() {
            *all.entry(what).or_default() += count;
        }
    }
    all
}

/// Two routers; the crowd comes to each of them three times. Exits with 1 if both have exceeded their
/// memory three times.
fn case_memory(run: &Run, crowd: Crowd) -> i32 {
    let folder = run.folder.clone();
    let net = random_net();
    let store = Store::start(&format!("{net}.1:0"));
    let runs = Arc::new(AtomicU64::new(0));
    store.put("keyed.op", "config", &desired_state(10));
    for number in 0..18 {
        let runs = runs.clone();
        let addr = serve(&format!("{net}.{}:0", 100 + number), move |req, out| {
            runs.fetch_add(1, Ordering::SeqCst);
            if req.path().starts_with("/draft/") {
                return answer_draft(crowd, &req, out);
            }
            thread::sleep(ms(60));
            respond(out, "200 OK", &seal(&req), b"ok")
        });
        store.put("keyed.servers", &format!("i-{number}"), &entry("ebony-pool", &addr.to_string(), 128, "ready"));
    }
    let plans: Vec<_> = (0..2)
        .map(|number| Plan {
            name: if number == 0 { "edge-lakes-a-1" } else { "edge-lakes-b-1" },
            zone: if number == 0 { "lakes-a" } else { "lakes-b" },
            ip: format!("{net}.{}", 10 + number),
            store: store.addr,
            seeds: format!("{net}.10:8229,{net}.11:8229"),
            memory_mb: MEMORY_MB as u32,
            max_fds: 4100,
        })
        .collect();
    let mut routers: Vec<_> = plans.iter().map(|plan| start_router(&folder, plan)).collect();
    for router in &routers {
        if !wait_ready(router, ms(15_000)) {
            run.line("a router did not become ready");
            return 2;
        }
    }
    run.line(&format!("memory at rest: {} kB, {} kB", routers[0].memory_kb("VmRSS"), routers[1].memory_kb("VmRSS")));
    let mut ends = [0, 0];
    let mut peak = [0, 0];
    for round in 0..3 {
        for index in 0..2 {
            let name = plans[index].name;
            let served = ordinary(&routers[index]);
            run.line(&format!("round {round}, {name}: ordinary request: {served:?}"));
            if served != Some(200) && !run.trouble {
                return 1;
            }
            let front = routers[index].front;
            let sent = Arc::new(AtomicU64::new(0));
            let stop = Arc::new(AtomicBool::new(false));
            let parts: Vec<_> = match (run.trouble, crowd) {
                (true, _) => (0..4)
                    .map(|_| {
                        let (sent, stop) = (sent.clone(), stop.clone());
                        thread::spawn(move || play_crowd(crowd, front, &sent, &stop))
                    })
                    .collect(),
                (false, Crowd::StopReading) => vec![thread::spawn(move || play_readers(crowd, front))],
                (false, Crowd::ManyFields) => Vec::new(),
            };
            let until = Instant::now() + ms(if run.trouble { 11_000 } else { 3000 });
            let mut killed = false;
            while Instant::now() < until {
                let kb = routers[index].memory_kb("VmRSS");
                peak[index] = peak[index].max(kb);
                if routers[index].ended() {
                    run.line("the router ended by itself");
                    killed = true;
                    break;
                }
                // The platform kills a process that exceeds its memory.
                if kb > MEMORY_MB * 1024 {
                    routers[index].signal(KILL);
                    let _ = routers[index].child.wait();
                    run.line(&format!("round {round}, {name}: {kb} kB of {} kB; the platform kills it", MEMORY_MB * 1024));
                    killed = true;
                    break;
                }
                thread::sleep(ms(10));
            }
            stop.store(true, Ordering::SeqCst);
            let answers = merge(parts);
            run.line(&format!(
                "round {round}, {name}: {} requests of the crowd sent, answers {answers:?}, begun at servers so far {}",
                sent.load(Ordering::SeqCst),
                runs.load(Ordering::SeqCst)
            ));
            if killed {
                ends[index] += 1;
                thread::sleep(ms(500));
                routers[index] = start_router(&folder, &plans[index]);
                if !wait_ready(&routers[index], ms(15_000)) {
                    run.line("a router did not become ready again");
                    return 2;
                }
            }
        }
    }
    run.line(&format!("ends by memory: {ends:?}; highest resident memory {peak:?} kB"));
    i32::from(ends.iter().all(|ends| *ends >= 3))
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin-2 CASE FOLDER-OF-RECORD");
        std::process::exit(2);
    };
    let temp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&temp).expect("a temporary folder");
    let run = Run {
        folder: temp.clone(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        record: Mutex::new(fs::File::create(Path::new(folder).join("record.txt")).expect("record.txt")),
        start: Instant::now(),
    };
    let code = match case.as_str() {
        "many-fields" => case_memory(&run, Crowd::ManyFields),
        "stop-reading" => case_memory(&run, Crowd::StopReading),
        _ => 2,
    };
    run.line(&format!("exit {code}"));
    let _ = fs::remove_dir_all(&temp);
    std::process::exit(code);
}
