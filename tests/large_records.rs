//! Reads of the platform's log and VM list beside records and entries of other writers.

use ebonyfall::{
    append,
    platform::{Platform, PlatformError},
};
use ebonyfall_core::id::Offset;
use ebonyfall_standin::hostile::{HostileTarget, Step};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Number of records of the log, and how many of them fit into an answer.
const RECORDS: u64 = 200;
const FITTING: u64 = 20;
/// Size of a record in an exchange.
const RECORD_BYTES: usize = 1 << 20;
/// Most memory for the records of one exchange, in bytes: its limit and one answer.
const EXCHANGE_BYTES: usize = 40 << 20;

/// Value of a field of a request's query.
fn field(req: &str, name: &str) -> u64 {
    let query = req.split(['?', '&', ' ']);
    let mut values = query.filter_map(|field| field.strip_prefix(name));
    let value = values.find_map(|value| value.strip_prefix('='));
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

/// Starts a log whose records have `data`. It declares more than any reader takes for an answer of more
/// than [`FITTING`] records, and answers all others.
async fn log(data: String) -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 4_096];
            let len = stream.read(&mut buf).await.unwrap_or_default();
            let req = String::from_utf8_lossy(&buf[..len]);
            let (from, limit) = (field(&req, "from"), field(&req, "limit"));
            let body = batch(from, limit.min(FITTING), &data);
            let declared = if limit > FITTING {
                100 << 20
            } else {
                body.len()
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {declared}\r\n\r\n{body}"
            );
            let _reader_gone = stream.write_all(answer.as_bytes()).await;
        }
    });
    Platform::new(format!("http://{address}"))
}

fn batch(from: u64, limit: u64, data: &str) -> String {
    let records = (from..RECORDS.min(from + limit))
        .map(|offset| format!(r#"{{"offset":{offset},"time":1,"data":"{data}"}}"#));
    let records = records.collect::<Vec<_>>().join(",");
    format!(r#"{{"first":0,"next":{RECORDS},"records":[{records}]}}"#)
}

/// Guards against a reader that never gets beyond long records, because it asks for a number of them whose
/// answer is too long, again and again.
#[tokio::test(flavor = "multi_thread")]
async fn long_records_do_not_end_a_read() {
    let client = log("AAAA".to_owned()).await;
    let mut next = Offset::default();
    while u64::from(next) < RECORDS {
        let batch = client.read("config", next, 256).await;
        let batch = batch.unwrap_or_else(|error| panic!("{next}: {error}"));
        let last = batch.records.last().expect("the batch has records");
        next = last.offset.next();
    }
}

/// Guards against a router that is far behind and holds all that it has missed of the claims at once.
#[tokio::test(flavor = "multi_thread")]
async fn an_exchange_holds_a_bounded_part_of_the_log() {
    let client = log("AAAA".repeat(RECORD_BYTES / 3)).await;
    let mut next = Offset::default();
    while u64::from(next) < RECORDS {
        let exchange = append::exchange(&client, next, None).await;
        assert!(exchange.read.is_ok(), "{:?}", exchange.read);
        let bytes: usize = exchange
            .records
            .iter()
            .map(|record| record.data.len())
            .sum();
        assert!(bytes <= EXCHANGE_BYTES, "{bytes} bytes");
        let last = exchange.records.last().expect("the exchange has records");
        next = last.offset.next();
    }
}

/// Guards against a list of VMs that is refused as a whole because of one entry.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_vm_does_not_cost_the_list() {
    let sound = r#"{"name":"vm-1","zone":"a","address":"10.0.0.1","state":"live"}"#;
    for odd in [
        r#"{"name":"a b","zone":"a","address":"10.0.0.1","state":"live"}"#,
        r#"{"name":"vm-2","zone":"a","address":"10.0.0.1","state":"asleep"}"#,
        r#"{"name":"vm-2"}"#,
        "7",
    ] {
        let list = format!("[{odd},{sound}]");
        let (platform, address) = HostileTarget::start().await;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        );
        platform.set_script(vec![Step::Ignore, Step::Send(answer)]);
        let client = Platform::new(format!("http://{address}"));
        let list: Result<_, PlatformError> = client.vms().await;
        let list = list.expect("the list is read");
        assert_eq!((list.vms.len(), list.left_out), (1, 1), "{odd}");
    }
}
