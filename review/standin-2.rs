//! Small stand-ins of the platform's store, of servers and of clients, on loopback addresses, and the cases
//! that use them. Only the standard library is used.
use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
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
        Self {
            stream,
            buf: Vec::new(),
        }
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
                return Some(Message {
                    first,
                    headers: headers.collect(),
                    body: Vec::new(),
                });
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
                let Some(line) = self.line() else {
                    return Some((message, false));
                };
                let Ok(len) =
                    usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                else {
                    return Some((message, false));
                };
                let Some(part) = self.exact(len) else {
                    return Some((message, false));
                };
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
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out).is_ok()
}

// ---- store

#[derive(Default)]
struct Topics(BTreeMap<String, Vec<(String, Arc<Vec<u8>>)>>);

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
        let b = [
            part[0],
            *part.get(1).unwrap_or(&0),
            *part.get(2).unwrap_or(&0),
        ];
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
        self.put_bytes(topic, key, Arc::new(value.as_bytes().to_vec()))
    }
    pub fn put_bytes(&self, topic: &str, key: &str, value: Arc<Vec<u8>>) -> Instant {
        let mut topics = self.topics.0.lock().unwrap();
        topics
            .0
            .entry(topic.to_owned())
            .or_default()
            .push((key.to_owned(), value));
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
            let query: HashMap<_, _> = query
                .split('&')
                .filter_map(|item| item.split_once('='))
                .collect();
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
                            records.push((key, Arc::new(record[1 + key_len..].to_vec())));
                        }
                        let body = format!("{{\"offset\":{end},\"end\":{}}}", records.len());
                        self.topics.1.notify_all();
                        drop(topics);
                        respond(
                            &mut out,
                            "200 OK",
                            "content-type: application/json\r\n",
                            body.as_bytes(),
                        )
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
                    // The oldest records expire when the partition holds more than `part_mb`.
                    let (mut first, mut held) = (records.len(), 0);
                    while first > 0 && held + records[first - 1].1.len() <= 200 << 20 {
                        first -= 1;
                        held += records[first].1.len();
                    }
                    if from < first {
                        let body = format!("{{\"first\":{first}}}");
                        if !respond(
                            &mut out,
                            "410 Gone",
                            "content-type: application/json\r\n",
                            body.as_bytes(),
                        ) {
                            return;
                        }
                        continue;
                    }
                    let mut body = (records.len() as u64).to_be_bytes().to_vec();
                    body.extend((first as u64).to_be_bytes());
                    let most = number("max_kb").unwrap_or(1024) as usize * 1024;
                    let start = body.len();
                    for (key, value) in records.iter().skip(from) {
                        if body.len() > start && body.len() + value.len() > most {
                            break;
                        }
                        body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                        body.push(key.len() as u8);
                        body.extend(key.as_bytes());
                        body.extend(value.iter());
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
                    // At most 500 records or 1 MB on a page.
                    let after = query.get("after").copied();
                    let mut entries = Vec::new();
                    let (mut bytes, mut has_more) = (0, false);
                    for (key, (offset, value)) in newest {
                        if value.is_empty() || after.is_some_and(|after| key <= after) {
                            continue;
                        }
                        if entries.len() == 500 || (bytes > 0 && bytes + value.len() > 1 << 20) {
                            has_more = true;
                            break;
                        }
                        bytes += value.len();
                        entries.push(format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        ));
                    }
                    let body = format!(
                        "{{\"entries\":[{}],\"has_more\":{has_more},\"end\":{}}}",
                        entries.join(","),
                        records.len()
                    );
                    respond(
                        &mut out,
                        "200 OK",
                        "content-type: application/json\r\n",
                        body.as_bytes(),
                    )
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
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
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
        let text =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(field));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
            .unwrap_or(0)
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
        ("node", plan.name),
        ("zone", plan.zone),
        ("listen.front", &front),
        ("listen.ready", &ready),
        ("ip", ip),
        ("platform.addr", &store),
        ("port_range.0", "7340"),
        ("seeds", &plan.seeds),
        ("bounds.drain_ms", "2000"),
        ("bounds.grace_s", "8"),
        ("bounds.revoke_ms", "5000"),
        ("bounds.config_apply_ms", "2000"),
        ("bounds.retry_ratio", "0.2"),
        ("bounds.retry_slack", "58"),
        ("bounds.retry_window_s", "10"),
        ("limits.memory_mb", &memory_mb),
        ("limits.max_fds", &max_fds),
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
    let mut command = Command::new("target/release/ebonyfall-entry");
    // The routers end with the case, also when that is killed.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, KILL as u64, 0, 0, 0);
            Ok(())
        });
    }
    let child = command
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
    write!(
        reader.stream,
        "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    )
    .ok()?;
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
    format!(
        "{:016x}",
        0x1a00_0000_0000_0000u64 + IDS.fetch_add(1, Ordering::SeqCst)
    )
}

