//! Stand-ins of the review: the platform's store, servers and clients, as threads of one process.
//! The router runs as a process of its own, with the command of the deploy file and the settings
//! that the deploy template gives.
//!
//! Usage: `standin CASE FOLDER`, in the root of the repository. The exit status is 1 if the rule
//! was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment
//! the disruption is left out.

use std::{
    collections::BTreeMap,
    env,
    fmt::Write as _,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, atomic::{AtomicBool, AtomicU64, Ordering}},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HOST: &str = "desk.example";
const KEY: &str = "key-of-the-review";
const TENANT: &str = "desk";

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standin CASE FOLDER");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let outcome = match case.as_str() {
        "endless-stream" => endless_stream(&record, trouble),
        "large-bodies" => large_bodies(&record, trouble),
        "foreign-entries" => foreign_entries(&record, trouble),
        "stale-move" => stale_move(&record, trouble),
        other => Err(format!("no case {other}")),
    };
    let (line, code) = match outcome {
        Ok(true) => ("result: the rule was broken".to_owned(), 1),
        Ok(false) => ("result: the rule held".to_owned(), 0),
        Err(error) => (format!("result: the case could not run: {error}"), 2),
    };
    record.note(&line);
    println!("{line}");
    if let Err(error) = record.save(folder) {
        eprintln!("cannot write the record: {error}");
        process::exit(2);
    }
    process::exit(code);
}

// What was sent, answered and run.

#[derive(Clone)]
struct Record(Arc<(Instant, Mutex<Vec<(Duration, String)>>)>);

impl Record {
    fn new() -> Self {
        Self(Arc::new((Instant::now(), Mutex::new(Vec::new()))))
    }

    fn now(&self) -> Duration {
        self.0.0.elapsed()
    }

    fn note(&self, line: &str) {
        let now = self.now();
        self.0.1.lock().unwrap().push((now, line.to_owned()));
    }

    fn save(&self, folder: &str) -> io::Result<()> {
        let mut text = String::from("# seconds since the start, and what happened\n");
        let mut lines = self.0.1.lock().unwrap().clone();
        lines.sort();
        for (at, line) in &lines {
            let _ = writeln!(text, "{:9.3} {line}", at.as_secs_f64());
        }
        fs::write(PathBuf::from(folder).join("record.txt"), text)
    }
}

// Requests and answers.

struct Request {
    method: String,
    target: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut size = String::new();
    if reader.read_line(&mut size)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_headers(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|value| value == "chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Some(len) = headers.get("content-length").and_then(|value| value.parse().ok()) {
        body = vec![0; len];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// An answer that a client reads while it arrives.
struct Answer {
    status: u16,
    headers: BTreeMap<String, String>,
}

fn read_answer_head(reader: &mut impl BufRead) -> io::Result<Answer> {
    let Some((first, headers)) = read_headers(reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    Ok(Answer { status, headers })
}

fn read_whole_body(reader: &mut impl BufRead, answer: &Answer) -> io::Result<usize> {
    if let Some(len) = answer.headers.get("content-length").and_then(|len| len.parse().ok()) {
        let mut body = vec![0; len];
        reader.read_exact(&mut body)?;
        return Ok(len);
    }
    let mut total = 0;
    loop {
        let chunk = read_chunk(reader)?;
        if chunk.is_empty() {
            return Ok(total);
        }
        total += chunk.len();
    }
}

fn serve(
    listener: TcpListener,
    life: Life,
    handle: impl Fn(TcpStream) + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming().flatten()) {
            if !life.keep(number, &stream) {
                return;
            }
            let (handle, life) = (handle.clone(), life.clone());
            let _unset = stream.set_nodelay(true);
            thread::spawn(move || {
                handle(stream);
                life.close(number);
            });
        }
    });
}

/// Whether a stand-in still runs, and its open channels by number.
#[derive(Clone, Default)]
struct Life(Arc<Mutex<(bool, BTreeMap<u64, TcpStream>)>>);

impl Life {
    fn has_ended(&self) -> bool {
        self.0.lock().unwrap().0
    }

    /// Remembers a channel; false if the stand-in has ended.
    fn keep(&self, number: u64, stream: &TcpStream) -> bool {
        let mut life = self.0.lock().unwrap();
        if let Ok(stream) = stream.try_clone() {
            life.1.insert(number, stream);
        }
        !life.0
    }

    /// Closes a channel that is done.
    fn close(&self, number: u64) {
        if let Some(channel) = self.0.lock().unwrap().1.remove(&number) {
            let _closed = channel.shutdown(Shutdown::Both);
        }
    }

    /// Ends the stand-in at `address` and closes its channels.
    fn end(&self, address: SocketAddr) {
        let channels = {
            let mut life = self.0.lock().unwrap();
            life.0 = true;
            std::mem::take(&mut life.1)
        };
        for channel in channels.values() {
            let _closed = channel.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which ends then.
        let _woken = TcpStream::connect(address);
    }
}

fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

// The platform's store: topics of keyed records with one partition each.

/// Most entries in a page of newest records.
const PAGE_ENTRIES: usize = 500;

type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Clone, Default)]
struct Store(Arc<(Mutex<Topics>, Condvar)>);

