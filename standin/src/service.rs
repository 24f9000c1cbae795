//! A plain service: status lookups that may be repeated, and orders that may not.

use std::{collections::BTreeMap, net::SocketAddr};

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
use tokio::sync::{mpsc, oneshot};

use crate::host::Host;

enum Ask {
    Order {
        item: String,
        reply: oneshot::Sender<u32>,
    },
    Orders(oneshot::Sender<BTreeMap<String, u32>>),
}

/// Steers a plain service.
#[derive(Debug, Clone)]
pub struct Service {
    tx: mpsc::Sender<Ask>,
}

impl Service {
    /// Serves on `address`; must be called within a runtime. Orders outlive a crash.
    pub fn start(address: SocketAddr) -> (Self, Host) {
        let (tx, rx) = mpsc::channel(1024);
        tokio::spawn(run(rx));
        let service = Self { tx };
        let shared = service.clone();
        let host = Host::start(address, move |_, _| routes(shared.clone()));
        (service, host)
    }

    /// How often each item was ordered.
    pub async fn orders(&self) -> BTreeMap<String, u32> {
        self.ask(Ask::Orders).await
    }

    async fn ask<T>(&self, ask: impl FnOnce(oneshot::Sender<T>) -> Ask) -> T {
        let (reply, answer) = oneshot::channel();
        let _ended = self.tx.send(ask(reply)).await;
        answer.await.expect("the task lives as long as its handles")
    }
}

async fn run(mut rx: mpsc::Receiver<Ask>) {
    let mut orders: BTreeMap<String, u32> = BTreeMap::new();
    while let Some(ask) = rx.recv().await {
        match ask {
            Ask::Order { item, reply } => {
                let count = orders.entry(item).or_default();
                *count += 1;
                let _gone = reply.send(*count);
            }
            Ask::Orders(reply) => {
                let _gone = reply.send(orders.clone());
            }
        }
    }
}

fn routes(service: Service) -> Router {
    let pipeline = single_middleware(StateMiddleware::new(Shared::new(service)));
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route
            .request(vec![Method::GET, Method::POST], "/*")
            .to_async(handle);
    })
}

async fn handle(mut state: State) -> HandlerResult {
    let service = Shared::<Service>::take_from(&mut state).into_inner();
    let path = Uri::borrow_from(&state).path().to_owned();
    let method = Method::borrow_from(&state).clone();
    let res = match (method.as_str(), path.as_str()) {
        ("POST", _) => {
            let body = web::body(&mut state, 1 << 20).await.unwrap_or_default();
            let item = String::from_utf8_lossy(&body).into_owned();
            let reply_item = item.clone();
            let count = service.ask(|reply| Ask::Order { item, reply }).await;
            web::json(
                StatusCode::OK,
                &json!({ "item": reply_item, "count": count }),
            )
        }
        ("GET", _) => web::json(StatusCode::OK, &json!({ "orders": service.orders().await })),
        _ => web::json(StatusCode::NOT_FOUND, &json!({})),
    };
    Ok((state, res))
}
