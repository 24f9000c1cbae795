//! The agent: takes requests from routers and hands them to the target on its VM.

use std::{io, net::SocketAddr, time::Duration};

use ebonyfall_core::{admit::Capacity, code::Code, id::AttemptId, name::TargetName, record::Role};
use ebonyfall_wire::frame::{MAX_PART, Submit, ToAgent, ToRouter};
use http::{Response, header::CONTENT_TYPE};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::{Logger, debug, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::{mpsc, watch},
    time::{self, Instant, timeout_at},
};

use crate::{
    clock::{self, Clock},
    control::{self, Control},
    engine::{self, Backend},
    gate::Gate,
    gossip::{Gossip, Local},
    link::{Identity, Link, LinkError},
    metrics::Metrics,
    platform::Platform,
    settings::AgentConfig,
    view, vms,
};

/// Pause after a failed accept, so that a lack of file descriptors does not spin the thread.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which requests that routers have sent may still arrive during a shutdown.
const HANDED_OVER: Duration = Duration::from_millis(500);
/// Time between two looks at the running requests during a shutdown.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// Last bytes of a whole stream of server-sent events.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// The agent cannot run.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// The listening address cannot be used.
    #[snafu(display("cannot listen on {address}: {source}; free the address or change it"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The document does not name the target.
    #[snafu(display("the document names no target {target}; add it or correct the settings"))]
    UnknownTarget {
        /// The target in the settings.
        target: TargetName,
    },
}

#[derive(Debug, Clone)]
struct Agent {
    target: TargetName,
    identity: Identity,
    gate: Gate,
    control: Control,
    stopping: watch::Receiver<bool>,
    backend: Backend,
    metrics: Metrics,
    log: Logger,
}

/// Runs an agent until `stop` turns true.
///
/// # Errors
///
/// Fails when it cannot listen, or the document does not name its target.
pub async fn run(
    cfg: AgentConfig,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) -> Result<(), AgentError> {
    let clock = Clock::start();
    let platform = Platform::new(&cfg.common.platform);
    let (found, peers) = mpsc::channel(1);
    let mut views = view::follow(platform.clone(), peers, log.clone());
    let address = cfg.listen;
    let listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })?;
    let identity = Identity {
        name: cfg.common.name,
        incarnation: view::incarnation(clock::unix_time()),
        keys: cfg.common.keys,
    };
    let own_target = cfg.target.as_str() != identity.name.as_str();
    let local = Local {
        identity: identity.clone(),
        role: Role::Agent(own_target.then(|| cfg.target.clone())),
        zone: cfg.common.zone,
        address: cfg.common.gossip.unwrap_or(address),
        seeds: cfg.common.seeds,
    };
    let metrics = Metrics::new();
    let control = Control::new(views.clone());
    let gossip = join(local, &views, &metrics, &log).await?;
    if let Some(address) = cfg.common.gossip.filter(|own| *own != address) {
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(ListenSnafu { address })?;
        control
            .clone()
            .serve(listener, identity.clone(), log.clone());
    }
    vms::follow(platform, gossip.clone(), log.clone());
    control::follow(
        identity.clone(),
        gossip.clone(),
        views.clone(),
        found,
        log.clone(),
    );
    let view = tokio::select! {
        view = views.wait_for(Option::is_some) => view.ok().and_then(|view| view.clone()),
        _ = stop.wait_for(|stop| *stop) => return Ok(()),
    };
    let target = view
        .as_ref()
        .and_then(|view| view.document.targets.get(&cfg.target));
    let Some(target) = target else {
        return UnknownTargetSnafu { target: cfg.target }.fail();
    };
    let capacity = Capacity {
        slots: target.slots,
        cold_slots: target.cold_slots,
    };
    let agent = Agent {
        target: cfg.target,
        identity,
        control,
        stopping: stop.clone(),
        gate: Gate::start(capacity, clock),
        backend: Backend::new(cfg.backend),
        metrics,
        log,
    };
    info!(agent.log, "agent ready"; "target" => %agent.target, "listen" => address);
    agent.accept(listener, stop).await;
    gossip.leave().await;
    agent.drain(cfg.common.drain).await;
    Ok(())
}

/// Starts gossip on the agent's address.
async fn join(
    local: Local,
    views: &view::Views,
    metrics: &Metrics,
    log: &Logger,
) -> Result<Gossip, AgentError> {
    let address = local.address;
    let socket = UdpSocket::bind(address).await;
    let socket = socket.context(ListenSnafu { address })?;
    let (views, metrics) = (views.clone(), metrics.clone());
    Ok(Gossip::start(local, socket, views, metrics, log.clone()))
}

