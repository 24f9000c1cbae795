//! Seeded sequences of sound and faulty answers over kept connections of two hostile targets.
//!
//! `HOSTILE_SEED=1000 HOSTILE_SEEDS=5000 cargo test --test hostile seeded` plays other seeds.

use std::{env, ops::Range, path::Path, time::Duration};

use ebonyfall_standin::{
    entrance::{EntryDeployment, Reply},
    hostile::{HostileTarget, Step},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use tokio::time::sleep;

/// Seeds that every run plays.
const SEEDS: Range<u64> = 0..60;
/// Requests of one seed.
const REQUESTS: usize = 8;
/// Exchanges that the script of a connection has.
const EXCHANGES: Range<usize> = 1..6;
/// Time limit of each request, in milliseconds.
const DEADLINE_MS: &str = "120";
/// Memory of the smallest entry VM, in bytes.
const VM_MEMORY: u64 = 160 << 20;

/// Paths of an idempotent route, one that is not, and streams that may and may not be resumed.
const CALLS: [(&str, &str); 4] = [
    ("GET", "/status/7"),
    ("POST", "/order/7"),
    ("POST", "/suggest/7"),
    ("POST", "/draft/7"),
];

/// What a target does with one request. All but refusals execute it.
const ANSWERS: [fn(&mut SmallRng) -> Vec<Step>; 16] = [
    |_| execute([own()]),
    |_| execute([own()]),
    |_| execute([own(), own()]),
    |_| execute([own(), "x".to_owned()]),
    |_| execute([own().replace("{id}", "{first}")]),
    |_| execute([refusal("{first}x", "503 Busy"), own()]),
    |_| execute([refusal("{first}x", "421 Misdirected")]),
    |_| execute([refusal("", "503 Busy")]),
    |_| execute([refusal("", "421 Misdirected")]),
    |rng| {
        execute([truncated(rng), String::new()])
            .into_iter()
            .chain([Step::Close])
            .collect()
    },
    |_| vec![Step::Execute, Step::Close],
    |rng| {
        execute([
            "HTTP/1.1 103 Early\r\n\r\n".repeat(rng.random_range(1..9)),
            own(),
        ])
    },
    |rng| execute([mutated(rng)]),
    |_| execute([own().replace("200 OK", "500 Failed")]),
    |_| execute([stream()]),
    |_| vec![Step::Ignore, Step::Send(refusal("{id}", "503 Busy"))],
];

/// Body of the only sound answer to the request that `id` stands for; ids have 12 characters.
fn body(id: &str) -> String {
    format!("own:{id}")
}

fn own() -> String {
    let body = body("{id}");
    format!(
        "HTTP/1.1 200 OK\r\nEbonyfall-Attempt-Id: {{id}}\r\nEbonyfall-Server-Seal: s\r\n\
         Content-Length: 16\r\n\r\n{body}"
    )
}

fn stream() -> String {
    "HTTP/1.1 200 OK\r\nEbonyfall-Attempt-Id: {id}\r\nEbonyfall-Server-Seal: s\r\n\
     Content-Length: 16\r\n\r\nid: 1\ndata: 12\n\n"
        .to_owned()
}

/// A refusal of the attempt that `id` stands for; without the header if it is empty.
fn refusal(id: &str, status: &str) -> String {
    let id = if id.is_empty() {
        String::new()
    } else {
        format!("Ebonyfall-Attempt-Id: {id}\r\n")
    };
    format!("HTTP/1.1 {status}\r\n{id}Ebonyfall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

fn truncated(rng: &mut SmallRng) -> String {
    let mut text = own();
    // The placeholders stay whole.
    let ends = [
        5,
        20,
        text.find("{id}").unwrap_or(0),
        text.rfind("own:").unwrap_or(0),
    ];
    text.truncate(*ends.choose(rng).unwrap_or(&0));
    text
}

fn mutated(rng: &mut SmallRng) -> String {
    let mut bytes: Vec<char> = own().chars().collect();
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..3) {
            0 => bytes[at] = char::from(rng.random_range(0..128_u8)),
            1 => bytes.insert(at, char::from(rng.random_range(0..128_u8))),
            _ => drop(bytes.remove(at)),
        }
    }
    bytes.into_iter().collect()
}

fn execute<const N: usize>(answer: [String; N]) -> Vec<Step> {
    std::iter::once(Step::Execute)
        .chain(answer.map(Step::Send))
        .collect()
}

fn script(rng: &mut SmallRng) -> Vec<Step> {
    let count = rng.random_range(EXCHANGES);
    (0..count)
        .flat_map(|_| {
            ANSWERS
                .choose(rng)
                .map(|answer| answer(rng))
                .unwrap_or_default()
        })
        .collect()
}

/// Whether a body has the id of another request. A body may be shorter than its id, because a mutated
/// answer may state a smaller length; it is then still the target's own answer.
fn names_another(body: &str, id: &str) -> bool {
    let is_id = |text: &[u8]| {
        let (seed, request) = (&text[..8], &text[9..]);
        text[8] == b'-' && seed.iter().chain(request).all(u8::is_ascii_digit)
    };
    let mut ids = body.as_bytes().windows(id.len()).filter(|text| is_id(text));
    ids.any(|found| found != id.as_bytes())
}

/// Checks what the caller of the request `id` got against how often it ran.
fn check(reply: Option<&Reply>, id: &str, path: &str, runs: usize) -> Result<(), String> {
    if path != "/status/7" && path != "/suggest/7" && runs > 1 {
        return Err(format!("ran {runs} times"));
    }
    let Some(reply) = reply else {
        return Ok(());
    };
    let status = reply.status.as_u16();
    if matches!(status, 408 | 421 | 429 | 503) && runs > 0 {
        return Err(format!("{status}, but it ran"));
    }
    let named = reply.headers.get("ebonyfall-attempt-id");
    if named.is_some_and(|named| named != id) {
        return Err(format!("{status} with the id {named:?}"));
    }
    match &reply.body {
        Ok(body) if status == 200 && names_another(body, id) => {
            Err(format!("another body: {body:?}"))
        }
        Ok(_) if status == 200 && runs == 0 => Err("a success although it did not run".to_owned()),
        _ => Ok(()),
    }
}

fn seeds() -> Range<u64> {
    let number = |name| {
        env::var(name)
            .ok()
            .and_then(|text: String| text.parse().ok())
    };
    let Some(start) = number("HOSTILE_SEED") else {
        return SEEDS;
    };
    start..start + number("HOSTILE_SEEDS").unwrap_or(1)
}

/// Guards against answers that reach another caller, requests that run twice, false refusals, and a
/// router that fails or runs out of memory, after any sequence of faulty answers.
#[tokio::test(flavor = "multi_thread")]
async fn any_sequence_of_faulty_answers_is_harmless() {
    let folder = tempfile::tempdir().expect("the system has a folder for temporary files");
    let program = Path::new(env!("CARGO_BIN_EXE_ebonyfall-entry"));
    let deployment = EntryDeployment::start(program, folder.path(), 1, 0).await;
    let mut targets = Vec::new();
    for name in ["h-0", "h-1"] {
        let (target, address) = HostileTarget::start().await;
        deployment.register_address(name, address).await;
        targets.push(target);
    }
    sleep(Duration::from_millis(1_500)).await;
    let listen = deployment.routers[0].listen;
    for seed in seeds() {
        let mut rng = SmallRng::seed_from_u64(seed);
        for target in &targets {
            target.set_script(script(&mut rng));
        }
        for request in 0..REQUESTS {
            let id = format!("{:08}-{request:03}", seed % 100_000_000);
            let (method, path) = CALLS[rng.random_range(0..CALLS.len())];
            let headers = [("ebonyfall-deadline-ms", DEADLINE_MS)];
            let reply = EntryDeployment::call(listen, &id, (method, path, ""), &headers).await;
            assert!(reply.is_some(), "seed {seed}, request {request}: no answer");
            let runs = targets.iter().map(|target| target.executions(&id)).sum();
            if let Err(fault) = check(reply.as_ref(), &id, path, runs) {
                panic!("seed {seed}, request {request} to {path}: {fault}");
            }
        }
    }
    let peak = deployment.peak_memory(0).expect("the router still runs");
    assert!(peak < VM_MEMORY, "{peak} bytes of memory");
}