impl Store {
    fn start() -> io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        let (listener, address) = listen()?;
        let served = store.clone();
        serve(listener, Life::default(), move |stream| {
            let _closed = served.clone().converse(stream);
        });
        Ok((store, address))
    }

    /// Appends a record; an empty value deletes the key.
    fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.0.0.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value.as_bytes().to_vec()));
        self.0.1.notify_all();
    }

    /// Number of records of a topic.
    fn len(&self, topic: &str) -> usize {
        self.0.0.lock().unwrap().get(topic).map_or(0, Vec::len)
    }

    /// The records of a topic from the offset `from` on.
    fn since(&self, topic: &str, from: usize) -> Vec<(String, Vec<u8>)> {
        let topics = self.0.0.lock().unwrap();
        topics.get(topic).map(|records| records[from.min(records.len())..].to_vec()).unwrap_or_default()
    }

    fn converse(self, stream: TcpStream) -> io::Result<()> {
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(req) = read_request(&mut reader)? {
            let (status, body) = self.answer(&req);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            out.write_all(&[head.as_bytes(), &body].concat())?;
        }
        Ok(())
    }

    fn answer(&self, req: &Request) -> (u16, Vec<u8>) {
        let (path, query) = req.target.split_once('?').unwrap_or((&req.target, ""));
        let query: BTreeMap<_, _> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or_default().to_owned();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<usize>().ok());
        match (req.method.as_str(), path) {
            ("GET", "/api/log-newest") => {
                let after = query.get("after").map(|after| percent_decoded(after)).unwrap_or_default();
                (200, self.newest(&topic, &after).into_bytes())
            }
            ("GET", "/api/log-read") => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
                (200, self.read(&topic, number("from").unwrap_or(0), wait))
            }
            ("POST", "/api/log-append") => self.append(&topic, number("at"), &req.body),
            _ => (404, b"{}".to_vec()),
        }
    }

    /// A page of the newest record of each key after `after`, with at most 500 entries.
    fn newest(&self, topic: &str, after: &str) -> String {
        let topics = self.0.0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let newest: BTreeMap<_, _> = records
            .iter()
            .enumerate()
            .map(|(offset, (key, value))| (key, (offset, value)))
            .collect();
        let mut live = newest
            .into_iter()
            .filter(|(key, (_, value))| key.as_str() > after && !value.is_empty());
        let entries: Vec<_> = live
            .by_ref()
            .take(PAGE_ENTRIES)
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let has_more = live.next().is_some();
        format!(
            "{{\"entries\":[{}],\"has_more\":{has_more},\"end\":{}}}",
            entries.join(","),
            records.len()
        )
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.0.0.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return body;
            }
            topics = self.0.1.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn append(&self, topic: &str, at: Option<usize>, body: &[u8]) -> (u16, Vec<u8>) {
        let mut topics = self.0.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let end = records.len();
        if at.is_some_and(|at| at != end) {
            return (412, format!("{{\"end\":{end}}}").into_bytes());
        }
        let Some((len, rest)) = body.get(4..).and_then(|body| body.split_first()) else {
            return (400, b"{}".to_vec());
        };
        let Some((key, value)) = rest.split_at_checked(usize::from(*len)) else {
            return (400, b"{}".to_vec());
        };
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        self.0.1.notify_all();
        (200, format!("{{\"offset\":{end},\"end\":{}}}", end + 1).into_bytes())
    }
}

fn percent_decoded(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, tail)) = rest.split_first() {
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code.filter(|_| *first == b'%') {
            Some(code) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = u32::from_be_bytes([
            0,
            chunk[0],
            chunk.get(1).copied().unwrap_or(0),
            chunk.get(2).copied().unwrap_or(0),
        ]);
        for digit in 0..4 {
            let index = (group >> (18 - 6 * digit)) & 63;
            let is_padding = digit > chunk.len();
            text.push(if is_padding { '=' } else { char::from(DIGITS[index as usize]) });
        }
    }
    text
}

// Servers.

/// Registers a server in the store and renews its entry as the pages say.
fn register(store: &Store, service: &'static str, version: &'static str, server: Server) {
    let born = unix_millis();
    let store = store.clone();
    thread::spawn(move || {
        let Server { id, address, life } = server;
        for seq in 1_u64.. {
            if life.has_ended() {
                store.put("keyed.servers", &id, "");
                return;
            }
            store.put(
                "keyed.servers",
                &id,
                &format!(
                    "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"z-a\",\"version\":\"{version}\",\
                     \"slots\":64,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":{seq},\"born\":{born}}}"
                ),
            );
            let renewed = Instant::now();
            while renewed.elapsed() < Duration::from_millis(1_200) && !life.has_ended() {
                thread::sleep(Duration::from_millis(50));
            }
        }
    });
}

#[derive(Clone)]
struct Server {
    id: String,
    address: SocketAddr,
    life: Life,
}