impl Agent {
    async fn accept(&self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let agent = self.clone();
                    tokio::spawn(async move { agent.connection(stream).await });
                }
                Err(error) => {
                    warn!(self.log, "cannot accept a connection"; "error" => %error);
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn connection(&self, stream: TcpStream) {
        let mut link = match Link::accept(&self.identity, stream).await {
            Ok(link) => link,
            Err(error) => {
                self.metrics.rejected_frames.inc();
                debug!(self.log, "connection refused"; "error" => %error);
                return;
            }
        };
        while let Ok(message) = link.receive().await {
            let served = match message {
                ToAgent::Submit(submit) => self.request(&mut link, *submit).await,
                ToAgent::Control(ask) => link.send(&self.control.answer(&ask)).await,
            };
            if let Err(error) = served {
                debug!(self.log, "connection lost"; "error" => %error);
                return;
            }
        }
    }

    /// Waits until no request runs, at most `longest`.
    async fn drain(&self, longest: Duration) {
        let idle = async {
            // Routers may have handed requests over that are not admitted yet.
            time::sleep(HANDED_OVER).await;
            while self.gate.load().await.running > 0 {
                time::sleep(DRAIN_LOOK).await;
            }
            // The last frames leave the process after their request has left the gate.
            time::sleep(DRAIN_LOOK).await;
        };
        if time::timeout(longest, idle).await.is_err() {
            warn!(self.log, "requests were cut when the shutdown ended"; "after" => ?longest);
        }
    }

    /// Serves one request; an error means that the connection cannot be used any more.
    async fn request(&self, link: &mut Link, submit: Submit) -> Result<(), LinkError> {
        let attempt = submit.attempt;
        let admitted = if *self.stopping.borrow() {
            Err(Code::ShuttingDown)
        } else if submit.target == self.target {
            self.gate.enter(submit.left).await
        } else {
            Err(Code::WrongTarget)
        };
        let outcome = match admitted {
            Ok(()) => {
                let deadline = Instant::now() + submit.left;
                let outcome = self.serve(link, submit, deadline).await;
                self.gate.leave(matches!(outcome, Ok(Ok(_)))).await;
                outcome?
            }
            Err(code) => Err(code),
        };
        let load = self.gate.load().await;
        match outcome {
            Ok(length) => {
                self.metrics.result("Ok");
                link.send(&ToRouter::Done {
                    attempt,
                    length,
                    load,
                })
                .await
            }
            Err(code) => {
                self.metrics.result(code.name());
                link.send(&ToRouter::Refused {
                    attempt,
                    code,
                    load,
                })
                .await
            }
        }
    }

    /// Runs an admitted request; returns the answer's length. A closed connection cancels it.
    async fn serve(
        &self,
        link: &mut Link,
        submit: Submit,
        deadline: Instant,
    ) -> Result<Result<u64, Code>, LinkError> {
        let Submit {
            attempt,
            priority,
            repeat,
            call,
            ..
        } = submit;
        let res = tokio::select! {
            res = timeout_at(deadline, self.backend.call(attempt, priority, repeat, call)) => res,
            closed = link.receive::<ToAgent>() => return Err(unexpected(closed)),
        };
        let res = match res {
            Ok(Ok(res)) => res,
            Ok(Err(code)) => return Ok(Err(code)),
            Err(_) => return Ok(Err(Code::EngineTimeout)),
        };
        link.send(&ToRouter::Head {
            attempt,
            head: engine::head(&res),
        })
        .await?;
        self.body(link, attempt, res, deadline).await
    }

    async fn body(
        &self,
        link: &mut Link,
        attempt: AttemptId,
        res: Response<Incoming>,
        deadline: Instant,
    ) -> Result<Result<u64, Code>, LinkError> {
        let kind = res
            .headers()
            .get(CONTENT_TYPE)
            .map(|kind| kind.as_bytes().to_vec());
        let events = kind.is_some_and(|kind| kind.starts_with(b"text/event-stream"));
        let mut body = res.into_body();
        let mut offset = 0;
        let mut tail = Vec::new();
        loop {
            let frame = tokio::select! {
                frame = timeout_at(deadline, body.frame()) => frame,
                closed = link.receive::<ToAgent>() => return Err(unexpected(closed)),
            };
            let mut data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => return Ok(Err(Code::StreamCut)),
                Ok(None) if events && tail != STREAM_END => return Ok(Err(Code::StreamCut)),
                Ok(None) => return Ok(Ok(offset)),
                Err(_) => return Ok(Err(Code::EngineTimeout)),
            };
            keep_tail(&mut tail, &data);
            while !data.is_empty() {
                let part = data.split_to(data.len().min(MAX_PART));
                let len = part.len() as u64;
                link.send(&ToRouter::Part {
                    attempt,
                    offset,
                    data: part,
                })
                .await?;
                offset += len;
            }
        }
    }
}

/// Keeps as many of the last bytes as the end of a stream has.
fn keep_tail(tail: &mut Vec<u8>, data: &[u8]) {
    tail.extend_from_slice(&data[data.len().saturating_sub(STREAM_END.len())..]);
    tail.drain(..tail.len().saturating_sub(STREAM_END.len()));
}

/// A router sends nothing while its request runs, so that anything received ends the connection.
fn unexpected(received: Result<ToAgent, LinkError>) -> LinkError {
    received.err().unwrap_or(LinkError::Closed)
}
