//! A stand-in's runtime, which can be stopped at once as if its process was killed.

use std::{net::SocketAddr, sync::mpsc, thread, time::Duration};

use ebonyfall::web;
use gotham::router::Router;
use slog::{Discard, Logger, o};
use tokio::{runtime::Builder, sync::watch};

/// What happens to the stand-in.
#[derive(Debug, Clone, Copy)]
enum Command {
    Crash { down: Duration },
    Stop,
}

/// Crashes or stops a stand-in.
#[derive(Debug, Clone)]
pub struct Host(mpsc::Sender<Command>);

impl Host {
    /// Serves the routes made by `routes` on `address`; a crash drops every connection and, after
    /// a while, starts again with fresh routes and the next incarnation number.
    ///
    /// # Panics
    ///
    /// The stand-in's thread panics when the address is in use.
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
                // The listener is bound before the routes start, so that a caller that sees the
                // port open is served.
                let listener = runtime
                    .block_on(web::bind(address))
                    .expect("the address is free");
                let routes = runtime.block_on(async { routes(handle.clone(), incarnation) });
                let log = Logger::root(Discard, o!());
                runtime.spawn(web::serve(
                    listener,
                    routes,
                    web::ConnectionLimits::default,
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

    /// Drops every connection, and starts again after `down`.
    pub fn crash(&self, down: Duration) {
        let _stopped = self.0.send(Command::Crash { down });
    }

    /// Ends the stand-in.
    pub fn stop(&self) {
        let _stopped = self.0.send(Command::Stop);
    }
}