/// Starts a server that answers each request by `work`, after the checks of a sound server.
fn start_server(
    store: &Store,
    (service, version): (&'static str, &'static str),
    id: &str,
    work: impl Fn(&Request, &mut TcpStream, &str) -> io::Result<()> + Clone + Send + 'static,
) -> io::Result<Server> {
    let (listener, address) = listen()?;
    let own = id.to_owned();
    let server = Server { id: own.clone(), address, life: Life::default() };
    serve(listener, server.life.clone(), move |stream| {
        let converse = || -> io::Result<()> {
            let mut out = stream.try_clone()?;
            let mut reader = BufReader::new(stream.try_clone()?);
            while let Some(req) = read_request(&mut reader)? {
                let attempt = req.header("ebonyfall-attempt-id").to_owned();
                let expected = req.header("ebonyfall-expect-instance");
                if !expected.is_empty() && expected != own {
                    let answer = format!(
                        "HTTP/1.1 421 Misdirected Request\r\nEbonyfall-Attempt-Id: {attempt}\r\n\
                         Ebonyfall-Not-Executed: 1\r\nEbonyfall-Instance-Id: {own}\r\n\
                         Content-Length: 0\r\n\r\n"
                    );
                    out.write_all(answer.as_bytes())?;
                    continue;
                }
                let own_headers =
                    format!("Ebonyfall-Attempt-Id: {attempt}\r\nEbonyfall-Server-Seal: seal-{attempt}\r\n");
                work(&req, &mut out, &own_headers)?;
            }
            Ok(())
        };
        let _closed = converse();
    });
    register(store, service, version, server.clone());
    Ok(server)
}

// The router.

/// Addresses of the running router.
struct Router {
    listen: SocketAddr,
    ready: SocketAddr,
    child: Child,
    settings: PathBuf,
    run: String,
}

fn start_program(run: &str, settings: &PathBuf) -> Result<Child, String> {
    let mut words = run.split(' ');
    Command::new(words.next().unwrap_or_default())
        .args(words)
        .env_clear()
        .env("EBONYFALL_CONFIG", settings)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| format!("cannot start {run}: {error}"))
}

impl Router {
    /// Starts the program of the deploy file with settings from the deploy template.
    fn start(store: SocketAddr) -> Result<Self, String> {
        let (_, peers) = listen().map_err(|error| error.to_string())?;
        let router = Self::spawn(store, "edge-z-a-1", peers, &peers.to_string())?;
        router.wait_until_ready()?;
        Ok(router)
    }

    /// Starts a fleet of `count` routers, which reach each other at one port of several loopback
    /// addresses.
    fn start_fleet(store: SocketAddr, count: u8) -> Result<Vec<Self>, String> {
        let (_, free) = listen().map_err(|error| error.to_string())?;
        let peers = |number: u8| SocketAddr::from(([127, 0, 1, number], free.port()));
        let seeds = (1..=count.min(3)).map(|number| peers(number).to_string());
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let routers = (1..=count)
            .map(|number| Self::spawn(store, &format!("edge-z-a-{number}"), peers(number), &seeds));
        let routers = routers.collect::<Result<Vec<_>, _>>()?;
        for router in &routers {
            router.wait_until_ready()?;
        }
        Ok(routers)
    }

    fn spawn(store: SocketAddr, name: &str, peers: SocketAddr, seeds: &str) -> Result<Self, String> {
        let text = |error: io::Error| error.to_string();
        let deploy = fs::read_to_string("deploy/system.toml").map_err(text)?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.ok_or("no command in the deploy file")?.trim_matches('"').to_owned();
        let free = || listen().map(|(_, address)| address).map_err(text);
        let (front, ready, metrics) = (free()?, free()?, free()?);
        let values = [
            ("{{ip}}:9464", metrics.to_string()),
            ("{{ip}}:{{port_range.0}}", peers.to_string()),
            ("{{node}}", name.to_owned()),
            ("{{zone}}", "z-a".to_owned()),
            ("{{listen.front}}", front.to_string()),
            ("{{listen.ready}}", ready.to_string()),
            ("{{platform.addr}}", store.to_string()),
            ("{{seeds}}", seeds.to_owned()),
            ("{{bounds.drain_ms}}", "2000".to_owned()),
            ("{{bounds.grace_s}}", "8".to_owned()),
            ("{{bounds.revoke_ms}}", "5000".to_owned()),
            ("{{bounds.retry_ratio}}", "0.2".to_owned()),
            ("{{bounds.retry_slack}}", "58".to_owned()),
            ("{{bounds.retry_window_s}}", "10".to_owned()),
        ];
        let mut settings = fs::read_to_string("deploy/entry.ini").map_err(text)?;
        for (placeholder, value) in values {
            settings = settings.replace(placeholder, &value);
        }
        let path = env::temp_dir().join(format!("review-{}-{}.ini", process::id(), front.port()));
        fs::write(&path, settings).map_err(text)?;
        let child = start_program(&run, &path)?;
        Ok(Self { listen: front, ready, child, settings: path, run })
    }

    /// Ends the process by SIGKILL.
    fn kill(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }

