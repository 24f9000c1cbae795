//! Simulated keyed log store of the platform: lists the newest record of each key, and answers
//! reads by offset that wait for new records.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use ebonyfall::{
    callers::CallerGuard,
    web::{self, Shared},
};
use gotham::{handler::HandlerResult, helpers::http::Body, prelude::FromState, state::State};
use http::{HeaderValue, Method, Response, StatusCode, Uri};
use percent_encoding::percent_decode_str;
use serde_json::json;
use slog::{Discard, Logger, o};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};

/// Bind address for a free loopback port.
pub(crate) const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Most entries in one page of newest records, and most bytes of their values, unless one has more.
const PAGE_ENTRIES: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
/// Largest body of an append, with one record.
const MAX_RECORD_BYTES: usize = 1 << 18;
/// Size of the records in an answer to a read, unless the caller names another one, in KiB. The first
/// record is sent whatever its size.
const DEFAULT_READ_KB: u64 = 1_024;
/// Size of the offsets before the records in an answer to a read.
const READ_HEADER_BYTES: usize = 16;

/// Fault that the store injects into every call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Calls are answered correctly.
    #[default]
    None,
    /// Calls never get an answer.
    NoAnswer,
    /// Calls are answered with status 503.
    Unavailable,
    /// Every other call is answered with status 429, as when the fleet exceeds its call rate.
    RateLimited,
    /// Appends are answered with status 503, reads correctly.
    ReadOnly,
    /// Lists of newest records are answered with status 503, other calls correctly.
    NoLists,
}

/// Path of the lists of newest records.
const NEWEST_PATH: &str = "/api/log-newest";

/// Key and value of a record; `None` for a deletion.
type Record = (String, Option<Arc<[u8]>>);

enum Command {
    Append(
        String,
        Option<u64>,
        Record,
        oneshot::Sender<Result<u64, u64>>,
    ),
    ReadTopic(String, oneshot::Sender<Vec<Record>>),
    Restore(Vec<(String, usize)>, oneshot::Sender<()>),
    SetFault(StoreFault),
}

/// Handle to the simulated store.
#[derive(Debug, Clone)]
pub struct KeyedStore {
    tx: mpsc::Sender<Command>,
    changes: watch::Receiver<u64>,
    fault: watch::Receiver<StoreFault>,
    /// Rises by one with each restore.
    era: watch::Receiver<u64>,
    calls: Arc<AtomicU64>,
}

impl KeyedStore {
    /// Starts a store on a free loopback port and returns its address.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub async fn start() -> (Self, SocketAddr) {
        let (tx, rx) = mpsc::channel(1_024);
        let (change_tx, changes) = watch::channel(0);
        let (fault_tx, fault) = watch::channel(StoreFault::None);
        let (era_tx, era) = watch::channel(1);
        tokio::spawn(run(rx, change_tx, fault_tx, era_tx));
        let store = Self {
            tx,
            changes,
            fault,
            era,
            calls: Arc::default(),
        };
        let listener = web::bind(LOOPBACK).await.expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let (stop, running) = watch::channel(false);
        let shared = Shared::new(store.clone());
        let handler = move || {
            let store = shared.clone();
            Ok(move |state: State| Box::pin(handle(store.into_inner(), state)) as HandlerTask)
        };
        let log = Logger::root(Discard, o!());
        tokio::spawn(async move {
            web::serve(
                listener,
                handler,
                web::ConnectionLimits::simulated,
                CallerGuard::default(),
                running,
                log,
            )
            .await;
            drop(stop);
        });
        (store, address)
    }

    /// Appends a JSON record for a key; `None` deletes the key.
    pub async fn put(&self, topic: &str, key: &str, value: Option<&serde_json::Value>) {
        let value = value.map(|value| value.to_string().into_bytes());
        self.put_bytes(topic, key, value).await;
    }

    /// Appends a record with this value for a key; `None` deletes the key.
    pub async fn put_bytes(&self, topic: &str, key: &str, value: Option<Vec<u8>>) {
        let record = (key.to_owned(), value.map(Arc::from));
        let _end = self
            .call(|reply| Command::Append(topic.to_owned(), None, record, reply))
            .await;
    }

    /// Returns every value that was written for a key, oldest first, without deletions.
    pub async fn values(&self, topic: &str, key: &str) -> Vec<Vec<u8>> {
        let records = self
            .call(|reply| Command::ReadTopic(topic.to_owned(), reply))
            .await;
        let found = records.into_iter().filter(|(found, _)| found == key);
        let values = found.filter_map(|(_, value)| value);
        values.map(|value| value.to_vec()).collect()
    }

    /// Goes back to a copy that lacks the last records of each topic: as many as named for it. Their
    /// offsets are given out again.
    pub async fn restore(&self, lost: &[(&str, usize)]) {
        let lost = lost
            .iter()
            .map(|(topic, count)| ((*topic).to_owned(), *count));
        let lost = lost.collect();
        self.call(|reply| Command::Restore(lost, reply)).await;
    }

    /// Returns whether a fault has been set or cleared since the store's start.
    pub fn had_fault(&self) -> bool {
        self.fault.has_changed().unwrap_or(true)
    }

    /// Sets the fault for new calls; `NoAnswer` and `Unavailable` also apply to waiting ones.
    pub async fn set_fault(&self, fault: StoreFault) {
        let _ended = self.tx.send(Command::SetFault(fault)).await;
    }

    async fn call<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> T {
        let (reply, answer) = oneshot::channel();
        let _ended = self.tx.send(command(reply)).await;
        answer.await.expect("the task lives as long as its handles")
    }
}

