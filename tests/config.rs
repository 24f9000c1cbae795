//! Process tests of configuration: publishing, the admin interface and the command line.

mod testenv;

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Output, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use ebonyfall::{
    admin::Dump,
    clock,
    operate::{self, HistoryEntry},
    platform::Platform,
    reader::{CONFIG_STREAM, ConfigReader},
    remote,
};
use ebonyfall_bench::client::{Outcome, messages};
use ebonyfall_core::{
    config::{Change, Digest},
    id::Offset,
    sections::Sections,
};
use ebonyfall_standin::{
    deploy::{OPERATOR_TOKEN, PREVIOUS_TOKEN},
    log::LogFaults,
};
use ebonyfall_wire::record;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use sha2::{Digest as _, Sha256};
use testenv::{TestEnv, plan};
use tokio::time::{sleep, timeout};

/// Time within which a published change has to be in force in every process.
const IN_FORCE_BOUND: Duration = Duration::from_secs(8);
const TEAM_TOKEN: &str = "desks-admin";

fn hash(text: &str) -> String {
    let digest: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    Digest(digest).to_string()
}

async fn start() -> TestEnv {
    let mut plan = plan(2, 0);
    plan.document = format!("admin-tokens = {}\n", hash(TEAM_TOKEN));
    TestEnv::start(plan).await
}

/// Writes a copy of the deployment's document in which team `desks` has the given weight.
fn write_document(env: &TestEnv, weight: u32) -> PathBuf {
    let mut sections = Sections::parse("deployment", &env.deployment.document).unwrap();
    let mut body = sections.get("team desks").unwrap().clone();
    body.insert("weight".to_owned(), weight.to_string());
    sections.put("team desks", body);
    let path = env.folder().join(format!("weight-{weight}.ini"));
    fs::write(&path, sections.render()).unwrap();
    path
}

/// Runs the operators' command line against the deployment's platform.
async fn run(env: &TestEnv, args: &[&str]) -> Output {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_ebonyfall"));
    command.arg("--platform").arg(&env.deployment.platform_url);
    command.args(args).stdin(Stdio::null());
    command.output().await.unwrap()
}

fn output_text(output: &Output) -> String {
    let [out, err] = [&output.stdout, &output.stderr].map(|text| String::from_utf8_lossy(text));
    format!("{out}{err}")
}

async fn publish(env: &TestEnv, operator: &str, base: Option<u64>, weight: u32) -> Output {
    let file = write_document(env, weight);
    let base = base.map(|base| base.to_string());
    let mut args = vec!["publish", "--operator", operator];
    if let Some(base) = &base {
        args.extend(["--base", base]);
    }
    args.push(file.to_str().unwrap());
    run(env, &args).await
}

fn admin_addresses(env: &TestEnv) -> Vec<std::net::SocketAddr> {
    let daemons = env.deployment.agents.iter().chain(&env.deployment.routers);
    daemons.map(|daemon| daemon.admin).collect()
}

async fn dump(address: std::net::SocketAddr) -> Option<Dump> {
    remote::dump(address, OPERATOR_TOKEN).await.ok()
}

