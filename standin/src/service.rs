//! Simulated plain service: idempotent status lookups, and orders that must not be repeated.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use ebonyfall::web::{self, Shared};
use gotham::{
    handler::HandlerResult,
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::{DefineSingleRoute, DrawRoutes, FromState},
    router::{Router, builder::build_router},
    state::State,
};
use http::{Method, StatusCode, Uri};
use serde_json::json;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::host::Host;

/// Faults that the service injects into orders.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceFaults {
    /// Delay between executing an order and answering it.
    pub delay: Duration,
    /// Crash after executing an order instead of answering, and restart after this time.
    pub crash: Option<Duration>,
    /// Answer with status 503 after executing an order.
    pub unavailable: bool,
}

enum Command {
    Order {
        item: String,
        reply: oneshot::Sender<(u32, ServiceFaults)>,
    },
    SetFaults(ServiceFaults),
    Orders(oneshot::Sender<BTreeMap<String, u32>>),
}

/// Handle to a simulated service.
#[derive(Debug, Clone)]
pub struct Service {
    tx: mpsc::Sender<Command>,
}

impl Service {
    /// Serves on `address`; must be called within a Tokio runtime. Orders survive a crash.
    pub fn start(address: SocketAddr) -> (Self, Host) {
        let (tx, rx) = mpsc::channel(1024);
        tokio::spawn(run(rx));
        let service = Self { tx };
        let shared = service.clone();
        let host = Host::start(address, move |host, _| routes(shared.clone(), host));
        (service, host)
    }

    /// Sets the faults that apply to all orders from now on.
    pub async fn set_faults(&self, faults: ServiceFaults) {
        let _ended = self.tx.send(Command::SetFaults(faults)).await;
    }

    /// Returns how often each item was ordered, counting repeated requests.
    pub async fn orders(&self) -> BTreeMap<String, u32> {
        self.call(Command::Orders).await
    }

    async fn call<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> T {
        let (reply, answer) = oneshot::channel();
        let _ended = self.tx.send(command(reply)).await;
        answer.await.expect("the task lives as long as its handles")
    }
}

async fn run(mut rx: mpsc::Receiver<Command>) {
    let mut orders: BTreeMap<String, u32> = BTreeMap::new();
    let mut faults = ServiceFaults::default();
    while let Some(command) = rx.recv().await {
        match command {
            Command::Order { item, reply } => {
                let count = orders.entry(item).or_default();
                *count += 1;
                let _gone = reply.send((*count, faults));
            }
            Command::SetFaults(new) => faults = new,
            Command::Orders(reply) => {
                let _gone = reply.send(orders.clone());
            }
        }
    }
}

fn routes(service: Service, host: Host) -> Router {
    let shared = Shared::new((service, host));
    let pipeline = single_middleware(StateMiddleware::new(shared));
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route
            .request(vec![Method::GET, Method::POST], "/*")
            .to_async(handle);
    })
}

async fn handle(mut state: State) -> HandlerResult {
    let (service, host) = Shared::<(Service, Host)>::take_from(&mut state).into_inner();
    let path = Uri::borrow_from(&state).path().to_owned();
    let method = Method::borrow_from(&state).clone();
    let res = match (method.as_str(), path.as_str()) {
        ("POST", _) => {
            let body = web::read_body(&mut state, 1 << 20)
                .await
                .unwrap_or_default();
            let item = String::from_utf8_lossy(&body).into_owned();
            let reply_item = item.clone();
            let (count, faults) = service.call(|reply| Command::Order { item, reply }).await;
            time::sleep(faults.delay).await;
            if let Some(down) = faults.crash {
                host.crash(down);
                // The crash closes this connection before the sleep ends.
                time::sleep(down).await;
            }
            let status = if faults.unavailable {
                StatusCode::SERVICE_UNAVAILABLE
            } else {
                StatusCode::OK
            };
            web::json_response(status, &json!({ "item": reply_item, "count": count }))
        }
        ("GET", _) => {
            web::json_response(StatusCode::OK, &json!({ "orders": service.orders().await }))
        }
        _ => web::json_response(StatusCode::NOT_FOUND, &json!({})),
    };
    Ok((state, res))
}