type HandlerTask = std::pin::Pin<Box<gotham::handler::HandlerFuture>>;

async fn run(
    mut rx: mpsc::Receiver<Command>,
    change_tx: watch::Sender<u64>,
    fault: watch::Sender<StoreFault>,
    era: watch::Sender<u64>,
) {
    let mut topics: BTreeMap<String, Vec<Record>> = BTreeMap::new();
    while let Some(command) = rx.recv().await {
        match command {
            Command::Append(topic, at, record, reply) => {
                let records = topics.entry(topic).or_default();
                let end = records.len() as u64;
                let fits = at.is_none_or(|at| at == end);
                if fits {
                    records.push(record);
                    change_tx.send_modify(|count| *count += 1);
                }
                let _gone = reply.send(if fits { Ok(end + 1) } else { Err(end) });
            }
            Command::ReadTopic(topic, reply) => {
                let _gone = reply.send(topics.get(&topic).cloned().unwrap_or_default());
            }
            Command::Restore(lost, reply) => {
                for (topic, count) in lost {
                    let records = topics.entry(topic).or_default();
                    records.truncate(records.len().saturating_sub(count));
                }
                era.send_modify(|era| *era += 1);
                change_tx.send_modify(|count| *count += 1);
                let _gone = reply.send(());
            }
            Command::SetFault(new) => {
                fault.send_replace(new);
            }
        }
    }
}

async fn handle(store: KeyedStore, mut state: State) -> HandlerResult {
    let res = serve(&store, &mut state).await;
    // The fault also applies to calls that were waiting when it was set.
    let fault = *store.fault.borrow();
    let mut res = match fault {
        StoreFault::None | StoreFault::RateLimited | StoreFault::ReadOnly | StoreFault::NoLists => {
            res
        }
        StoreFault::NoAnswer => std::future::pending().await,
        StoreFault::Unavailable => web::json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
    };
    let era = HeaderValue::from(*store.era.borrow());
    res.headers_mut().insert("store-era", era);
    Ok((state, res))
}

