//! Plays a crowd of callers against one place and measures what the router takes meanwhile.

use std::{fmt, fs, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    cases::Case,
    env::{MAX_FDS, MEMORY_BYTES, Place},
};

/// Longest time for which a crowd stays. A caller whose bytes nobody reads never comes to its end.
const MAX_STAY: Duration = Duration::from_secs(3);
/// Time for which a crowd stays after every caller has sent its bytes.
const HOLD: Duration = Duration::from_millis(300);
/// Interval between two measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Receive buffer of the callers, so that the answers wait at the router and not in the kernel.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// One act of a caller.
pub(crate) enum Act {
    /// Sends these bytes at once.
    Send(Bytes),
    /// Sends these bytes so often, with a pause after each.
    Repeat(Bytes, usize, Duration),
    /// Reads so many bytes.
    Read(usize),
    /// Reads parts of so many bytes until the end, with a pause after each.
    ReadSlowly(usize, Duration),
}

/// The most that the router's process took while a crowd was there.
pub(crate) struct Usage {
    /// Largest resident memory since the start of the process, in bytes; `None` if it has ended.
    memory: Option<u64>,
    fds: usize,
}

impl Usage {
    /// What went beyond the settings of the router.
    pub(crate) fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        match self.memory {
            None => faults.push("the process has ended".to_owned()),
            Some(memory) if memory > MEMORY_BYTES => {
                faults.push(format!("{} MiB of memory", memory >> 20));
            }
            Some(_) => {}
        }
        if self.fds > MAX_FDS {
            faults.push(format!("{} descriptors", self.fds));
        }
        faults
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let memory = self.memory.unwrap_or_default() >> 20;
        write!(f, "{memory} MiB, {} descriptors", self.fds)
    }
}

/// Plays a crowd at a place and returns what the router's process took at most.
pub(crate) async fn play(case: &Case, place: &Place, process: u32) -> Usage {
    let sent = Arc::new(Semaphore::new(0));
    let mut crowd = JoinSet::new();
    for caller in 0..case.callers {
        let (acts, address) = ((case.acts)(place, caller), place.address);
        let sent = Arc::clone(&sent);
        crowd.spawn(async move {
            let connection = connect(address).await;
            let connection = match connection {
                Some(stream) => perform(stream, acts).await,
                None => None,
            };
            sent.add_permits(1);
            if connection.is_some() {
                std::future::pending::<()>().await;
            }
        });
    }
    let started = Instant::now();
    let mut all_sent = None;
    let mut fds = 0;
    while started.elapsed() < MAX_STAY
        && all_sent.is_none_or(|all_sent: Instant| all_sent.elapsed() < HOLD)
    {
        fds = fds.max(open_fds(process));
        if sent.available_permits() == case.callers {
            all_sent.get_or_insert_with(Instant::now);
        }
        sleep(SAMPLE_INTERVAL).await;
    }
    crowd.shutdown().await;
    Usage {
        memory: peak_memory(process),
        fds,
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    socket.connect(address).await.ok()
}

/// Returns the connection, or `None` when it was closed.
async fn perform(mut stream: TcpStream, acts: Vec<Act>) -> Option<TcpStream> {
    for act in acts {
        match act {
            Act::Send(bytes) => stream.write_all(&bytes).await.ok()?,
            Act::Repeat(bytes, times, pause) => {
                for _ in 0..times {
                    stream.write_all(&bytes).await.ok()?;
                    if !pause.is_zero() {
                        sleep(pause).await;
                    }
                }
            }
            Act::Read(len) => {
                let mut buf = vec![0; len];
                stream.read_exact(&mut buf).await.ok()?;
            }
            Act::ReadSlowly(len, pause) => {
                let mut buf = vec![0; len];
                while stream.read(&mut buf).await.ok()? > 0 {
                    sleep(pause).await;
                }
            }
        }
    }
    Some(stream)
}

fn open_fds(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Returns the largest resident memory of a process in bytes, `None` if it has ended.
fn peak_memory(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: u64 = peak.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib << 10)
}