pub fn random_net() -> String {
    let mut bytes = [0u8; 2];
    fs::File::open("/dev/urandom")
        .and_then(|mut f| f.read_exact(&mut bytes))
        .unwrap();
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
fn serve(
    addr: &str,
    answer: impl Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(addr).expect("a free address");
    let addr = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            let _ = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                let Ok(mut out) = stream.try_clone() else {
                    return;
                };
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
    let tenants: Vec<_> = KEYS
        .iter()
        .map(|key| format!("{{\"name\":\"team-{key}\",\"api_keys\":[\"{key}\"]}}"))
        .collect();
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
/// `contact_ms` of the small deployments, and a little more.
const CONTACT_MS: u64 = 3200;
const CROWD: usize = 1900;
const FIELDS: usize = 92;
const BODY_BYTES: usize = 30_000;
const EVENT_BYTES: usize = 48 << 10;
const EVENTS: usize = 8;

/// What the crowd of a case does.
#[derive(Clone, Copy, PartialEq)]
enum Crowd {
    /// Requests of 42 kB with many short fields, at servers that begin to answer after 8 s.
    ManyFields,
    /// Small requests for streams; their callers stop reading after the head of the answer.
    StopReading,
}

fn crowd_request(crowd: Crowd, id: &str) -> Vec<u8> {
    let body = if crowd == Crowd::ManyFields {
        BODY_BYTES
    } else {
        200
    };
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
    let head = format!(
        "HTTP/1.1 200 OK\r\n{seal}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
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
fn play_crowd(
    crowd: Crowd,
    front: SocketAddr,
    sent: &AtomicU64,
    stop: &AtomicBool,
) -> BTreeMap<String, u64> {
    let mut held = Vec::new();
    for _ in 0..CROWD / 4 {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let Some(mut caller) = connect(front) else {
            continue;
        };
        if caller
            .stream
            .write_all(&crowd_request(crowd, &new_id()))
            .is_ok()
        {
            sent.fetch_add(1, Ordering::SeqCst);
        }
        held.push(caller);
        if crowd == Crowd::StopReading {
            // 1,900 callers in 9 s: streams of 0.4 MB each take 0.7 Gbit/s of the machine's link of 1 Gbit/s.
            thread::sleep(ms(19));
        }
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
                while left
                    .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                        left.checked_sub(1)
                    })
                    .is_ok()
                {
                    let Some(mut caller) = connect(front) else {
                        continue;
                    };
                    let _ = caller.stream.write_all(&crowd_request(crowd, &new_id()));
                    let what = match caller.message() {
                        None => "no answer".to_owned(),
                        Some((answer, whole)) => format!(
                            "{} {}",
                            answer.status(),
                            if whole { "whole" } else { "cut" }
                        ),
                    };
                    *answers.entry(what).or_default() += 1;
                }
                answers
            })
        })
        .collect();
    merge(parts)
}