/// Waits until every process has `offset` in force, and returns how long it took.
async fn wait_in_force(env: &TestEnv, offset: u64) -> Duration {
    let start = Instant::now();
    for address in admin_addresses(env) {
        loop {
            let found = dump(address)
                .await
                .and_then(|dump| dump.configuration.offset);
            if found >= Some(Offset::from(offset)) {
                break;
            }
            assert!(start.elapsed() < IN_FORCE_BOUND, "{address} has {found:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }
    start.elapsed()
}

/// Guards against two publishers on the same base that both succeed or both fail, and against a
/// conflict error that does not name the other operator and the differing sections.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_publishers_one_succeeds_and_one_gets_a_conflict() {
    let env = start().await;
    let (ann, ben) = tokio::join!(
        publish(&env, "ann", Some(0), 2),
        publish(&env, "ben", Some(0), 3)
    );
    let (winner, loser, name) = if ann.status.success() {
        (ann, ben, "ann")
    } else {
        (ben, ann, "ben")
    };
    assert_eq!(winner.status.code(), Some(0), "{}", output_text(&winner));
    assert_eq!(loser.status.code(), Some(3), "{}", output_text(&loser));
    let message = output_text(&loser);
    assert!(
        message.contains(&format!("{name} published offset")),
        "{message}"
    );
    assert!(
        message.contains("differing sections: team desks"),
        "{message}"
    );
    wait_in_force(&env, 1).await;
    let events = operate::history(&Platform::new(&env.deployment.platform_url))
        .await
        .unwrap();
    let authors: Vec<_> = events.iter().map(|event| event.author.as_str()).collect();
    assert_eq!(authors, ["deploy", name]);
}

/// Guards against a change that is appended twice, or reported as failed, when the reply to the
/// append is lost: the publisher must find its record in the log instead of sending it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_publish_with_a_lost_reply_is_not_repeated() {
    let env = start().await;
    let lossy = LogFaults {
        lose_replies: true,
        ..LogFaults::default()
    };
    env.deployment.platform.set_faults(lossy).await;
    let before = env.deployment.platform.appends().await;
    let output = publish(&env, "ann", None, 2).await;
    assert!(output.status.success(), "{}", output_text(&output));
    assert_eq!(env.deployment.platform.appends().await, before + 1);
    wait_in_force(&env, 1).await;
}

/// Guards against processes that stop serving while the log is down, or miss the next change after
/// it is back.
#[tokio::test(flavor = "multi_thread")]
async fn serving_goes_on_while_the_log_is_down() {
    let env = start().await;
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    env.deployment.platform.set_faults(down).await;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(6) {
        let (outcome, _) = env.caller(0).chat(&messages(1, 0, 4), 4, false).await;
        assert!(matches!(outcome, Outcome::Completed { .. }), "{outcome:?}");
        sleep(Duration::from_millis(200)).await;
    }
    let refused = publish(&env, "ann", None, 2).await;
    assert_eq!(refused.status.code(), Some(1));
    assert!(
        output_text(&refused).contains("nothing was published"),
        "{}",
        output_text(&refused)
    );
    env.deployment
        .platform
        .set_faults(LogFaults::default())
        .await;
    let published = publish(&env, "ann", None, 2).await;
    assert!(published.status.success(), "{}", output_text(&published));
    wait_in_force(&env, 1).await;
}

/// Guards against a restarted process that serves a configuration older than the one before its
/// restart. The log has dropped its first records here, so the process cannot read it from offset
/// 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_process_never_shows_an_older_configuration() {
    let mut plan = plan(2, 0);
    plan.log.max_stream_records = 90;
    let mut env = TestEnv::start(plan).await;
    let platform = Platform::new(&env.deployment.platform_url);
    let mut last = 0;
    for weight in 2..122 {
        let text = fs::read_to_string(write_document(&env, weight)).unwrap();
        let req = operate::PublishRequest {
            file: "test",
            text: &text,
            author: "ann".parse().unwrap(),
            base: Some(Offset::from(last)),
            initial: false,
        };
        match operate::publish(&platform, req).await.unwrap() {
            operate::PublishOutcome::Changed { offset, .. } => last = offset.into(),
            unchanged @ operate::PublishOutcome::Unchanged { .. } => panic!("{unchanged:?}"),
        }
    }
    wait_in_force(&env, last).await;
    env.deployment.routers[0].restart().unwrap();
    let admin = env.deployment.routers[0].admin;
    let start = Instant::now();
    loop {
        let found = dump(admin).await.and_then(|dump| dump.configuration.offset);
        assert!(
            found.is_none_or(|found| found >= Offset::from(last)),
            "{found:?}"
        );
        if found.is_some() {
            break;
        }
        assert!(start.elapsed() < IN_FORCE_BOUND, "no configuration");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a process that returns to an older configuration when the log is reset to an
/// earlier end, and against a reset that operators do not see.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_reset_is_reported_and_not_followed() {
    let env = start().await;
    assert!(publish(&env, "ann", None, 2).await.status.success());
    wait_in_force(&env, 1).await;
    let platform = &env.deployment.platform;
    platform.truncate(CONFIG_STREAM, Offset::from(1)).await;
    sleep(Duration::from_secs(3)).await;
    for address in admin_addresses(&env) {
        let state = dump(address).await.unwrap().configuration;
        assert_eq!(
            (state.offset, state.log_reset),
            (Some(Offset::from(1)), true)
        );
    }
    let token = env.token_file();
    let args = [
        "status",
        "--token-file",
        &token,
        "--admin",
        &admin_addresses(&env)[0].to_string(),
    ];
    let status = run(&env, &args).await;
    assert_eq!(status.status.code(), Some(1));
    assert!(
        output_text(&status).contains("the log was set back"),
        "{}",
        output_text(&status)
    );
}

/// Guards against a process that gets a configuration from a peer before it reads the log, and does
/// not detect that the log was reset to before that configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_reset_is_detected_by_a_process_with_records_from_a_peer() {
    let env = start().await;
    let platform = Platform::new(&env.deployment.platform_url);
    let mut tail = ConfigReader::new(platform.clone());
    tail.advance().await.unwrap();
    let before = tail.chain().tip().unwrap().offset;
    assert!(publish(&env, "ann", None, 2).await.status.success());
    let mut peer = ConfigReader::new(platform);
    peer.advance().await.unwrap();
    let records = peer.chain().records_after(before).unwrap();
    assert_eq!(tail.chain_mut().offer_records(records).unwrap(), 1);
    let end = before.next();
    env.deployment.platform.truncate(CONFIG_STREAM, end).await;
    tail.advance().await.unwrap();
    assert!(tail.reset());
}

