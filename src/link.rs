//! Authenticated TCP connections between the processes: handshake, and sealed messages in both
//! directions.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{id::Incarnation, name::ProcessName, transfer::Transfer};
use ebonyfall_wire::{
    auth::{self, AuthError, Channel, Keys},
    frame::{Hello, MAX_FRAME_BYTES, WIRE_MAX, WIRE_MIN},
};
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::clock::BootClock;

/// Initial size of a connection's read and write buffers. With 8 KiB, the library's default, they
/// took a quarter of the memory of an open stream.
const INITIAL_BUFFER_BYTES: usize = 2 << 10;
/// Timeout of the TCP connection and the handshake together.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which the progress of a message is looked up.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// Error after which a connection cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The operating system reported an error.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// The operating system's error.
        source: io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("connection closed by the peer"))]
    Closed,
    /// The peer did not complete the handshake in time.
    #[snafu(display("handshake not completed within {HANDSHAKE_TIMEOUT:?}"))]
    Timeout,
    /// The answer of the peer did not begin, or did not advance.
    #[snafu(display("the peer's answer stalled"))]
    Stalled,
    /// A frame could not be sealed, authenticated or decoded.
    #[snafu(display("{source}"))]
    Auth {
        /// Why the frame was rejected.
        source: AuthError,
    },
    /// No wire version is supported by both processes.
    #[snafu(display("no wire version in common with {name}; upgrade the older process"))]
    Version {
        /// Name of the peer.
        name: ProcessName,
    },
}

/// Identity that a process states in the handshake, and the keys that authenticate it.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the process, which is unique in the deployment.
    pub name: ProcessName,
    /// Incarnation of the process, which changes with each restart.
    pub incarnation: Incarnation,
    /// Keys that all processes of the deployment share.
    pub keys: Keys,
}

impl Identity {
    fn hello(&self) -> Hello {
        Hello {
            min_version: WIRE_MIN,
            max_version: WIRE_MAX,
            name: self.name.clone(),
            incarnation: self.incarnation,
            nonce: rand::random(),
        }
    }
}

/// TCP connection to another process, after both sides have authenticated in the handshake.
#[derive(Debug)]
pub struct Link {
    frames: Framed<TcpStream, LengthDelimitedCodec>,
    channel: Channel,
    peer: Hello,
}

impl Link {
    /// Connects to the process at `address` as the initiator of the handshake.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be made or authenticated within the timeout.
    pub async fn dial(identity: &Identity, address: SocketAddr) -> Result<Self, LinkError> {
        let dial = async {
            let stream = TcpStream::connect(address).await.context(IoSnafu)?;
            let mut frames = framed(stream)?;
            let own = identity.hello();
            let key = identity.keys.current();
            let hello = auth::seal(key, b"initiator", &own).context(AuthSnafu)?;
            frames.send(Bytes::from(hello)).await.context(IoSnafu)?;
            let (key, peer) = receive_hello(&identity.keys, b"responder", &mut frames).await?;
            own.common_version(&peer).context(VersionSnafu {
                name: peer.name.clone(),
            })?;
            let channel = Channel::new(key, [own.nonce, peer.nonce], true);
            Ok(Self {
                frames,
                channel,
                peer,
            })
        };
        timeout(HANDSHAKE_TIMEOUT, dial)
            .await
            .ok()
            .context(TimeoutSnafu)?
    }

    /// Completes the handshake on an accepted connection as its responder.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not authenticate within the timeout.
    pub async fn accept(identity: &Identity, stream: TcpStream) -> Result<Self, LinkError> {
        let accept = async {
            let mut frames = framed(stream)?;
            let (key, peer) = receive_hello(&identity.keys, b"initiator", &mut frames).await?;
            let own = identity.hello();
            let hello = auth::seal(key, b"responder", &own).context(AuthSnafu)?;
            frames.send(Bytes::from(hello)).await.context(IoSnafu)?;
            own.common_version(&peer).context(VersionSnafu {
                name: peer.name.clone(),
            })?;
            let channel = Channel::new(key, [peer.nonce, own.nonce], false);
            Ok(Self {
                frames,
                channel,
                peer,
            })
        };
        timeout(HANDSHAKE_TIMEOUT, accept)
            .await
            .ok()
            .context(TimeoutSnafu)?
    }

    /// The peer's name, incarnation and wire versions, as stated in the handshake.
    pub fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Sends a message, after those that [`feed`](Self::feed) has buffered.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke; the peer may still have received the message.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), LinkError> {
        let frame = self.channel.seal(message).context(AuthSnafu)?;
        self.frames.send(Bytes::from(frame)).await.context(IoSnafu)
    }

    /// Buffers a message, which is sent together with the next one.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke.
    pub async fn feed(&mut self, message: &impl Serialize) -> Result<(), LinkError> {
        let frame = self.channel.seal(message).context(AuthSnafu)?;
        self.frames.feed(Bytes::from(frame)).await.context(IoSnafu)
    }

    /// Receives the next message. Cancel safe: a dropped future loses no message.
    ///
    /// # Errors
    ///
    /// Fails if the connection was closed or broke, or a frame cannot be authenticated or decoded.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, LinkError> {
        let frame = self
            .frames
            .next()
            .await
            .context(ClosedSnafu)?
            .context(IoSnafu)?;
        self.channel.open(&frame).context(AuthSnafu)
    }

    /// Receives the next message as long as it advances within the limits of `transfer`; `None` if it
    /// stalls.
    pub async fn receive_within<T: DeserializeOwned>(
        &mut self,
        transfer: &mut Transfer,
    ) -> Option<Result<T, LinkError>> {
        loop {
            let left = transfer.deadline().since(BootClock.now());
            if let Ok(received) = timeout(left.min(PROGRESS_INTERVAL), self.receive()).await {
                return Some(received);
            }
            let now = BootClock.now();
            // The codec yields whole frames; its buffer holds what has arrived of one.
            let received = self.frames.read_buffer().len();
            if received > 0 {
                transfer.record(received, now);
            }
            if transfer.is_stalled(now) {
                return None;
            }
        }
    }

    /// Whether the peer has neither closed the connection nor sent data that was not received.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        // Data that was not requested, or an end of stream, makes the connection unusable.
        let read = self.frames.get_ref().try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
            && self.frames.read_buffer().is_empty()
    }
}

fn framed(stream: TcpStream) -> Result<Framed<TcpStream, LengthDelimitedCodec>, LinkError> {
    stream.set_nodelay(true).context(IoSnafu)?;
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Ok(Framed::with_capacity(stream, codec, INITIAL_BUFFER_BYTES))
}

async fn receive_hello(
    keys: &Keys,
    role: &[u8],
    frames: &mut Framed<TcpStream, LengthDelimitedCodec>,
) -> Result<(auth::Key, Hello), LinkError> {
    let frame = frames.next().await.context(ClosedSnafu)?.context(IoSnafu)?;
    let (key, payload) = keys.open(role, &frame).context(AuthSnafu)?;
    Ok((key, auth::decode(payload).context(AuthSnafu)?))
}