/// Sends small requests on one kept channel until it ends. Returns the id of a request that was read and got no
/// answer, unless it was the first one on the channel.
fn keep_calling(front: SocketAddr, answered: &AtomicU64, stop: &AtomicBool) -> Option<String> {
    let mut caller = connect(front)?;
    let mut is_first = true;
    while !stop.load(Ordering::SeqCst) {
        let id = new_id();
        write!(
            caller.stream,
            "GET /fetch/1 HTTP/1.1\r\nhost: album.example\r\nebonyfall-attempt-id: {id}\r\nebonyfall-deadline-ms: 4000\r\n\
             authorization: Bearer k1\r\n\r\n"
        )
        .ok()?;
        let Some((answer, true)) = caller.message() else {
            return (!is_first).then_some(id);
        };
        is_first = false;
        answered.fetch_add(1, Ordering::SeqCst);
        if answer.header("connection") == Some("close") {
            return None;
        }
    }
    None
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

/// Two routers; the crowd comes to each of them three times. Besides, callers send small requests on kept channels.
/// Exits with 1 if more than three of these were passed on to a server and their channels ended without an answer.
fn case_memory(run: &Run, crowd: Crowd) -> i32 {
    let folder = run.folder.clone();
    let net = random_net();
    let store = Store::start(&format!("{net}.1:0"));
    let runs: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    store.put("keyed.op", "config", &desired_state(10));
    for number in 0..18 {
        let runs = runs.clone();
        let addr = serve(&format!("{net}.{}:0", 100 + number), move |req, out| {
            let id = req.header("ebonyfall-attempt-id").unwrap_or("").to_owned();
            *runs.lock().unwrap().entry(id).or_default() += 1;
            if req.path().starts_with("/draft/") {
                return answer_draft(crowd, &req, out);
            }
            thread::sleep(ms(60));
            respond(out, "200 OK", &seal(&req), b"ok")
        });
        store.put(
            "keyed.servers",
            &format!("i-{number}"),
            &entry("ebony-pool", &addr.to_string(), 128, "ready"),
        );
    }
    let plans: Vec<_> = (0..2)
        .map(|number| Plan {
            name: if number == 0 {
                "edge-lakes-a-1"
            } else {
                "edge-lakes-b-1"
            },
            zone: if number == 0 { "lakes-a" } else { "lakes-b" },
            ip: format!("{net}.{}", 10 + number),
            store: store.addr,
            seeds: format!("{net}.10:8229,{net}.11:8229"),
            memory_mb: MEMORY_MB as u32,
            max_fds: 4100,
        })
        .collect();
    let mut routers: Vec<_> = plans
        .iter()
        .map(|plan| start_router(&folder, plan))
        .collect();
    for router in &routers {
        if !wait_ready(router, ms(15_000)) {
            run.line("a router did not become ready");
            return 2;
        }
    }
    run.line(&format!(
        "memory at rest: {} kB, {} kB",
        routers[0].memory_kb("VmRSS"),
        routers[1].memory_kb("VmRSS")
    ));
    let mut ends = [0, 0];
    let mut peak = [0, 0];
    let mut lost = 0;
    // Rules with a time bound hold for machines that have run for 3 s.
    thread::sleep(ms(CONTACT_MS));
    for round in 0..3 {
        for index in 0..2 {
            let name = plans[index].name;
            if run.start.elapsed() > ms(100_000) {
                run.line("no time for further rounds");
                break;
            }
            let served = ordinary(&routers[index]);
            run.line(&format!(
                "round {round}, {name}: ordinary request: {served:?}"
            ));
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
                (false, Crowd::StopReading) => {
                    vec![thread::spawn(move || play_readers(crowd, front))]
                }
                (false, Crowd::ManyFields) => Vec::new(),
            };
            let answered = Arc::new(AtomicU64::new(0));
            let kept: Vec<_> = (0..20)
                .map(|_| {
                    let (answered, stop) = (answered.clone(), stop.clone());
                    thread::spawn(move || keep_calling(front, &answered, &stop))
                })
                .collect();
            let until = Instant::now() + ms(if run.trouble { 13_000 } else { 4000 });
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
                    run.line(&format!(
                        "round {round}, {name}: {kb} kB of {} kB; the platform kills it",
                        MEMORY_MB * 1024
                    ));
                    killed = true;
                    break;
                }
                thread::sleep(ms(10));
            }
            stop.store(true, Ordering::SeqCst);
            let answers = merge(parts);
            let unanswered: Vec<_> = kept
                .into_iter()
                .filter_map(|caller| caller.join().ok().flatten())
                .collect();
            let runs = runs.lock().unwrap();
            let passed_on = unanswered
                .iter()
                .filter(|id| runs.contains_key(*id))
                .count();
            lost += passed_on;
            run.line(&format!(
                "round {round}, {name}: {} requests of the crowd sent, answers {answers:?}; on kept channels {} answered, \
                 {} passed on and not answered; begun at servers so far {}",
                sent.load(Ordering::SeqCst),
                answered.load(Ordering::SeqCst),
                passed_on,
                runs.len()
            ));
            drop(runs);
            if killed {
                ends[index] += 1;
                thread::sleep(ms(500));
                routers[index] = start_router(&folder, &plans[index]);
                if !wait_ready(&routers[index], ms(15_000)) {
                    run.line("a router did not become ready again");
                    return 2;
                }
                thread::sleep(ms(CONTACT_MS));
            }
        }
    }
    run.line(&format!(
        "ends by memory: {ends:?}; highest resident memory {peak:?} kB; LOST: {lost} requests from kept channels were \
         passed on to a sound server and not answered, 3 are allowed"
    ));
    i32::from(lost > 3)
}

