//! HTTP client that sends chats and orders and checks every answer.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use ebonyfall_standin::{
    deploy::TEAM_KEY,
    engine::{self, EngineStatus},
};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

/// How one request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete and correct answer.
    Completed {
        /// Whether the engine reported the chat's context as cached.
        cached: bool,
    },
    /// An answer that ended without an error but differs from the expected one.
    WrongAnswer,
    /// The request or its answer failed on the connection, or the stream was malformed.
    Interrupted,
    /// An error answer with this result code; 0 if the answer has no numeric code.
    Refused(u64),
    /// The connection could not be established, so nothing was sent.
    NotConnected,
}

/// Times of one request, from its start.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Until the first event of a stream, or the headers of any other answer.
    pub first_event: Duration,
    /// Until the end of the answer, or its headers if it failed.
    pub total: Duration,
}

/// Client of one router or engine.
#[derive(Debug, Clone)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

/// The messages of a chat after `turns` answered questions, with a new question at the end.
pub fn messages(chat: u64, turns: u32, tokens: u32) -> Vec<Value> {
    let mut messages = vec![json!({ "role": "system", "content": "You suggest call numbers." })];
    for turn in 0..=turns {
        let question = format!("chat {chat}, question {turn}: which shelf?");
        messages.push(json!({ "role": "user", "content": question }));
        if turn < turns {
            let text = engine::answer(&messages, tokens);
            messages.push(json!({ "role": "assistant", "content": text }));
        }
    }
    messages
}

impl Caller {
    /// Creates a client that reuses its connections to `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_max_idle(address, usize::MAX)
    }

    /// Creates a client that opens a new connection for each request.
    pub fn without_keep_alive(address: SocketAddr) -> Self {
        Self::with_max_idle(address, 0)
    }

    fn with_max_idle(address: SocketAddr, max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        builder.pool_max_idle_per_host(max_idle);
        Self {
            http: builder.build(connector),
            address,
        }
    }

    /// Sends one turn of a chat and compares the answer with the expected text.
    pub async fn chat(&self, messages: &[Value], tokens: u32, stream: bool) -> (Outcome, Timing) {
        let start = Instant::now();
        let body = json!({
            "model": "labels", "messages": messages, "max_tokens": tokens, "stream": stream,
        });
        let res = self
            .send("POST", "/v1/chat/completions", &body.to_string(), &[])
            .await;
        let mut timing = Timing {
            first_event: start.elapsed(),
            total: start.elapsed(),
        };
        let res = match res {
            Ok(res) => res,
            Err(error) if error.is_connect() => return (Outcome::NotConnected, timing),
            Err(_) => return (Outcome::Interrupted, timing),
        };
        if !res.status().is_success() {
            return (read_error(res).await, timing);
        }
        let (text, cached) = if stream {
            match read_stream(res, start, &mut timing).await {
                Some(answer) => answer,
                None => return (Outcome::Interrupted, timing),
            }
        } else {
            let Ok(body) = res.into_body().collect().await else {
                return (Outcome::Interrupted, timing);
            };
            let value: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
            let text = value["choices"][0]["message"]["content"]
                .as_str()
                .unwrap_or_default();
            (text.to_owned(), value["usage"]["cached"] == true)
        };
        timing.total = start.elapsed();
        if text == engine::answer(messages, tokens) {
            (Outcome::Completed { cached }, timing)
        } else {
            (Outcome::WrongAnswer, timing)
        }
    }

    /// Sends an order, which must not run twice, with an optional idempotency key.
    pub async fn order(&self, item: &str, key: Option<&str>) -> Outcome {
        let headers: Vec<_> = key
            .map(|key| ("idempotency-key", key))
            .into_iter()
            .collect();
        let Ok(res) = self.send("POST", "/print/orders", item, &headers).await else {
            return Outcome::Interrupted;
        };
        if !res.status().is_success() {
            return read_error(res).await;
        }
        let Ok(body) = res.into_body().collect().await else {
            return Outcome::Interrupted;
        };
        let value: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        if value["item"] == item {
            Outcome::Completed { cached: false }
        } else {
            Outcome::WrongAnswer
        }
    }

    /// Number of requests that the engine stand-in has received; `None` if it does not answer.
    pub async fn request_count(&self) -> Option<u64> {
        let res = self.send("GET", "/status", "", &[]).await.ok()?;
        let body = res.into_body().collect().await.ok()?.to_bytes();
        let status: EngineStatus = serde_json::from_slice(&body).ok()?;
        Some(status.requests)
    }

    /// Sends a request with the team's API key.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails before the headers of an answer arrive.
    ///
    /// # Panics
    ///
    /// Panics when method, path or a header is malformed.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {TEAM_KEY}"))
            .header("content-type", "application/json");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req
            .body(Full::from(body.to_owned()))
            .expect("method and path are valid");
        self.http.request(req).await
    }
}

async fn read_error(res: Response<Incoming>) -> Outcome {
    let Ok(body) = res.into_body().collect().await else {
        return Outcome::Interrupted;
    };
    let value: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    let code = value["error"]["code"].as_str();
    let code = code.and_then(|code| code.parse().ok());
    Outcome::Refused(code.unwrap_or_default())
}

async fn read_stream(
    res: Response<Incoming>,
    start: Instant,
    timing: &mut Timing,
) -> Option<(String, bool)> {
    let mut events = res.into_body().into_data_stream().eventsource();
    let mut text = String::new();
    let mut cached = false;
    while let Some(event) = events.next().await {
        let data = event.ok()?.data;
        if data == "[DONE]" {
            return Some((text, cached));
        }
        if text.is_empty() {
            timing.first_event = start.elapsed();
        }
        let value: Value = serde_json::from_str(&data).ok()?;
        text.push_str(value["choices"][0]["delta"]["content"].as_str()?);
        cached |= value["cached"] == true;
    }
    None
}
