//! Callers that load every router from the moment at which it accepts connections.

use std::{net::SocketAddr, ops::Range, time::Duration};

use ebonyfall_bench::bounds::Sent;
use ebonyfall_standin::entrance::CallerConnection;
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

/// Callers of each router; one that waits for an answer sends nothing.
const CALLERS_PER_ROUTER: u32 = 6;
/// Pause of a caller whose router accepts no connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Time that a caller waits for an answer.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);

/// Callers that send idempotent requests until they are stopped.
#[derive(Debug)]
pub struct Load {
    stop: watch::Sender<bool>,
    /// Requests per second to each router.
    rates: Vec<watch::Sender<f64>>,
    callers: JoinSet<Vec<Sent>>,
}

impl Load {
    /// Starts the callers of these routers; `rate` is in requests per second to each router.
    pub fn start(routers: impl IntoIterator<Item = SocketAddr>, rate: f64) -> Self {
        let (stop, stopped) = watch::channel(false);
        let mut callers = JoinSet::new();
        let mut rates = Vec::new();
        for (router, address) in routers.into_iter().enumerate() {
            let (rate, current_rate) = watch::channel(rate);
            rates.push(rate);
            for number in 0..CALLERS_PER_ROUTER {
                let caller = Caller {
                    address,
                    name: format!("{router}-{number}"),
                    sent: Vec::new(),
                    rate: current_rate.clone(),
                    stopped: stopped.clone(),
                };
                callers.spawn(caller.run());
            }
        }
        Self {
            stop,
            rates,
            callers,
        }
    }

    /// Sets the rate of requests to each of these routers.
    pub fn set_rate(&self, routers: Range<usize>, rate: f64) {
        for router in &self.rates[routers] {
            router.send_replace(rate);
        }
    }

    /// Stops the callers and returns what they have sent.
    pub async fn stop(self) -> Vec<Sent> {
        self.stop.send_replace(true);
        let sent = self.callers.join_all().await;
        sent.into_iter().flatten().collect()
    }
}

struct Caller {
    address: SocketAddr,
    name: String,
    sent: Vec<Sent>,
    rate: watch::Receiver<f64>,
    stopped: watch::Receiver<bool>,
}

impl Caller {
    async fn run(mut self) -> Vec<Sent> {
        let mut connection = None;
        while !*self.stopped.borrow() {
            let Some(open) = &mut connection else {
                connection = CallerConnection::open(self.address).await;
                if connection.is_none() {
                    sleep(RECONNECT_PAUSE).await;
                }
                continue;
            };
            let id = format!("{}-{}", self.name, self.sent.len());
            let start = Instant::now();
            self.sent.push(Sent {
                at: start,
                attempt_id: id.clone(),
            });
            let call = open.call(&id, ("GET", "/status/7", ""), &[]);
            let reply = timeout(CALLER_PATIENCE, call).await;
            if !matches!(reply, Ok(Some(_))) {
                connection = None;
            }
            self.wait_for_turn(start).await;
        }
        self.sent
    }

    /// Waits until the caller's next request is due after the one that it sent at `last`.
    async fn wait_for_turn(&mut self, last: Instant) {
        loop {
            let rate = *self.rate.borrow_and_update();
            let period = Duration::from_secs_f64(f64::from(CALLERS_PER_ROUTER) / rate);
            tokio::select! {
                () = sleep_until(last + period) => return,
                Ok(()) = self.rate.changed() => {}
                Ok(()) = self.stopped.changed() => return,
            }
        }
    }
}
