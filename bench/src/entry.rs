//! Measures prompt cache reuse of returning chats through entry routers, as separate processes.

use std::{
    error::Error,
    path::Path,
    time::{Duration, Instant},
};

use argh::FromArgs;
use ebonyfall_standin::{entrance::EntryDeployment, memory::PromptCaches, registered::AnswerMode};
use hdrhistogram::Histogram;
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;
use tokio::task::JoinSet;

use crate::demo::programs;

/// Prompt tokens that a model server can cache.
const CACHE_TOKENS: u64 = 400_000;
/// Events of a streamed answer.
const ANSWER_EVENTS: u32 = 8;
/// Number of common prompt prefixes that contexts share.
const COMMON_PREFIXES: u64 = 4;
/// Tokens of a common prefix.
const COMMON_PREFIX_TOKENS: u64 = 500;
/// Tokens of the shortest context, and the increment to the next longer one.
const CONTEXT_TOKENS: [u64; 2] = [2_000, 250];
/// Number of different context lengths.
const CONTEXT_LENGTHS: u64 = 24;
/// Tokens that a prompt shares with no other request.
const UNSHARED_TOKENS: u64 = 200;

/// Measures how entry routers place returning chats: the parts of prompts that are cached, fetched
/// or read again, and the time to the first token.
#[derive(Debug, Clone, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryArgs {
    /// routers, 3 by default
    #[argh(option, default = "3")]
    pub routers: usize,
    /// model servers, 6 by default
    #[argh(option, default = "6")]
    pub targets: usize,
    /// contexts that callers return to, 60 by default
    #[argh(option, default = "60")]
    pub contexts: u64,
    /// callers, 24 by default
    #[argh(option, default = "24")]
    pub callers: usize,
    /// seconds, 5 by default
    #[argh(option, default = "5")]
    pub seconds: u64,
    /// seed of what callers send, 1 by default
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// The printed results.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct EntryReport {
    /// Requests, failed ones included.
    pub requests: u64,
    /// Requests without a complete answer of status 200.
    pub failed: u64,
    /// Median time to the headers of an answer, in milliseconds.
    pub first_p50_ms: f64,
    /// 95th percentile of the time to the headers of an answer, in milliseconds.
    pub first_p95_ms: f64,
    /// Tokens of the shareable parts of all prompts.
    pub shared_tokens: u64,
    /// Share of these tokens that the server had cached.
    pub kept: f64,
    /// Share of these tokens that were fetched from another server.
    pub fetched: f64,
    /// Share of these tokens that were computed for the first time by any server.
    pub read_first: f64,
    /// Share of these tokens that were computed although some server had processed them before.
    pub read_again: f64,
    /// Reused tokens, as a share of those that an all-knowing router could have reused.
    pub reuse_of_best: f64,
}

/// Results of the callers' requests; times are in microseconds.
#[derive(Debug)]
struct CallStats {
    /// Times to the headers of complete answers.
    head_times: Histogram<u64>,
    failed: u64,
}

impl CallStats {
    fn new() -> Self {
        Self {
            head_times: Histogram::new(3).expect("three digits are supported"),
            failed: 0,
        }
    }
}

/// Runs the measurement and prints the results as JSON; returns false if a request failed.
///
/// # Errors
///
/// Fails when a temporary folder cannot be created or the programs' folder is unknown.
pub async fn run(args: EntryArgs) -> Result<bool, Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let program = programs()?.join("ebonyfall-entry");
    let report = measure(&program, folder.path(), &args).await;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(report.failed == 0)
}

/// Sends returning chats for `args.seconds` through routers started from `program`.
///
/// # Panics
///
/// Panics when a process does not start.
pub async fn measure(program: &Path, folder: &Path, args: &EntryArgs) -> EntryReport {
    let env = EntryDeployment::start(program, folder, args.routers, args.targets).await;
    let prompt_caches = env.set_model_servers(CACHE_TOKENS);
    for target in &env.targets {
        target.set_mode(AnswerMode::ByPath {
            events: ANSWER_EVENTS,
        });
    }
    let end = Instant::now() + Duration::from_secs(args.seconds);
    let mut callers = JoinSet::new();
    for caller in 0..args.callers {
        let address = env.routers[caller % args.routers].listen;
        let mut rng = SmallRng::seed_from_u64(args.seed.wrapping_mul(1_000) + caller as u64);
        let contexts = args.contexts;
        callers.spawn(async move {
            let mut calls = CallStats::new();
            while Instant::now() < end {
                let id = format!("{:016x}", rng.random::<u64>());
                let prompt = prompt(contexts, &mut rng);
                let headers = [("ebonyfall-prefix-hash", &*prompt)];
                let reply =
                    EntryDeployment::call(address, &id, ("POST", "/draft/1", ""), &headers).await;
                match reply {
                    Some(reply) if reply.status == StatusCode::OK && reply.body.is_ok() => {
                        let micros =
                            u64::try_from(reply.time_to_head.as_micros()).unwrap_or(u64::MAX);
                        calls
                            .head_times
                            .record(micros)
                            .expect("the histogram grows");
                    }
                    _ => calls.failed += 1,
                }
            }
            calls
        });
    }
    let mut all = CallStats::new();
    for calls in callers.join_all().await {
        all.head_times += calls.head_times;
        all.failed += calls.failed;
    }
    report(&all, &prompt_caches).await
}

/// Returns the prefix hash header of a random context; low numbers are much more frequent.
fn prompt(contexts: u64, rng: &mut SmallRng) -> String {
    let position = rng.random::<f64>();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "contexts are few"
    )]
    let context = (position * position * contexts as f64) as u64;
    let [shortest, step] = CONTEXT_TOKENS;
    let tokens = shortest + step * (context % CONTEXT_LENGTHS);
    let unshared = rng.random::<u32>();
    format!(
        "b{:x}:{COMMON_PREFIX_TOKENS},c{context:x}:{tokens},{unshared:x}:{UNSHARED_TOKENS}",
        context % COMMON_PREFIXES
    )
}

async fn report(calls: &CallStats, prompt_caches: &PromptCaches) -> EntryReport {
    let sum = prompt_caches.total_tokens().await;
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    let share = |tokens: u64, of: u64| tokens as f64 / of.max(1) as f64;
    let millis = |quantile: f64| {
        let micros = calls.head_times.value_at_quantile(quantile);
        Duration::from_micros(micros).as_secs_f64() * 1_000.0
    };
    EntryReport {
        requests: calls.head_times.len() + calls.failed,
        failed: calls.failed,
        first_p50_ms: millis(0.5),
        first_p95_ms: millis(0.95),
        shared_tokens: sum.total(),
        kept: share(sum.cached, sum.total()),
        fetched: share(sum.fetched, sum.total()),
        read_first: share(sum.computed_first, sum.total()),
        read_again: share(sum.recomputed, sum.total()),
        reuse_of_best: share(sum.cached + sum.fetched, sum.total() - sum.computed_first),
    }
}
