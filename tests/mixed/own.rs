//! Early answers of routers to callers that are still sending their request.

use std::time::Duration;

use ebonyfall_standin::deploy::TEAM_KEY;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::paths::Path;

/// Parts in which a caller sends its body, and their length in bytes.
const PARTS: usize = 24;
const PART_BYTES: usize = 32 << 10;
/// Pause between two parts, as on a slow link.
const PART_INTERVAL: Duration = Duration::from_millis(10);
/// Pause with which a body takes longer than the time for a head on entry routers, 4 s, and less than
/// the 5 s for which a router drops the rest of a refused request.
const LONG_PART_INTERVAL: Duration = Duration::from_millis(190);
/// Time within which the whole answer has arrived after the body has been sent.
const PATIENCE: Duration = Duration::from_secs(3);

/// A request that a router refuses without reading it to its end.
struct Refused {
    name: &'static str,
    /// Request line and headers, without those of the body.
    head: String,
    status: &'static [&'static str],
}

fn refused(path: &Path) -> Vec<Refused> {
    let (method, uri) = path.unsafe_route();
    let head = |method: &str, uri: &str, key: &str, more: &str| {
        format!(
            "{method} {uri} HTTP/1.1\r\nHost: spine.example\r\nAuthorization: Bearer {key}\r\n\
             Ebonyfall-Attempt-Id: early\r\n{more}"
        )
    };
    vec![
        Refused {
            name: "unknown key",
            head: head(method, uri, "nobody", ""),
            status: &["401"],
        },
        Refused {
            name: "no route",
            head: head(method, "/nowhere", TEAM_KEY, ""),
            status: &["404"],
        },
        Refused {
            name: "unknown method",
            head: head("BREW", uri, TEAM_KEY, ""),
            status: &["405", "502", "503"],
        },
        Refused {
            name: "head too large",
            head: head(
                method,
                uri,
                TEAM_KEY,
                &format!("X-Long: {}\r\n", "x".repeat(64 << 10)),
            ),
            status: &["431"],
        },
        Refused {
            name: "too many fields",
            head: head(method, uri, TEAM_KEY, &"X-Field: x\r\n".repeat(300)),
            status: &["431"],
        },
        Refused {
            name: "malformed head",
            head: head(method, uri, TEAM_KEY, "no field\r\n"),
            status: &["400"],
        },
    ]
}

/// Sends a request with a body in parts, then reads the answer.
async fn upload(
    path: &Path,
    head: &str,
    framing: &str,
    part_interval: Duration,
) -> Result<String, String> {
    let stream = TcpStream::connect(path.listen()).await;
    let mut stream = stream.expect("the router listens");
    let head = format!("{head}{framing}\r\n\r\n");
    let sent = stream.write_all(head.as_bytes()).await;
    sent.map_err(|error| format!("head: {error}"))?;
    let size = format!("{PART_BYTES:x}\r\n");
    let chunked = framing.starts_with("Transfer-Encoding");
    for part in 0..PARTS {
        let mut bytes = Vec::new();
        if chunked {
            bytes.extend_from_slice(size.as_bytes());
        }
        bytes.resize(bytes.len() + PART_BYTES, b'x');
        if chunked {
            bytes.extend_from_slice(b"\r\n");
        }
        let sent = stream.write_all(&bytes).await;
        sent.map_err(|error| format!("part {part}: {error}"))?;
        sleep(part_interval).await;
    }
    if chunked {
        let sent = stream.write_all(b"0\r\n\r\n").await;
        sent.map_err(|error| format!("last chunk: {error}"))?;
    }
    let mut answer = Vec::new();
    let read = async {
        loop {
            let mut buf = [0; 4 << 10];
            let len = stream
                .read(&mut buf)
                .await
                .map_err(|error| format!("after {} bytes of the answer: {error}", answer.len()))?;
            answer.extend_from_slice(&buf[..len]);
            if len == 0 || is_complete(&answer) {
                return Ok::<_, String>(());
            }
        }
    };
    let read = timeout(PATIENCE, read).await;
    read.map_err(|_late| "no answer".to_owned())??;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Whether the answer has its whole body, by its stated length.
fn is_complete(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let len = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let len = len.and_then(|len| len.parse::<usize>().ok());
    len.is_some_and(|len| body.len() >= len)
}

/// Guards against a refusal that is lost because the router closes the connection, which resets it,
/// while the caller is still sending its body.
#[tokio::test(flavor = "multi_thread")]
async fn an_early_refusal_reaches_a_caller_that_is_sending() {
    let len = format!("Content-Length: {}", PARTS * PART_BYTES);
    let mut lost = Vec::new();
    for path in Path::both().await {
        for case in refused(&path) {
            for framing in [&*len, "Transfer-Encoding: chunked"] {
                let answer = upload(&path, &case.head, framing, PART_INTERVAL).await;
                let is_refused = answer.as_ref().is_ok_and(|answer| {
                    let status = answer.strip_prefix("HTTP/1.1 ").unwrap_or_default();
                    is_complete(answer.as_bytes())
                        && case.status.iter().any(|code| status.starts_with(code))
                });
                if !is_refused {
                    let (path, name) = (path.name(), case.name);
                    lost.push(format!("{path}, {name}, {framing}: {answer:?}"));
                }
            }
        }
    }
    assert!(lost.is_empty(), "{lost:#?}");
}

/// Guards against a refusal of a head that ends the caller's slow upload early: the time for the head
/// went on, and its end reset the connection.
#[tokio::test(flavor = "multi_thread")]
async fn the_time_for_a_head_ends_with_its_refusal() {
    let len = format!("Content-Length: {}", PARTS * PART_BYTES);
    for path in Path::both().await {
        let cases = refused(&path).into_iter();
        let heads = cases.filter(|case| case.name.contains("head"));
        for case in heads {
            let answer = upload(&path, &case.head, &len, LONG_PART_INTERVAL).await;
            let is_whole = answer
                .as_ref()
                .is_ok_and(|answer| is_complete(answer.as_bytes()));
            assert!(is_whole, "{}, {}: {answer:?}", path.name(), case.name);
        }
    }
}