/// Guards against a configuration that expires in the log because nobody renews it, and against
/// every process renewing it.
#[tokio::test(flavor = "multi_thread")]
async fn an_old_configuration_is_renewed_once() {
    let env = start().await;
    let platform = Platform::new(&env.deployment.platform_url);
    let mut tail = ConfigReader::new(platform.clone());
    tail.advance().await.unwrap();
    let text: Arc<str> = Arc::from(fs::read_to_string(write_document(&env, 2)).unwrap());
    let sections = Sections::parse("test", &text).unwrap();
    // The snapshot is as old as the whole retention, so that a renewal is due in each process.
    let old = clock::unix_time().saturating_sub(Duration::from_secs(24 * 3600));
    let old = u64::try_from(old.as_millis()).unwrap();
    let mut record = tail
        .chain()
        .propose(&sections, 1, "ann".parse().unwrap(), old);
    record.change = Change::Snapshot(text);
    let data = record::encode(&record).unwrap();
    platform.append(CONFIG_STREAM, &data).await.unwrap();
    sleep(Duration::from_secs(4)).await;
    let events = operate::history(&platform).await.unwrap();
    let renewals = events.iter().filter(|event| event.kind == "renewal");
    assert_eq!(renewals.count(), 1, "{events:?}");
    let appends = env.deployment.platform.appends().await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(env.deployment.platform.appends().await, appends);
}

