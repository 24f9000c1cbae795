//! Runtime of a simulated server, which can be stopped abruptly as if its process was killed.

use std::{net::SocketAddr, sync::mpsc, thread, time::Duration};

use ebonyfall::{callers::CallerGuard, web};
use gotham::router::Router;
use slog::{Discard, Logger, o};
use tokio::{runtime::Builder, sync::watch};

#[derive(Debug, Clone, Copy)]
enum Command {
    Crash { down: Duration },
    Stop,
}

/// Handle that crashes or stops a simulated server.
#[derive(Debug, Clone)]
pub struct Host(mpsc::Sender<Command>);

impl Host {
    /// Serves the routes that `routes` returns on `address`, in a thread of its own. After a crash,
    /// `routes` is called again with the next incarnation; the first is 0.
    ///
    /// # Panics
    ///
    /// The server's thread panics when the address is in use.
    pub fn start(
        address: SocketAddr,
        routes: impl Fn(Host, u64) -> Router + Send + 'static,
    ) -> Self {
        let (tx, rx) = mpsc::channel();
        let host = Self(tx);
        let handle = host.clone();
        thread::spawn(move || {
            for incarnation in 0.. {
                let runtime = Builder::new_multi_thread()
                    .worker_threads(1)
                    .enable_all()
                    .build();
                let runtime = runtime.expect("a runtime needs only memory and threads");
                let (_stop, stop) = watch::channel(false);
                // The listener is bound before the routes start, so that a caller that finds the
                // port open is served.
                let listener = runtime
                    .block_on(web::bind(address))
                    .expect("the address is free");
                let routes = runtime.block_on(async { routes(handle.clone(), incarnation) });
                let log = Logger::root(Discard, o!());
                runtime.spawn(web::serve(
                    listener,
                    routes,
                    web::ConnectionLimits::simulated,
                    CallerGuard::default(),
                    stop,
                    log,
                ));
                let command = rx.recv().unwrap_or(Command::Stop);
                runtime.shutdown_background();
                match command {
                    Command::Crash { down } => thread::sleep(down),
                    Command::Stop => return,
                }
            }
        });
        host
    }

    /// Closes every connection at once, and starts the server again after `down`.
    pub fn crash(&self, down: Duration) {
        let _stopped = self.0.send(Command::Crash { down });
    }

    /// Closes every connection and ends the server's thread.
    pub fn stop(&self) {
        let _stopped = self.0.send(Command::Stop);
    }
}
