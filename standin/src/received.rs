//! Requests as simulated targets receive them.

use std::collections::BTreeMap;

use tokio::{io::AsyncReadExt, net::TcpStream};

/// A request as the target received it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// First line: method, path and protocol version.
    pub line: String,
    /// Header values by name in lower case; the last one of a repeated name.
    pub headers: BTreeMap<String, String>,
    /// Raw body, as long as `content-length` says.
    pub body: Vec<u8>,
}

/// Reads the next request with its body; `None` when the connection closes.
pub(crate) async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> Option<ReceivedRequest> {
    let head = read_head(stream, buf).await?;
    let len = head.headers.get("content-length");
    let len = len.and_then(|len| len.parse().ok());
    let len: usize = len.unwrap_or_default();
    while buf.len() < len {
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
    let body = buf.drain(..len).collect();
    Some(ReceivedRequest { body, ..head })
}

/// Reads the head of the next request; `None` when the connection closes. Bytes after it stay in
/// `buf`.
pub(crate) async fn read_head(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> Option<ReceivedRequest> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buf[..end].to_vec()).ok()?;
    let mut lines = head.lines();
    let line = lines.next()?.to_owned();
    let headers: BTreeMap<_, _> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    buf.drain(..end);
    Some(ReceivedRequest {
        line,
        headers,
        body: Vec::new(),
    })
}