    /// Starts the process again, with the same settings.
    fn restart(&mut self) -> Result<(), String> {
        self.child = start_program(&self.run, &self.settings)?;
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > Duration::from_secs(20) {
                return Err("the router did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            Ok(read_answer_head(&mut BufReader::new(stream))?.status)
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Sends a signal to the process.
    fn signal(&self, name: &str) -> Result<(), String> {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &id]).status();
        let sent = sent.map_err(|error| error.to_string())?;
        if sent.success() { Ok(()) } else { Err(format!("cannot send SIG{name}")) }
    }

    /// Memory that the process holds now, in bytes.
    fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kib << 10)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
        let _removed = fs::remove_file(&self.settings);
    }
}

struct Route {
    path: &'static str,
    kind: &'static str,
    service: &'static str,
    timeout_ms: u64,
    slo_ms: u64,
    max_attempts: u32,
    resumable: bool,
}

fn publish(store: &Store, version: u32, routes: &[Route]) {
    let list: Vec<_> = routes
        .iter()
        .enumerate()
        .map(|(number, route)| {
            let is_stream = route.kind == "stream";
            format!(
                "{{\"name\":\"r-{number}\",\"host\":\"{HOST}\",\"path_prefix\":\"{}\",\"type\":\"{}\",\
                 \"timeout_ms\":{},\"slo_ms\":{},\"priority\":1,\"service\":\"{}\",\"max_attempts\":{},\
                 \"public\":false,\"sticky\":{is_stream},\"resumable\":{},\"gap_aim_ms\":400}}",
                route.path, route.kind, route.timeout_ms, route.slo_ms, route.service, route.max_attempts,
                route.resumable
            )
        })
        .collect();
    let services: Vec<_> = ["pool", "app"]
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\
                 \"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":0.0}}"
            )
        })
        .collect();
    let state = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        list.join(","),
        services.join(",")
    );
    store.put("keyed.op", "config", &state);
}

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// Head of a client's request; returns its attempt id, too.
fn request_head(method: &str, path: &str, deadline_ms: u64, body_len: usize, extra: &str) -> (String, String) {
    let id = format!("{:016x}", 0xabcd_0000_u64 + ATTEMPTS.fetch_add(1, Ordering::Relaxed));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nEbonyfall-Attempt-Id: {id}\r\n\
         Ebonyfall-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{extra}\
         Content-Length: {body_len}\r\n\r\n"
    );
    (id, head)
}

// Case: a server in trouble sends bytes that are no answer, without end.

/// Time between two bytes of an answer without end.
const DRIP: Duration = Duration::from_millis(40);
/// Every so many requests, a server in trouble answers without end.
const ENDLESS_EVERY: u64 = 20;
const STREAM_REQUESTS: usize = 400;
const STREAM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A client leaves a stream after this time without an event: the longest of two seconds, four
/// times the objective (500 ms) and eight times the pause (400 ms).
const STREAM_PATIENCE: Duration = Duration::from_millis(3_200);
/// Time after the route's timeout at which the answer must have ended.
const END_SLACK: Duration = Duration::from_millis(500);

/// How one stream ended for its client.
struct StreamEnd {
    end: &'static str,
    after: Duration,
}

