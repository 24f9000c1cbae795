//! Target that follows a script of bytes instead of a protocol, to test what a faulty or hostile
//! server can do to a router.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use socket2::SockRef;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use crate::{
    keyed::LOOPBACK,
    received::{read_head, read_request},
};

/// One step of a script. In the bytes to send, `{id}` stands for the attempt id of the last request
/// on the connection, and `{first}` for that of the first one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Reads a request and executes it.
    Execute,
    /// Reads the head of a request, executes it, and leaves its body unread.
    ExecuteHead,
    /// Reads a request without executing it.
    Ignore,
    /// Sends the text.
    Send(String),
    /// Sends the text again and again, without or with a pause, until the connection is closed.
    Repeat(String, Duration),
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// Handle of a running target.
#[derive(Debug)]
pub struct HostileTarget {
    script: watch::Sender<Arc<[Step]>>,
    executions: watch::Sender<Vec<String>>,
    sent_bytes: watch::Receiver<u64>,
}

impl HostileTarget {
    /// Starts a target on a free loopback port and returns its address. Until a script is set, it
    /// closes every connection.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub async fn start() -> (Self, SocketAddr) {
        Self::start_at(LOOPBACK).await
    }

    /// Like [`Self::start`], on a given address; port 0 stands for a free port.
    ///
    /// # Panics
    ///
    /// Panics when the address cannot be bound.
    pub async fn start_at(address: SocketAddr) -> (Self, SocketAddr) {
        let listener = TcpListener::bind(address)
            .await
            .expect("the address is free");
        let address = listener.local_addr().expect("the socket has an address");
        let (script, script_rx) = watch::channel(Arc::<[Step]>::default());
        let (executions, _) = watch::channel(Vec::new());
        let executed = executions.clone();
        let (sent_tx, sent_bytes) = watch::channel(0);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = Connection {
                    stream,
                    buf: Vec::new(),
                    ids: Vec::new(),
                    executed: executed.clone(),
                    sent_bytes: sent_tx.clone(),
                };
                let script = script_rx.borrow().clone();
                tokio::spawn(connection.play(script));
            }
        });
        let target = Self {
            script,
            executions,
            sent_bytes,
        };
        (target, address)
    }

    /// Sets the script of connections that are accepted from now on. A connection is closed at the
    /// end of its script.
    pub fn set_script(&self, script: impl Into<Arc<[Step]>>) {
        self.script.send_replace(script.into());
    }

    /// Returns how often the target executed the attempt with this id.
    pub fn executions(&self, id: &str) -> usize {
        let executed = self.executions.borrow();
        executed.iter().filter(|executed| *executed == id).count()
    }

    /// Forgets the executed attempts.
    pub fn forget_executions(&self) {
        self.executions.send_modify(Vec::clear);
    }

    /// Returns how many attempts the target has executed.
    pub fn total_executions(&self) -> usize {
        self.executions.borrow().len()
    }

    /// Returns the number of bytes that the target has sent, including those that the system's
    /// buffers hold.
    pub fn sent_bytes(&self) -> u64 {
        *self.sent_bytes.borrow()
    }
}

struct Connection {
    stream: TcpStream,
    buf: Vec<u8>,
    ids: Vec<String>,
    executed: watch::Sender<Vec<String>>,
    sent_bytes: watch::Sender<u64>,
}

impl Connection {
    async fn play(mut self, script: Arc<[Step]>) {
        for step in &*script {
            if self.step(step).await.is_none() {
                return;
            }
        }
    }

    /// Plays one step; `None` when the connection is closed.
    async fn step(&mut self, step: &Step) -> Option<()> {
        match step {
            Step::Execute => {
                let req = read_request(&mut self.stream, &mut self.buf).await?;
                self.execute(attempt_id(&req.headers));
            }
            Step::ExecuteHead => {
                let head = read_head(&mut self.stream, &mut self.buf).await?;
                self.execute(attempt_id(&head.headers));
            }
            Step::Ignore => {
                let req = read_request(&mut self.stream, &mut self.buf).await?;
                self.ids.push(attempt_id(&req.headers));
            }
            Step::Send(text) => {
                let text = self.fill_in(text);
                self.send(text.as_bytes()).await?;
            }
            Step::Repeat(text, pause) => {
                let text = self.fill_in(text);
                loop {
                    self.send(text.as_bytes()).await?;
                    if !pause.is_zero() {
                        sleep(*pause).await;
                    }
                }
            }
            Step::Wait(time) => sleep(*time).await,
            Step::Close => return None,
            Step::Reset => {
                let _set = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
                return None;
            }
        }
        Some(())
    }

    fn execute(&mut self, id: String) {
        self.executed.send_modify(|all| all.push(id.clone()));
        self.ids.push(id);
    }

    fn fill_in(&self, text: &str) -> String {
        let id = |id: Option<&String>| id.map_or("", String::as_str).to_owned();
        text.replace("{id}", &id(self.ids.last()))
            .replace("{first}", &id(self.ids.first()))
    }

    async fn send(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).await.ok()?;
        self.sent_bytes
            .send_modify(|sent| *sent += bytes.len() as u64);
        Some(())
    }
}

/// Attempt id of a request, as routers or agents send it; empty if it has none.
fn attempt_id(headers: &BTreeMap<String, String>) -> String {
    let id = headers.get("ebonyfall-attempt-id");
    let id = id.or_else(|| headers.get("x-attempt-id"));
    id.cloned().unwrap_or_default()
}