// ---- case: a crowd that stops short of the end of its bodies keeps all other callers out

const REQUESTERS: usize = 10;
const SHORT_BODY: usize = 20_000;

/// Attempts of the ordinary requesters and questions of the balancer, with their times.
#[derive(Default)]
struct Watched {
    attempts: Vec<(Instant, usize, Result<u16, &'static str>)>,
    ready: Vec<(Instant, Option<u16>)>,
}

/// One request on a new channel, as a requester sends it.
fn attempt(front: SocketAddr, requester: usize) -> Result<u16, &'static str> {
    let stream = TcpStream::connect_timeout(&front, ms(1000)).map_err(|_| "no channel")?;
    let _ = stream.set_read_timeout(Some(ms(4000)));
    let mut caller = Reader::new(stream);
    let text = format!(
        "GET /fetch/{requester} HTTP/1.1\r\nhost: album.example\r\nebonyfall-attempt-id: {}\r\n\
         ebonyfall-deadline-ms: 4000\r\nauthorization: Bearer k{requester}\r\nconnection: close\r\n\r\n",
        new_id()
    );
    caller
        .stream
        .write_all(text.as_bytes())
        .map_err(|_| "channel closed")?;
    match caller.message() {
        Some((answer, true)) => Ok(answer.status()),
        _ => Err("channel closed without an answer"),
    }
}

fn case_short_bodies(run: &Run) -> i32 {
    let net = random_net();
    let store = Store::start(&format!("{net}.1:0"));
    store.put("keyed.op", "config", &desired_state(10));
    for number in 0..18 {
        let addr = serve(&format!("{net}.{}:0", 100 + number), move |req, out| {
            thread::sleep(ms(60));
            respond(out, "200 OK", &seal(&req), b"ok")
        });
        store.put(
            "keyed.servers",
            &format!("i-{number}"),
            &entry("ebony-pool", &addr.to_string(), 64, "ready"),
        );
    }
    let plan = Plan {
        name: "edge-lakes-a-1",
        zone: "lakes-a",
        ip: format!("{net}.10"),
        store: store.addr,
        seeds: format!("{net}.10:8229"),
        memory_mb: MEMORY_MB as u32,
        max_fds: 4100,
    };
    let router = start_router(&run.folder, &plan);
    if !wait_ready(&router, ms(15_000)) {
        run.line("the router did not become ready");
        return 2;
    }
    thread::sleep(ms(CONTACT_MS));
    let watched: Arc<Mutex<Watched>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let (front, ready) = (router.front, router.ready);
    let mut threads = Vec::new();
    for requester in 0..REQUESTERS {
        let (watched, stop) = (watched.clone(), stop.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let begun = Instant::now();
                let result = attempt(front, requester);
                watched
                    .lock()
                    .unwrap()
                    .attempts
                    .push((begun, requester, result));
                thread::sleep(ms(200));
            }
        }));
    }
    {
        let (watched, stop) = (watched.clone(), stop.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let status = get(ready, "/api/readyz").map(|(answer, _)| answer.status());
                watched.lock().unwrap().ready.push((Instant::now(), status));
                thread::sleep(ms(250));
            }
        }));
    }
    thread::sleep(ms(2000));
    let crowd_from = Instant::now();
    if run.trouble {
        for _ in 0..10 {
            let stop = stop.clone();
            threads.push(thread::spawn(move || {
                let mut held = Vec::new();
                for number in 0..240 {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    thread::sleep(ms(5));
                    let Some(mut caller) = connect(front) else { continue };
                    let head = format!(
                        "POST /fetch/1 HTTP/1.1\r\nhost: album.example\r\nebonyfall-attempt-id: {}\r\n\
                         ebonyfall-deadline-ms: 12000\r\nauthorization: Bearer k{}\r\ncontent-length: {SHORT_BODY}\r\n\r\n",
                        new_id(),
                        number % KEYS.len()
                    );
                    let mut bytes = head.into_bytes();
                    // The last byte does not come.
                    bytes.resize(bytes.len() + SHORT_BODY - 1, b'b');
                    let _ = caller.stream.write_all(&bytes);
                    held.push(caller);
                }
                while !stop.load(Ordering::SeqCst) {
                    thread::sleep(ms(50));
                }
            }));
        }
    }
    thread::sleep(ms(20_000));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let watched = watched.lock().unwrap();
    let mut answers: BTreeMap<String, u64> = BTreeMap::new();
    for (_, _, result) in &watched.attempts {
        *answers.entry(format!("{result:?}")).or_default() += 1;
    }
    run.line(&format!("ordinary attempts: {answers:?}"));
    run.line(&format!(
        "readiness: {} questions, {} answered 200",
        watched.ready.len(),
        watched
            .ready
            .iter()
            .filter(|(_, status)| *status == Some(200))
            .count()
    ));
    // Longest time between two attempts whose channels were taken, in which the router said that it is ready.
    let mut taken: Vec<_> = watched
        .attempts
        .iter()
        .filter(|(_, _, result)| result.is_ok())
        .map(|(at, ..)| *at)
        .collect();
    taken.sort();
    let mut longest = (Duration::ZERO, 0, Duration::ZERO);
    for pair in taken.windows(2) {
        let is_ready = watched
            .ready
            .iter()
            .filter(|(at, _)| *at > pair[0] && *at < pair[1])
            .all(|(_, s)| *s == Some(200));
        let tried: std::collections::HashSet<_> = watched
            .attempts
            .iter()
            .filter(|(at, ..)| *at > pair[0] && *at < pair[1])
            .map(|(_, requester, _)| *requester)
            .collect();
        if is_ready && tried.len() >= 7 && pair[1] - pair[0] > longest.0 {
            longest = (
                pair[1] - pair[0],
                tried.len(),
                pair[0].saturating_duration_since(crowd_from),
            );
        }
    }
    run.line(&format!(
        "RECOVER: for {:.2} s, from {:.2} s after the crowd began, the router took no new channel while it said that it is \
         ready and {} requesters tried; 3 s are allowed",
        longest.0.as_secs_f64(), longest.2.as_secs_f64(), longest.1
    ));
    run.line(&format!("peak memory {} kB", router.memory_kb("VmHWM")));
    i32::from(longest.0 >= ms(3000))
}