async fn serve(store: &KeyedStore, state: &mut State) -> Response<Body> {
    let call = store.calls.fetch_add(1, Ordering::Relaxed);
    let is_write = *Method::borrow_from(state) == Method::POST;
    let is_list = Uri::borrow_from(state).path() == NEWEST_PATH;
    match *store.fault.borrow() {
        StoreFault::None => {}
        StoreFault::ReadOnly if !is_write => {}
        StoreFault::NoLists if !is_list => {}
        StoreFault::ReadOnly | StoreFault::NoLists => {
            return web::json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        StoreFault::RateLimited if call.is_multiple_of(2) => {}
        StoreFault::RateLimited => {
            return web::json_response(StatusCode::TOO_MANY_REQUESTS, &json!({}));
        }
        StoreFault::NoAnswer | StoreFault::Unavailable => return Response::new(web::full_body("")),
    }
    let uri = Uri::borrow_from(state).clone();
    let method = Method::borrow_from(state).clone();
    let query: BTreeMap<_, _> = uri
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .collect();
    let topic = query.get("topic").copied().unwrap_or_default().to_owned();
    let number = |key: &str| query.get(key).and_then(|text| text.parse::<u64>().ok());
    match (method.as_str(), uri.path()) {
        ("GET", NEWEST_PATH) => {
            let records = store.call(|reply| Command::ReadTopic(topic, reply)).await;
            let after = query.get("after");
            let after = after.map(|key| percent_decode_str(key).decode_utf8_lossy());
            newest_page(&records, after.as_deref())
        }
        ("GET", "/api/log-read") => {
            let from = number("from").unwrap_or_default();
            let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
            let records = read_or_wait(store, &topic, from, wait).await;
            if from > records.len() as u64 {
                return web::json_response(StatusCode::GONE, &json!({ "first": 0 }));
            }
            let max_bytes = number("max_kb").unwrap_or(DEFAULT_READ_KB) << 10;
            encode_records(&records, from, max_bytes)
        }
        ("POST", "/api/log-append") => {
            let at = number("at");
            let body = web::read_body(state, MAX_RECORD_BYTES)
                .await
                .unwrap_or_default();
            let record = decode_record(&body).expect("the caller sends one keyed record");
            match store
                .call(|reply| Command::Append(topic, at, record, reply))
                .await
            {
                Ok(end) => {
                    web::json_response(StatusCode::OK, &json!({ "offset": end - 1, "end": end }))
                }
                Err(end) => {
                    web::json_response(StatusCode::PRECONDITION_FAILED, &json!({ "end": end }))
                }
            }
        }
        _ => web::json_response(StatusCode::NOT_FOUND, &json!({})),
    }
}

async fn read_or_wait(store: &KeyedStore, topic: &str, from: u64, wait: Duration) -> Vec<Record> {
    let mut changes = store.changes.clone();
    let until = time::Instant::now() + wait;
    loop {
        changes.mark_unchanged();
        let records = store
            .call(|reply| Command::ReadTopic(topic.to_owned(), reply))
            .await;
        if records.len() as u64 != from {
            return records;
        }
        if !matches!(time::timeout_at(until, changes.changed()).await, Ok(Ok(()))) {
            return records;
        }
    }
}

fn newest_page(records: &[Record], after: Option<&str>) -> Response<Body> {
    let newest: BTreeMap<_, _> = records
        .iter()
        .enumerate()
        .map(|(offset, (key, value))| (key.as_str(), (offset, value)))
        .collect();
    let live = newest.into_iter().filter_map(|(key, (offset, value))| {
        let is_later = after.is_none_or(|after| key > after);
        let value = value.as_ref().filter(|_| is_later)?;
        Some((key, offset, value))
    });
    let (mut entries, mut bytes, mut has_more) = (Vec::new(), 0, false);
    for (key, offset, value) in live {
        let fits = entries.is_empty() || bytes + value.len() <= PAGE_BYTES;
        if entries.len() == PAGE_ENTRIES || !fits {
            has_more = true;
            break;
        }
        bytes += value.len();
        let value = BASE64_STANDARD.encode(value);
        entries.push(json!({ "key": key, "value": value, "offset": offset }));
    }
    let end = records.len();
    web::json_response(
        StatusCode::OK,
        &json!({ "entries": entries, "has_more": has_more, "end": end }),
    )
}

fn encode_records(records: &[Record], from: u64, max_bytes: u64) -> Response<Body> {
    let mut body = (records.len() as u64).to_be_bytes().to_vec();
    body.extend(0_u64.to_be_bytes());
    let from = usize::try_from(from).unwrap_or(usize::MAX);
    for (key, value) in records.iter().skip(from) {
        let value = value.as_deref().unwrap_or_default();
        let len = u32::try_from(1 + key.len() + value.len()).expect("records are short");
        let is_first = body.len() == READ_HEADER_BYTES;
        if !is_first && (body.len() + value.len()) as u64 > max_bytes {
            break;
        }
        body.extend(len.to_be_bytes());
        body.push(u8::try_from(key.len()).expect("keys are short"));
        body.extend(key.as_bytes());
        body.extend(value);
    }
    Response::new(web::full_body(body))
}

fn decode_record(body: &[u8]) -> Option<Record> {
    let (len, key) = body.get(4..)?.split_first()?;
    let (key, value) = key.split_at_checked(usize::from(*len))?;
    let value = Some(value).filter(|value| !value.is_empty());
    let value = value.map(Arc::from);
    Some((String::from_utf8(key.to_vec()).ok()?, value))
}