async fn request(
    env: &TestEnv,
    method: Method,
    path: &str,
    token: &str,
    body: String,
) -> (StatusCode, Value) {
    let admin = env.deployment.routers[0].admin;
    let (status, body) = remote::send(method, admin, path, token, Bytes::from(body))
        .await
        .unwrap();
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

/// Guards against an admin interface that works without a token, that refuses the previous token
/// during a rotation, or that lets a team's token read or change more than the team's own settings.
#[tokio::test(flavor = "multi_thread")]
async fn admin_tokens_give_only_their_own_rights() {
    let env = start().await;
    let get = |path: &'static str, token: &'static str| {
        request(&env, Method::GET, path, token, String::new())
    };
    assert_eq!(get("/healthz", "").await.0, StatusCode::OK);
    for path in [
        "/metrics",
        "/dump",
        "/v1/config",
        "/v1/config/history",
        "/v1/status",
        "/v1/team",
    ] {
        for token in ["", "operator-toke", "wrong", "desks-key"] {
            assert_eq!(get(path, token).await.0, StatusCode::UNAUTHORIZED, "{path}");
        }
        let expected = if path == "/v1/team" {
            StatusCode::NOT_FOUND
        } else {
            StatusCode::OK
        };
        for token in [OPERATOR_TOKEN, PREVIOUS_TOKEN] {
            assert_eq!(get(path, token).await.0, expected, "{path}");
        }
    }
    for path in [
        "/metrics",
        "/dump",
        "/v1/config",
        "/v1/config/history",
        "/v1/status",
    ] {
        assert_eq!(
            get(path, TEAM_TOKEN).await.0,
            StatusCode::FORBIDDEN,
            "{path}"
        );
    }
    assert_eq!(get("/v1/team", TEAM_TOKEN).await.1["weight"], 1);
    let post = |path: &'static str, token: &'static str, body: String| {
        request(&env, Method::POST, path, token, body)
    };
    let (status, _) = post("/v1/team", TEAM_TOKEN, json!({ "weight": 9 }).to_string()).await;
    assert_eq!(status, StatusCode::FORBIDDEN);
    let injected = json!({ "deadline": "5s\nweight = 9" }).to_string();
    assert_eq!(
        post("/v1/team", TEAM_TOKEN, injected).await.0,
        StatusCode::FORBIDDEN
    );
    let keys = format!("{}, {}", hash("desks-key"), hash("new-key"));
    let change = json!({ "keys": keys, "priority": "check", "deadline": "5s" }).to_string();
    let (status, body) = post("/v1/team", TEAM_TOKEN, change).await;
    assert_eq!(
        (status, &body["sections"]),
        (StatusCode::OK, &json!(["team desks"])),
        "{body}"
    );
    wait_in_force(&env, 1).await;
    let team = get("/v1/team", TEAM_TOKEN).await.1;
    assert_eq!(
        (&team["keys"], &team["priority"]),
        (&json!(2), &json!("check")),
        "{team}"
    );
}

/// Guards against an API that publishes an invalid document, hides a conflict or loses a change.
#[tokio::test(flavor = "multi_thread")]
async fn the_admin_api_checks_compares_and_publishes() {
    let env = start().await;
    let text = fs::read_to_string(write_document(&env, 5)).unwrap();
    let post =
        |path: &'static str, body: String| request(&env, Method::POST, path, OPERATOR_TOKEN, body);
    let faulty = text.replace("weight = 5", "wait = 5");
    for path in ["/v1/config/check", "/v1/config/publish?operator=ann"] {
        let (status, body) = post(path, faulty.clone()).await;
        assert_eq!(
            (status, &body["error"]["code"]),
            (StatusCode::UNPROCESSABLE_ENTITY, &json!("6002"))
        );
        let message = body["error"]["message"].as_str().unwrap();
        assert!(message.contains("wait: found an unknown key"), "{message}");
    }
    let (_, diff) = post("/v1/config/diff", text.clone()).await;
    assert_eq!(
        diff["differences"][0]["keys"],
        json!({ "weight": [null, "5"] }),
        "{diff}"
    );
    let (status, done) = post("/v1/config/publish?operator=ann&base=0", text.clone()).await;
    assert_eq!(
        (status, &done["offset"]),
        (StatusCode::OK, &json!(1)),
        "{done}"
    );
    let other = text.replace("weight = 5", "weight = 6");
    let (status, body) = post("/v1/config/publish?operator=ben&base=0", other).await;
    assert_eq!(
        (status, &body["error"]["code"]),
        (StatusCode::CONFLICT, &json!("6001")),
        "{body}"
    );
    wait_in_force(&env, 1).await;
    let (_, history) = request(
        &env,
        Method::GET,
        "/v1/config/history",
        OPERATOR_TOKEN,
        String::new(),
    )
    .await;
    let history: Vec<HistoryEntry> = serde_json::from_value(history).unwrap();
    assert_eq!(history[1].sections, ["team desks"]);
    let (_, status) = request(
        &env,
        Method::GET,
        "/v1/status",
        OPERATOR_TOKEN,
        String::new(),
    )
    .await;
    assert_eq!(
        (&status["wrong"], &status["in_force"]),
        (&json!([]), &json!(4)),
        "{status}"
    );
    let (_, config) = request(
        &env,
        Method::GET,
        "/v1/config",
        OPERATOR_TOKEN,
        String::new(),
    )
    .await;
    assert_eq!(
        config["digest"],
        json!(hash(config["text"].as_str().unwrap()))
    );
}

/// Guards against error messages of `check` that lack the line, the key, the value found or the
/// allowed values.
#[tokio::test]
async fn check_reports_line_key_found_and_allowed_values() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("faulty.ini");
    let good = fs::read_to_string(Path::new("examples/tas-south.ini")).unwrap();
    let key = hash("example-key-hobart-library");
    let faulty = good
        .replace("load-multiple = 1.25", "load-multiple = 0.5")
        .replace("to = v4", "to = v3")
        .replace("path = /print/status", "path = /print/orders")
        .replace("method = GET", "method = POST")
        .replace("192.0.2.11:", "192.0.2.10:")
        .replace(&hash("example-key-glenorchy-library"), &key)
        .replace(
            "zone = kingston-c\nagent = 192.0.2.12",
            "zone = kingston\nagent = 192.0.2.12",
        )
        .replace("warmup = 30s", "warm-up = 30s");
    fs::write(&path, faulty).unwrap();
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_ebonyfall"));
    let output = command.arg("check").arg(&path).output().await.unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = output_text(&output).replace(&format!("{}:", path.display()), "");
    let keys = "load-multiple, retry-budget, queue, body-bytes, warmup, zone-ramp, hold, retention";
    let expected = [
        "[limits] load-multiple: found \"0.5\"; allowed: a number from 1.01 to 10",
        &format!("[limits] warm-up: found an unknown key; allowed: {keys}"),
        "[move labels-v4] to: found \"v3\"; allowed: another version than from",
        "[target labels-03] zone: found \"kingston\"; allowed: glenorchy-b, hobart-a, kingston-c",
        &format!(
            "[team glenorchy-library] keys: found {}...; allowed: a value that [team hobart-library] does not have",
            &key[..4]
        ),
        "[target labels-02] agent: found 192.0.2.10:7400; allowed: a value that [target labels-01] does not have",
        "[route print-status] path: found POST /print/orders; allowed: a value that [route print-order] does not have",
    ];
    let lines: Vec<_> = text
        .lines()
        .map(|line| line.split_once(": ").unwrap())
        .collect();
    for (line, text) in &lines {
        let key = text.split([']', ':']).nth(1).unwrap().trim();
        let number: usize = line.parse().unwrap();
        let faulty = fs::read_to_string(&path).unwrap();
        let found = faulty.lines().nth(number - 1).unwrap();
        assert!(found.starts_with(key), "{text}: line {number} is {found:?}");
    }
    let texts: Vec<_> = lines.iter().map(|(_, text)| *text).collect();
    assert_eq!(texts, expected);
}