// ---- case: a desired state after which every router refuses all requests

/// `recover_s` of the site.
const RECOVER_S: u64 = 12;

fn state_with_rate(version: u64, rate: &str) -> String {
    let field = format!("\"max_conns\":740,\"warmup_s\":3.0,\"warmup_per_s\":{rate}");
    desired_state(version).replace("\"max_conns\":740", &field)
}

/// Sends small requests to the routers in turn for `time`; returns how many were sent and served.
fn serve_rate(routers: &[Router], time: Duration) -> (u64, u64, BTreeMap<String, u64>) {
    let until = Instant::now() + time;
    let (mut sent, mut served) = (0, 0);
    let mut answers: BTreeMap<String, u64> = BTreeMap::new();
    while Instant::now() < until {
        for router in routers {
            let status = ordinary(router);
            sent += 1;
            served += u64::from(status == Some(200));
            *answers.entry(format!("{status:?}")).or_default() += 1;
        }
        thread::sleep(ms(50));
    }
    (sent, served, answers)
}

fn case_rate(run: &Run) -> i32 {
    let net = random_net();
    let store = Store::start(&format!("{net}.1:0"));
    store.put("keyed.op", "config", &state_with_rate(10, "10.0"));
    let mut addrs = Vec::new();
    for number in 0..4 {
        let addr = serve(&format!("{net}.{}:0", 100 + number), move |req, out| {
            thread::sleep(ms(20));
            respond(out, "200 OK", &seal(&req), b"ok")
        });
        store.put(
            "keyed.servers",
            &format!("i-{number}"),
            &entry("ebony-pool", &addr.to_string(), 64, "ready"),
        );
        addrs.push(addr);
    }
    let plans: Vec<_> = (0..2)
        .map(|number| Plan {
            name: if number == 0 {
                "edge-lakes-a-1"
            } else {
                "edge-lakes-b-1"
            },
            zone: if number == 0 { "lakes-a" } else { "lakes-b" },
            ip: format!("{net}.{}", 10 + number),
            store: store.addr,
            seeds: format!("{net}.10:8229,{net}.11:8229"),
            memory_mb: MEMORY_MB as u32,
            max_fds: 4100,
        })
        .collect();
    let mut routers: Vec<_> = plans
        .iter()
        .map(|plan| start_router(&run.folder, plan))
        .collect();
    for router in &routers {
        if !wait_ready(router, ms(15_000)) {
            run.line("a router did not become ready");
            return 2;
        }
    }
    let before = serve_rate(&routers, ms(6000));
    run.line(&format!(
        "before the final fault: {} sent, {} served, {:?}",
        before.0, before.1, before.2
    ));
    let rate = if run.trouble { "2000000.0" } else { "20.0" };
    store.put("keyed.op", "config", &state_with_rate(12, rate));
    run.line(&format!("the store has acknowledged a desired state with warmup_per_s {rate}; all routers are killed"));
    for router in &mut routers {
        router.signal(KILL);
        let _ = router.child.wait();
    }
    thread::sleep(ms(970));
    routers = plans
        .iter()
        .map(|plan| start_router(&run.folder, plan))
        .collect();
    let back = Instant::now();
    thread::sleep(ms(7000));
    // A server starts during traffic, and is cold for 3 s.
    let started = entry("ebony-pool", &addrs[0].to_string(), 64, "ready")
        .replace("\"warmup_left_ms\":0", "\"warmup_left_ms\":3000")
        .replace("1765000000000", "1765000100000");
    let between = thread::scope(|scope| {
        let calls = scope.spawn(|| serve_rate(&routers, ms(RECOVER_S * 1000 - 7000)));
        thread::sleep(ms(1000));
        store.put("keyed.servers", "i-0", &started);
        run.line("a server starts again and is cold");
        calls.join().unwrap()
    });
    run.line(&format!(
        "until {RECOVER_S} s after the return: {} sent, {} served, {:?}",
        between.0, between.1, between.2
    ));
    while back.elapsed() < Duration::from_secs(RECOVER_S) {
        thread::sleep(ms(20));
    }
    store.put(
        "keyed.servers",
        "i-0",
        &started.replace("\"warmup_left_ms\":3000", "\"warmup_left_ms\":0"),
    );
    let after = serve_rate(&routers, ms(10_000));
    run.line(&format!(
        "later than {RECOVER_S} s after the return: {} sent, {} served, {:?}",
        after.0, after.1, after.2
    ));
    for router in &routers {
        let ready = get(router.ready, "/api/readyz").map(|(answer, _)| answer.status());
        run.line(&format!("the router says at its ready address: {ready:?}"));
    }
    let broken = 4 * after.1 < after.0 && 4 * before.1 >= before.0;
    run.line(&format!(
        "RECOVER: {} of {} requests served, a quarter is the least",
        after.1, after.0
    ));
    i32::from(broken)
}

