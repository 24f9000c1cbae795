//! An authenticated connection between router and agent.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{id::Incarnation, name::ProcessName};
use ebonyfall_wire::{
    auth::{self, AuthError, Channel, Keys},
    frame::{Hello, MAX_FRAME_BYTES, WIRE_MAX, WIRE_MIN},
};
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// First size of a connection's buffers; with 8 KiB, the library's default, they were a quarter of
/// an open stream's memory.
const INITIAL_BUFFER_BYTES: usize = 2 << 10;
/// Longest wait for a connection and its first messages.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection cannot be used any more.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The system reported an error.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// The system's error.
        source: io::Error,
    },
    /// The other side closed it.
    #[snafu(display("connection closed by the other side"))]
    Closed,
    /// The other side took too long.
    #[snafu(display("no handshake within {HANDSHAKE_TIMEOUT:?}"))]
    Timeout,
    /// A frame was dropped.
    #[snafu(display("{source}"))]
    Auth {
        /// What is wrong with it.
        source: AuthError,
    },
    /// There is no wire version that both sides speak.
    #[snafu(display("no common wire version with {name}; upgrade the older process"))]
    Version {
        /// The other side.
        name: ProcessName,
    },
}

/// What a process says of itself when a connection starts.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The process's name.
    pub name: ProcessName,
    /// The process's incarnation.
    pub incarnation: Incarnation,
    /// The keys of the system's processes.
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

/// A connection after its handshake.
#[derive(Debug)]
pub struct Link {
    frames: Framed<TcpStream, LengthDelimitedCodec>,
    channel: Channel,
    peer: Hello,
}

impl Link {
    /// Connects to an agent.
    ///
    /// # Errors
    ///
    /// Fails when there is no authenticated connection in time.
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

    /// Answers a router's handshake on an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails when the other side does not authenticate in time.
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

    /// What the other side said of itself.
    pub fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Fails when the connection is broken; the message may have arrived.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), LinkError> {
        let frame = self.channel.seal(message).context(AuthSnafu)?;
        self.frames.send(Bytes::from(frame)).await.context(IoSnafu)
    }

    /// Puts a message before the next one that is sent.
    ///
    /// # Errors
    ///
    /// Fails when the connection is broken.
    pub async fn feed(&mut self, message: &impl Serialize) -> Result<(), LinkError> {
        let frame = self.channel.seal(message).context(AuthSnafu)?;
        self.frames.feed(Bytes::from(frame)).await.context(IoSnafu)
    }

    /// Receives the next message; dropping the future loses no message.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed or broken, or a frame does not verify.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, LinkError> {
        let frame = self
            .frames
            .next()
            .await
            .context(ClosedSnafu)?
            .context(IoSnafu)?;
        self.channel.open(&frame).context(AuthSnafu)
    }

    /// Whether the connection is idle and still open on the other side.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        // Readable data or an end of stream on an idle connection both make it unusable.
        let nothing = self.frames.get_ref().try_read(&mut byte);
        matches!(nothing, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
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