/// Guards against commands on the operators' page that fail when they are run as written.
#[tokio::test(flavor = "multi_thread")]
async fn the_commands_of_the_operators_page_work() {
    let env = start().await;
    let folder = env.folder();
    let trial = env.deployment.document.replace("weight = 1\n", "");
    fs::write(folder.join("trial.ini"), &trial).unwrap();
    let production = trial.replace("name = trial", "name = production");
    fs::write(folder.join("production.ini"), production).unwrap();
    fs::write(folder.join("operator.token"), OPERATOR_TOKEN).unwrap();
    let state = include_str!("testenv/state.json");
    fs::write(folder.join("state.json"), state).unwrap();
    let processes: Vec<_> = admin_addresses(&env)
        .iter()
        .map(ToString::to_string)
        .collect();
    let settings = format!(
        "[operator]\nname = ann\nplatform = {}\ntoken-file = operator.token\nprocesses = {}\n",
        env.deployment.platform_url,
        processes.join(", ")
    );
    fs::write(folder.join("operator.ini"), settings).unwrap();
    let programs = Path::new(env!("CARGO_BIN_EXE_ebonyfall")).parent().unwrap();
    let path = format!("{}:{}", programs.display(), std::env::var("PATH").unwrap());
    let page = fs::read_to_string("docs/OPERATIONS.md").unwrap();
    let commands = page.lines().filter_map(|line| line.strip_prefix("    $ "));
    let mut count = 0;
    for line in commands {
        let line = line.replace("192.0.2.1:7300", &processes[0]);
        let mut command = tokio::process::Command::new("sh");
        command
            .args(["-ec", &line])
            .env("PATH", &path)
            .current_dir(folder);
        let output = timeout(Duration::from_secs(40), command.output())
            .await
            .unwrap()
            .unwrap();
        assert!(output.status.success(), "{line}: {}", output_text(&output));
        // The page tells operators to check that a change is in force before the next step.
        if line.contains(" publish ") {
            sleep(Duration::from_secs(3)).await;
        }
        count += 1;
    }
    assert!(count >= 10, "the page has only {count} commands");
}
