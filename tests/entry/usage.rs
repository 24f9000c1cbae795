//! Tests of usage reports by router processes whose holder of the lease fails.

use std::{
    collections::BTreeSet, io::ErrorKind, net::SocketAddr, process::Command, time::Duration,
};

use ebonyfall_standin::{
    proxy::ConnectionFault,
    usage::{ReceivedReport, UsagePlatform, violations},
};
use http::StatusCode;
use tokio::{
    io::AsyncReadExt,
    net::TcpListener,
    time::{Instant, sleep, timeout},
};

use crate::env::EntryEnv;

/// Routers of a test.
const ROUTERS: usize = 3;
/// Lease of a holder.
const LEASE: Duration = Duration::from_secs(3);
/// Time limit for a number of further windows to be reported.
const REPORT_TIMEOUT: Duration = Duration::from_secs(25);

/// Settings of reports to `address`.
fn settings(address: SocketAddr) -> String {
    format!(
        "usage-address = {address}\nusage-window-s = 1\nusage-lease-ms = {}\nusage-late-s = 4\n\
         usage-calls-per-s = 50\n",
        LEASE.as_millis()
    )
}

struct Reporting {
    env: EntryEnv,
    platform: UsagePlatform,
}

impl Reporting {
    async fn start() -> Self {
        let (platform, address) = UsagePlatform::start().await;
        let env = EntryEnv::start_fleet_with(ROUTERS, 1, &settings(address)).await;
        let reporting = Self { env, platform };
        reporting.wait(3, |_| true).await;
        reporting
    }

    /// Waits until `count` further windows were reported by calls that fit `wanted`.
    async fn wait(&self, count: usize, wanted: impl Fn(&ReceivedReport) -> bool) {
        let before = self.platform.reports().await.len();
        let start = Instant::now();
        loop {
            let reports = self.platform.reports().await;
            let new: BTreeSet<_> = reports[before..]
                .iter()
                .filter(|report| wanted(report))
                .map(|report| report.window)
                .collect();
            if new.len() >= count {
                return;
            }
            assert!(start.elapsed() < REPORT_TIMEOUT, "{reports:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// The router that has sent the last report.
    async fn holder(&self) -> usize {
        let reports = self.platform.reports().await;
        let name = &reports.last().expect("windows were reported").holder;
        let index = name.strip_prefix("e-").and_then(|index| index.parse().ok());
        index.expect("routers are numbered")
    }

    /// Checks that no rule was broken and that no window is missing between the first and the last.
    async fn check(&self) {
        let reports = self.platform.reports().await;
        assert_eq!(violations(&reports, LEASE), [""; 0]);
        let windows: BTreeSet<_> = reports.iter().map(|report| report.window).collect();
        let (first, last) = (windows.first(), windows.last());
        let (first, last) = (first.copied().unwrap_or(0), last.copied().unwrap_or(0));
        let missing: Vec<_> = (first..=last)
            .filter(|window| !windows.contains(window))
            .collect();
        assert_eq!(missing, [0; 0]);
    }
}

/// Guards against windows that are lost, or reported twice with other counts, when the holder is
/// killed.
#[tokio::test(flavor = "multi_thread")]
async fn another_router_reports_after_the_holder_was_killed() {
    let mut reporting = Reporting::start().await;
    let killed = reporting.holder().await;
    reporting.env.signal(killed, "KILL");
    let name = format!("e-{killed}");
    reporting.wait(4, |report| report.holder != name).await;
    reporting.check().await;
}

/// Guards against a holder that goes on under its old lease after it was frozen for longer.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_holder_does_not_report_under_its_old_lease() {
    let mut reporting = Reporting::start().await;
    let frozen = reporting.holder().await;
    reporting.env.signal(frozen, "STOP");
    let name = format!("e-{frozen}");
    reporting.wait(4, |report| report.holder != name).await;
    reporting.env.signal(frozen, "CONT");
    reporting.wait(4, |_| true).await;
    assert!(reporting.env.log(frozen).contains("usage_lost"));
    reporting.check().await;
}

/// Guards against a holder that keeps on reporting although it cannot renew its lease, and against
/// routers that wait for it.
#[tokio::test(flavor = "multi_thread")]
async fn holder_without_the_store_is_replaced() {
    let reporting = Reporting::start().await;
    let cut = reporting.holder().await;
    reporting.env.store_proxies[cut].set_fault(ConnectionFault::DropAll);
    let name = format!("e-{cut}");
    reporting.wait(4, |report| report.holder != name).await;
    reporting.env.store_proxies[cut].set_fault(ConnectionFault::None);
    reporting.wait(4, |_| true).await;
    reporting.check().await;
}

/// Guards against a planned stop after which the others wait for the lease to end.
#[tokio::test(flavor = "multi_thread")]
async fn holder_that_stops_releases_its_lease() {
    let mut reporting = Reporting::start().await;
    let stopped = reporting.holder().await;
    reporting.env.signal(stopped, "TERM");
    let name = format!("e-{stopped}");
    reporting.wait(3, |report| report.holder != name).await;
    assert!(reporting.env.log(stopped).contains("usage_release"));
    reporting.check().await;
}

/// Guards against reports that are lost or changed while the platform refuses them, and against a
/// dump from which operators cannot tell that.
#[tokio::test(flavor = "multi_thread")]
async fn refused_reports_are_sent_again() {
    let reporting = Reporting::start().await;
    let holder = reporting.holder().await;
    reporting
        .platform
        .refuse(Some(StatusCode::TOO_MANY_REQUESTS))
        .await;
    sleep(Duration::from_secs(4)).await;
    let dump: serde_json::Value =
        serde_json::from_str(&reporting.env.dump(holder).await).expect("the dump is JSON");
    assert!(
        dump["usage"]["unsent"].as_u64() >= Some(1),
        "{}",
        dump["usage"]
    );
    assert_eq!(dump["usage"]["holding"], true, "{}", dump["usage"]);
    reporting.platform.refuse(None).await;
    reporting.wait(5, |_| true).await;
    reporting.check().await;
    let printed = Command::new(env!("CARGO_BIN_EXE_ebonyfall"))
        .args(["usage", &reporting.env.metrics_address(holder).to_string()])
        .output()
        .expect("the program starts");
    let printed = String::from_utf8_lossy(&printed.stdout).into_owned();
    assert!(
        printed.contains(&format!("holder: e-{holder}")),
        "{printed}"
    );
    let metrics = reporting.env.metrics(holder).await;
    assert!(metrics.contains("ebonyfall_usage_reports_total{outcome=\"failed\"}"));
}

/// Guards against a report that stays in the socket buffer of a silent link and arrives when the
/// link is back: the connection of a call without an answer is reset.
#[tokio::test(flavor = "multi_thread")]
async fn call_without_an_answer_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    let _env = EntryEnv::start_fleet_with(1, 1, &settings(address)).await;
    let accepted = timeout(REPORT_TIMEOUT, listener.accept()).await;
    let (mut stream, _) = accepted
        .expect("a report is due")
        .expect("the socket listens");
    let mut received = Vec::new();
    let ended = timeout(REPORT_TIMEOUT, stream.read_to_end(&mut received)).await;
    let error = ended
        .expect("the call has a time limit")
        .expect_err("the connection is reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert!(received.starts_with(b"POST /usage HTTP/1.1\r\n"));
}