fn endless_stream(record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |error: io::Error| error.to_string();
    let (store, store_address) = Store::start().map_err(text)?;
    for id in ["s-1", "s-2"] {
        let served = record.clone();
        let count = Arc::new(AtomicU64::new(0));
        let work = move |req: &Request, out: &mut TcpStream, own_headers: &str| {
            let attempt = req.header("ebonyfall-attempt-id");
            let number = count.fetch_add(1, Ordering::Relaxed) + 1;
            let is_endless = trouble && number % ENDLESS_EVERY == 0;
            served.note(&format!("server {id} runs {attempt}, endless: {is_endless}"));
            let head = format!(
                "HTTP/1.1 200 OK\r\n{own_headers}Content-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            out.write_all(head.as_bytes())?;
            let mut send = |text: &str| out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
            if is_endless {
                // Half of the endless answers begin with an event.
                if number / ENDLESS_EVERY % 2 == 0 {
                    send("id: 1\ndata: token\n\n")?;
                }
                loop {
                    thread::sleep(DRIP);
                    if let Err(error) = send(":") {
                        served.note(&format!("server {id} finds the channel of {attempt} closed"));
                        return Err(error);
                    }
                }
            }
            for event in 1..=10 {
                send(&format!("id: {event}\ndata: token\n\n"))?;
                thread::sleep(Duration::from_millis(20));
            }
            out.write_all(b"0\r\n\r\n")
        };
        start_server(&store, ("pool", "v1"), id, work).map_err(text)?;
    }
    publish(&store, 7, &[Route {
        path: "/suggest/",
        kind: "stream",
        service: "pool",
        timeout_ms: STREAM_TIMEOUT.as_millis() as u64,
        slo_ms: 500,
        max_attempts: 1,
        resumable: false,
    }]);
    let router = Router::start(store_address)?;
    let clients: Vec<_> = (0..STREAM_REQUESTS)
        .map(|_| {
            thread::sleep(Duration::from_millis(40));
            let (record, listen) = (record.clone(), router.listen);
            thread::spawn(move || stream_client(&record, listen, 10_000))
        })
        .collect();
    let ends: Vec<StreamEnd> = clients.into_iter().filter_map(|client| client.join().ok()?.ok()).collect();
    let long = ends.iter().filter(|end| end.after >= STREAM_TIMEOUT).count();
    let late = ends.iter().filter(|end| end.after >= STREAM_TIMEOUT + END_SLACK).count();
    let whole = ends.iter().filter(|end| end.end == "whole").count();
    record.note(&format!(
        "{} requests, {whole} whole answers, {long} lasted longer than the timeout, {late} of these had \
         no end half a second later", ends.len()
    ));
    if ends.len() < STREAM_REQUESTS * 9 / 10 || whole < STREAM_REQUESTS / 2 {
        return Err("too few requests were answered to judge".to_owned());
    }
    Ok(late >= 8 && 4 * late > long)
}

fn stream_client(record: &Record, listen: SocketAddr, deadline_ms: u64) -> io::Result<StreamEnd> {
    let extra = "Ebonyfall-Model: m\r\nEbonyfall-Token-Counts: 829,36\r\n\
                 Ebonyfall-Prefix-Hash: 5c1e07a2:119,91bd3f06:580,e4402b7d:130\r\n";
    let (id, head) = request_head("POST", "/suggest/7", deadline_ms, 2, extra);
    let mut stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(Duration::from_millis(20)))?;
    let sent = Instant::now();
    stream.write_all(format!("{head}hi").as_bytes())?;
    record.note(&format!("client sends {id}"));
    let (mut received, mut events, mut last_event) = (Vec::new(), 0, sent);
    let mut buf = [0; 4096];
    let end = loop {
        match stream.read(&mut buf) {
            Ok(0) => break "closed",
            Ok(len) => {
                received.extend(&buf[..len]);
                let text = String::from_utf8_lossy(&received);
                let found = text.matches("data: token\n\n").count();
                if found > events {
                    (events, last_event) = (found, Instant::now());
                }
                if text.ends_with("\r\n0\r\n\r\n") {
                    break "whole";
                }
                let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
                let len = head.to_ascii_lowercase();
                let len = len.split("content-length: ").nth(1).and_then(|rest| rest.lines().next()?.parse().ok());
                if len.is_some_and(|len: usize| body.len() >= len) {
                    break "refused";
                }
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(_reset) => break "closed",
        }
        if last_event.elapsed() > STREAM_PATIENCE {
            break "left by the client";
        }
    };
    let after = sent.elapsed();
    let first = String::from_utf8_lossy(&received);
    let first = first.lines().next().unwrap_or("no answer").to_owned();
    record.note(&format!("client has {id}: {first}, {events} events, {end} after {} ms", after.as_millis()));
    Ok(StreamEnd { end, after })
}

// Case: many clients at once send bodies of the largest size that the limits allow.

/// Memory that the platform lets a process have, as in the settings of the small sites.
const MEMORY_LIMIT: u64 = 260 << 20;
const LARGE_CLIENTS: u64 = 72;
const LARGE_BODY: usize = 4_194_304;
/// Time in which the large bodies are sent: 302 MB in 3 s stay below a link of 1,000 Mbit/s.
const UPLOAD_TIME: Duration = Duration::from_secs(3);
const KEPT_CLIENTS: u64 = 12;

fn large_bodies(record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |error: io::Error| error.to_string();
    let (store, store_address) = Store::start().map_err(text)?;
    let running: Arc<Mutex<BTreeMap<String, bool>>> = Arc::default();
    for id in ["a-1", "a-2", "a-3"] {
        let (served, running) = (record.clone(), Arc::clone(&running));
        let work = move |req: &Request, out: &mut TcpStream, own_headers: &str| {
            let attempt = req.header("ebonyfall-attempt-id").to_owned();
            served.note(&format!("server {id} runs {attempt}, body of {} bytes", req.body.len()));
            running.lock().unwrap().insert(attempt.clone(), false);
            thread::sleep(Duration::from_millis(400));
            let answer = format!("HTTP/1.1 200 OK\r\n{own_headers}Content-Length: 4\r\n\r\ndone");
            out.write_all(answer.as_bytes())?;
            served.note(&format!("server {id} has answered {attempt}"));
            running.lock().unwrap().insert(attempt, true);
            Ok(())
        };
        start_server(&store, ("app", "v1"), id, work).map_err(text)?;
    }
    publish(&store, 7, &[Route {
        path: "/order/",
        kind: "unsafe",
        service: "app",
        timeout_ms: 10_000,
        slo_ms: 150,
        max_attempts: 1,
        resumable: false,
    }]);
    let mut router = Router::start(store_address)?;
    let stop = Arc::new(AtomicBool::new(false));
    let kept: Vec<_> = (0..KEPT_CLIENTS)
        .map(|_| {
            let (record, listen, stop) = (record.clone(), router.listen, Arc::clone(&stop));
            thread::spawn(move || kept_client(&record, listen, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let large: Vec<_> = (0..if trouble { LARGE_CLIENTS } else { 0 })
        .map(|_| {
            let (record, listen) = (record.clone(), router.listen);
            thread::spawn(move || {
                if let Err(error) = large_client(&record, listen) {
                    record.note(&format!("client with a large body: {error}"));
                }
            })
        })
        .collect();
    // The platform kills a process that holds more memory than its limit.
    let watched = Instant::now();
    let (mut most, mut killed) = (0, false);
    while watched.elapsed() < Duration::from_secs(8) && !killed {
        let memory = router.memory().unwrap_or(0);
        most = most.max(memory);
        if memory > MEMORY_LIMIT {
            record.note(&format!("the platform kills the router, which holds {} MiB", memory >> 20));
            let _ended = router.child.kill();
            killed = true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.note(&format!("most memory of the router: {} MiB", most >> 20));
    stop.store(true, Ordering::Relaxed);
    let mut lost = 0;
    for client in kept {
        let unanswered = client.join().map_err(|_panic| "a client failed".to_owned())?;
        for id in unanswered {
            let has_run = running.lock().unwrap().contains_key(&id);
            record.note(&format!("{id} has no answer on its kept channel; passed on to a server: {has_run}"));
            lost += u32::from(has_run);
        }
    }
    for client in large {
        let _done = client.join();
    }
    record.note(&format!("{lost} requests from kept channels were passed on and got no answer"));
    Ok(lost > 3)
}

/// Sends one request after another on a kept channel; returns those without an answer, except a
/// first one on the channel.
fn kept_client(record: &Record, listen: SocketAddr, stop: &AtomicBool) -> Vec<String> {
    let Ok(mut stream) = TcpStream::connect(listen) else {
        return Vec::new();
    };
    let _unset = stream.set_read_timeout(Some(Duration::from_secs(12)));
    let Ok(clone) = stream.try_clone() else {
        return Vec::new();
    };
    let mut reader = BufReader::new(clone);
    let mut answered = 0;
    while !stop.load(Ordering::Relaxed) {
        let (id, head) = request_head("POST", "/order/7", 10_000, 5, "");
        record.note(&format!("client sends {id} on a kept channel"));
        let sent = stream.write_all(format!("{head}spine").as_bytes());
        let answer = sent.and_then(|()| {
            let answer = read_answer_head(&mut reader)?;
            read_whole_body(&mut reader, &answer)?;
            Ok(answer)
        });
        match answer {
            Ok(answer) => {
                record.note(&format!("client has {id}: {}", answer.status));
                answered += 1;
            }
            Err(error) => {
                record.note(&format!("client has {id}: no answer, {error}"));
                return if answered > 0 { vec![id] } else { Vec::new() };
            }
        }
    }
    Vec::new()
}

fn large_client(record: &Record, listen: SocketAddr) -> io::Result<()> {
    let (id, head) = request_head("POST", "/order/8", 10_000, LARGE_BODY, "");
    let mut stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    record.note(&format!("client sends {id} with a body of {LARGE_BODY} bytes"));
    stream.write_all(head.as_bytes())?;
    let (start, slice) = (Instant::now(), vec![b'x'; 65_536]);
    let slices = LARGE_BODY / slice.len();
    for number in 0..slices {
        stream.write_all(&slice)?;
        let due = UPLOAD_TIME * (number as u32 + 1) / slices as u32;
        thread::sleep(due.saturating_sub(start.elapsed()));
    }
    let mut reader = BufReader::new(stream);
    let answer = read_answer_head(&mut reader)?;
    read_whole_body(&mut reader, &answer)?;
    record.note(&format!("client has {id}: {}", answer.status));
    Ok(())
}

// Case: a router that was frozen records the end of a version move whose order has been replaced.

/// Share and slack of requests that a bad version may get.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const FIRST_ORDER: Duration = Duration::from_secs(12);
/// The operator gives the move more time, from this time after the first order.
const SECOND_ORDER_AT: Duration = Duration::from_millis(9_300);
const SECOND_ORDER: Duration = Duration::from_secs(30);
/// A router stands still from this time after the first order.
const FREEZE_AT: Duration = Duration::from_millis(9_000);
const FREEZE: Duration = Duration::from_millis(3_500);
/// The new version begins to fail at this time after the first order.
const BAD_FROM: Duration = Duration::from_secs(18);
/// One in so many answers of the bad version is a failure.
const BAD_EVERY: u64 = 3;
const FLEET: u8 = 6;
const REQUEST_INTERVAL: Duration = Duration::from_millis(125);

/// Requests that reached the servers: time, attempt id and version.
type Arrivals = Arc<Mutex<Vec<(Duration, String, &'static str)>>>;

fn stale_move(record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |error: io::Error| error.to_string();
    let (store, store_address) = Store::start().map_err(text)?;
    let arrivals = Arrivals::default();
    let is_bad = Arc::new(AtomicBool::new(false));
    let start = |id: &str, version: &'static str| {
        let (served, arrivals, is_bad) = (record.clone(), Arc::clone(&arrivals), Arc::clone(&is_bad));
        let (own, count) = (id.to_owned(), Arc::new(AtomicU64::new(0)));
        let work = move |req: &Request, out: &mut TcpStream, own_headers: &str| {
            let attempt = req.header("ebonyfall-attempt-id").to_owned();
            arrivals.lock().unwrap().push((served.now(), attempt.clone(), version));
            let number = count.fetch_add(1, Ordering::Relaxed);
            let fails = version == "v2" && is_bad.load(Ordering::Relaxed) && number % BAD_EVERY == 0;
            let status = if fails { 500 } else { 200 };
            thread::sleep(Duration::from_millis(20));
            served.note(&format!("server {own} ({version}) runs {attempt}: {status}"));
            let answer = format!("HTTP/1.1 {status} X\r\n{own_headers}Content-Length: 4\r\n\r\ndone");
            out.write_all(answer.as_bytes())
        };
        start_server(&store, ("app", version), id, work).map_err(text)
    };
    let old = ["o-1", "o-2", "o-3"].map(|id| start(id, "v1"));
    let old: Vec<Server> = old.into_iter().collect::<Result<_, _>>()?;
    publish(&store, 7, &[Route {
        path: "/status/",
        kind: "safe",
        service: "app",
        timeout_ms: 2_000,
        slo_ms: 300,
        max_attempts: 2,
        resumable: false,
    }]);
    let routers = Router::start_fleet(store_address, FLEET)?;
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<BTreeMap<String, usize>>>::default());
    let clients: Vec<_> = (0..routers.len())
        .map(|index| {
            let (record, listen) = (record.clone(), routers[index].listen);
            let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let begun = Instant::now();
                    status_client(&record, listen, index, &sent);
                    thread::sleep(REQUEST_INTERVAL.saturating_sub(begun.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    for id in ["n-1", "n-2", "n-3"] {
        start(id, "v2")?;
    }
    let order = |length: Duration| {
        let value = format!(
            "{{\"service\":\"app\",\"target\":\"v2\",\"duration_s\":{}}}", length.as_secs()
        );
        store.put("keyed.op", "rollout/app", &value);
        record.note(&format!("the operator orders the move to v2 within {} s", length.as_secs()));
    };
    order(FIRST_ORDER);
    let ordered = Instant::now();
    let sleep_until = |at: Duration| thread::sleep(at.saturating_sub(ordered.elapsed()));
    sleep_until(FREEZE_AT);
    if trouble {
        record.note("router 1 stands still");
        routers[0].signal("STOP")?;
    }
    sleep_until(SECOND_ORDER_AT);
    let judged_from = record.now();
    let seen = store.len("keyed.status");
    order(SECOND_ORDER);
    let operator = {
        let (record, store, stop, old) = (record.clone(), store.clone(), Arc::clone(&stop), old.clone());
        thread::spawn(move || follow_move(&record, &store, seen, &stop, &old))
    };
    sleep_until(FREEZE_AT + FREEZE);
    if trouble {
        record.note("router 1 goes on");
        routers[0].signal("CONT")?;
    }
    sleep_until(BAD_FROM);
    record.note("v2 begins to fail");
    is_bad.store(true, Ordering::Relaxed);
    sleep_until(SECOND_ORDER_AT + SECOND_ORDER);
    let judged_until = record.now();
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_panic| "a client failed".to_owned())?;
    }
    operator.join().map_err(|_panic| "the operator failed".to_owned())?;
    let sent = sent.lock().unwrap();
    let mut reached = BTreeMap::new();
    for (at, id, version) in arrivals.lock().unwrap().iter() {
        // Requests of the router that stood still don't count: it wasn't in touch.
        if *at >= judged_from && *at < judged_until && sent.get(id).is_some_and(|router| *router != 0) {
            let exposed = reached.entry(id.clone()).or_insert(false);
            *exposed |= *version == "v2";
        }
    }
    let exposed = reached.values().filter(|exposed| **exposed).count() as f64;
    let bound = EXPOSURE_SHARE * reached.len() as f64 + EXPOSURE_SLACK;
    record.note(&format!(
        "of {} requests that reached the service by routers in touch, {exposed} reached v2; the bound is {bound:.1}",
        reached.len()
    ));
    if reached.len() < 100 {
        return Err("too few requests reached the service to judge".to_owned());
    }
    Ok(exposed > bound)
}

/// Reads what the system records of the move, as the operator does, and stops the old servers when
/// the move is complete.
fn follow_move(record: &Record, store: &Store, mut seen: usize, stop: &AtomicBool, old: &[Server]) {
    while !stop.load(Ordering::Relaxed) {
        for (key, value) in store.since("keyed.status", seen) {
            seen += 1;
            let value = String::from_utf8_lossy(&value).into_owned();
            record.note(&format!("the operator reads status/{key}: {value}"));
            if value.contains("\"complete\"") && value.contains("\"v2\"") {
                record.note("the operator stops the servers of v1");
                for server in old {
                    server.life.end(server.address);
                }
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn status_client(
    record: &Record,
    listen: SocketAddr,
    router: usize,
    sent: &Mutex<BTreeMap<String, usize>>,
) -> bool {
    // Requests differ, so that a stop of servers isn't taken for the work of one of them.
    let path = format!("/status/{}", ATTEMPTS.load(Ordering::Relaxed));
    let (id, head) = request_head("GET", &path, 2_000, 0, "");
    sent.lock().unwrap().insert(id.clone(), router);
    let call = || -> io::Result<u16> {
        let mut stream = TcpStream::connect(listen)?;
        stream.set_read_timeout(Some(Duration::from_millis(2_100)))?;
        stream.write_all(head.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let answer = read_answer_head(&mut reader)?;
        read_whole_body(&mut reader, &answer)?;
        Ok(answer.status)
    };
    let result = call().map_or_else(|error| format!("no answer, {error}"), |status| status.to_string());
    record.note(&format!("client of router {} sends {id} and has: {result}", router + 1));
    result == "200"
}

// Case: another writer has entries in the list of servers when the routers start again.

const FOREIGN_ENTRIES: u32 = 600;
const FOREIGN_PREFIX: &str = "r&d-";
/// Time for which all machines are down.
const DOWN: Duration = Duration::from_millis(600);
/// Time after which the machines must serve again.
const RECOVER: Duration = Duration::from_secs(12);
const JUDGED: Duration = Duration::from_secs(8);
/// Pause until the platform starts a process again that it has killed.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

fn foreign_entries(record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |error: io::Error| error.to_string();
    let (store, store_address) = Store::start().map_err(text)?;
    for id in ["s-1", "s-2", "s-3"] {
        let served = record.clone();
        let work = move |req: &Request, out: &mut TcpStream, own_headers: &str| {
            thread::sleep(Duration::from_millis(20));
            served.note(&format!("server {id} runs {}", req.header("ebonyfall-attempt-id")));
            let answer = format!("HTTP/1.1 200 OK\r\n{own_headers}Content-Length: 4\r\n\r\ndone");
            out.write_all(answer.as_bytes())
        };
        start_server(&store, ("app", "v1"), id, work).map_err(text)?;
    }
    let routes = [Route {
        path: "/status/",
        kind: "safe",
        service: "app",
        timeout_ms: 2_000,
        slo_ms: 300,
        max_attempts: 2,
        resumable: false,
    }];
    publish(&store, 7, &routes);
    let mut routers = Router::start_fleet(store_address, 3)?;
    let stop = Arc::new(AtomicBool::new(false));
    // Time of sending of each request, and whether it was served.
    let results: Arc<Mutex<Vec<(Duration, bool)>>> = Arc::default();
    let clients: Vec<_> = (0..routers.len())
        .map(|index| {
            let (record, listen) = (record.clone(), routers[index].listen);
            let (stop, results) = (Arc::clone(&stop), Arc::clone(&results));
            thread::spawn(move || {
                let sent = Mutex::default();
                while !stop.load(Ordering::Relaxed) {
                    let (at, begun) = (record.now(), Instant::now());
                    let is_served = status_client(&record, listen, index, &sent);
                    results.lock().unwrap().push((at, is_served));
                    thread::sleep(REQUEST_INTERVAL.saturating_sub(begun.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if trouble {
        record.note(&format!("another writer adds {FOREIGN_ENTRIES} entries without the fields of a server"));
        let (store, stop) = (store.clone(), Arc::clone(&stop));
        thread::spawn(move || {
            // It renews its entries like a server, so that they stay.
            for seq in 1_u64.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                for number in 0..FOREIGN_ENTRIES {
                    let value = format!("{{\"kind\":\"label printer\",\"number\":{number},\"seq\":{seq}}}");
                    store.put("keyed.servers", &format!("{FOREIGN_PREFIX}{number:03}"), &value);
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
    thread::sleep(Duration::from_secs(4));
    let fault = record.now();
    publish(&store, 9, &routes);
    record.note("a desired state is acknowledged, and all processes are killed");
    routers.iter_mut().for_each(Router::kill);
    thread::sleep(DOWN);
    for router in &mut routers {
        router.restart()?;
    }
    let back = record.now();
    record.note("all machines are back");
    while record.now() < back + RECOVER + JUDGED {
        for (index, router) in routers.iter_mut().enumerate() {
            let memory = router.memory().unwrap_or(0);
            if memory > MEMORY_LIMIT {
                record.note(&format!(
                    "the platform kills router {}, which holds {} MiB, and starts it again",
                    index + 1, memory >> 20
                ));
                router.kill();
                thread::sleep(RESTART_PAUSE);
                router.restart()?;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    let ready = routers.iter().filter(|router| router.is_ready()).count();
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_panic| "a client failed".to_owned())?;
    }
    let results = results.lock().unwrap();
    let share = |from: Duration, until: Duration| {
        let judged: Vec<_> = results.iter().filter(|(at, _)| *at >= from && *at < until).collect();
        let served = judged.iter().filter(|(_, is_served)| *is_served).count();
        (served, judged.len())
    };
    let (before, sent_before) = share(Duration::ZERO, fault);
    let (after, sent_after) = share(back + RECOVER, back + RECOVER + JUDGED);
    record.note(&format!(
        "served before the fault: {before} of {sent_before}; of the requests sent later than {} s after \
         the machines were back: {after} of {sent_after}; routers ready at the end: {ready}",
        RECOVER.as_secs()
    ));
    if 4 * before < sent_before || sent_after < 20 {
        return Err("too few requests were sent or served to judge".to_owned());
    }
    Ok(4 * after < sent_after)
}