// ---- case: odd entries of another writer, more than a router lists

/// Records of the largest size (`record_bytes`), 34 MB in all.
const ODD_ENTRIES: usize = 130;
const RECORD_BYTES: usize = 262_144;

fn case_odd_entries(run: &Run) -> i32 {
    let net = random_net();
    let store = Store::start(&format!("{net}.1:0"));
    store.put("keyed.op", "config", &state_with_rate(10, "10.0"));
    let mut addrs = Vec::new();
    for number in 0..4 {
        let addr = serve(&format!("{net}.{}:0", 100 + number), move |req, out| {
            thread::sleep(ms(20));
            respond(out, "200 OK", &seal(&req), b"ok")
        });
        store.put(
            "keyed.servers",
            &format!("i-{number}"),
            &entry("ebony-pool", &addr.to_string(), 64, "ready"),
        );
        addrs.push(addr.to_string());
    }
    let plans: Vec<_> = (0..2)
        .map(|number| Plan {
            name: if number == 0 {
                "edge-lakes-a-1"
            } else {
                "edge-lakes-b-1"
            },
            zone: if number == 0 { "lakes-a" } else { "lakes-b" },
            ip: format!("{net}.{}", 10 + number),
            store: store.addr,
            seeds: format!("{net}.10:8229,{net}.11:8229"),
            memory_mb: MEMORY_MB as u32,
            max_fds: 4100,
        })
        .collect();
    let mut routers: Vec<_> = plans
        .iter()
        .map(|plan| start_router(&run.folder, plan))
        .collect();
    for router in &routers {
        if !wait_ready(router, ms(15_000)) {
            run.line("a router did not become ready");
            return 2;
        }
    }
    let ends = Arc::new(AtomicBool::new(false));
    // Servers write every 1.2 s. The other writer does so every 3 s, as the store may remove an entry after three
    // heartbeats of silence; 34 MB in 3 s are 11 MB a second of 20 (`part_mb_s`).
    let beats = {
        let (store, ends) = (store.clone(), ends.clone());
        thread::spawn(move || {
            for seq in 2.. {
                if ends.load(Ordering::SeqCst) {
                    return;
                }
                thread::sleep(ms(1200));
                for (number, addr) in addrs.iter().enumerate() {
                    let value = entry("ebony-pool", addr, 64, "ready")
                        .replace("\"seq\":1", &format!("\"seq\":{seq}"));
                    store.put("keyed.servers", &format!("i-{number}"), &value);
                }
            }
        })
    };
    // Bytes that can't be read.
    let value = Arc::new(vec![1; RECORD_BYTES - 64]);
    let others = run.trouble.then(|| {
        let (store, ends, value) = (store.clone(), ends.clone(), value.clone());
        thread::spawn(move || {
            while !ends.load(Ordering::SeqCst) {
                let begun = Instant::now();
                for number in 0..ODD_ENTRIES {
                    store.put_bytes(
                        "keyed.servers",
                        &format!("other-{number:03}"),
                        value.clone(),
                    );
                    thread::sleep(ms(13));
                }
                thread::sleep(ms(3000).saturating_sub(begun.elapsed()));
            }
        })
    });
    if run.trouble {
        thread::sleep(ms(2500));
        run.line(&format!("another writer has put {ODD_ENTRIES} entries that can't be read, {} bytes, and renews them",
            ODD_ENTRIES * value.len()));
    }
    let before = serve_rate(&routers, ms(6000));
    run.line(&format!(
        "before the final fault: {} sent, {} served, {:?}",
        before.0, before.1, before.2
    ));
    store.put("keyed.op", "config", &state_with_rate(12, "10.0"));
    run.line("the store has acknowledged a desired state; all routers are killed");
    for router in &mut routers {
        router.signal(KILL);
        let _ = router.child.wait();
    }
    thread::sleep(ms(970));
    routers = plans
        .iter()
        .map(|plan| start_router(&run.folder, plan))
        .collect();
    let back = Instant::now();
    while back.elapsed() < Duration::from_secs(RECOVER_S) {
        thread::sleep(ms(20));
    }
    let after = serve_rate(&routers, ms(20_000));
    run.line(&format!(
        "later than {RECOVER_S} s after the return: {} sent, {} served, {:?}",
        after.0, after.1, after.2
    ));
    for router in &routers {
        let ready = get(router.ready, "/api/readyz").map(|(answer, _)| answer.status());
        run.line(&format!("the router says at its ready address: {ready:?}"));
        let log = fs::read_to_string(&router.log).unwrap_or_default();
        if let Some(line) = log.lines().find(|line| line.contains("dependency_lost")) {
            run.line(line);
        }
    }
    ends.store(true, Ordering::SeqCst);
    let _ = beats.join();
    if let Some(others) = others {
        let _ = others.join();
    }
    let broken = 4 * after.1 < after.0 && 4 * before.1 >= before.0;
    run.line(&format!(
        "RECOVER: {} of {} requests served, a quarter is the least",
        after.1, after.0
    ));
    i32::from(broken)
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
        record: Mutex::new(
            fs::File::create(Path::new(folder).join("record.txt")).expect("record.txt"),
        ),
        start: Instant::now(),
    };
    let code = match case.as_str() {
        "many-fields" => case_memory(&run, Crowd::ManyFields),
        "short-bodies" => case_short_bodies(&run),
        "odd-entries" => case_odd_entries(&run),
        "rate" => case_rate(&run),
        "stop-reading" => case_memory(&run, Crowd::StopReading),
        _ => 2,
    };
    run.line(&format!("exit {code}"));
    let _ = fs::remove_dir_all(&temp);
    std::process::exit(code);
}
