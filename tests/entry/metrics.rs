//! Tests of the entry router's metrics with a Prometheus parser.

use std::time::Duration;

use prometheus_parse::{Sample, Scrape, Value};
use tokio::time::sleep;

use crate::{RESUMABLE, SAFE, UNSAFE, env::EntryEnv};

/// Unit suffixes that metric names may have.
const UNIT_SUFFIXES: [&str; 3] = ["_seconds", "_bytes", "_total"];
/// Gauges without a unit.
const UNITLESS_GAUGES: [&str; 16] = [
    "ebonyfall_open",
    "ebonyfall_caller_connections",
    "ebonyfall_routers",
    "ebonyfall_fleet_share_routers",
    "ebonyfall_desired_version",
    "ebonyfall_configuration_offset",
    "ebonyfall_configuration_log_reset",
    "ebonyfall_dispatch_capacity",
    "ebonyfall_dispatch_limit",
    "ebonyfall_dispatch_open",
    "ebonyfall_dispatch_demand_elsewhere",
    "ebonyfall_dispatch_level",
    "ebonyfall_dispatch_waiting",
    "ebonyfall_usage_holding",
    "ebonyfall_targets_under_pace",
    "ebonyfall_stated_slowness_max",
];

fn scrape(text: &str) -> Scrape {
    let lines = text.lines().map(|line| Ok(line.to_owned()));
    Scrape::parse(lines).expect("the metrics have Prometheus' text format")
}

fn count(samples: &[Sample], name: &str, label: Option<(&str, &str)>) -> f64 {
    let found = samples.iter().filter(|sample| {
        let fits = label.is_none_or(|(key, value)| sample.labels.get(key) == Some(value));
        sample.metric == name && fits
    });
    let counts = found.map(|sample| match &sample.value {
        Value::Counter(count) | Value::Gauge(count) | Value::Untyped(count) => *count,
        Value::Histogram(buckets) => buckets.last().map_or(0.0, |bucket| bucket.count),
        Value::Summary(_) => 0.0,
    });
    counts.sum()
}

/// Guards against metrics that Prometheus cannot parse, metric names without a unit, and counters
/// that are not incremented.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_parse_have_units_and_count_requests() {
    let env = EntryEnv::start(1).await;
    for _ in 0..3 {
        env.call("GET", SAFE, "", &[]).await;
    }
    let prompt = [("Ebonyfall-Prefix-Hash", "aa:10,bb:20,cc:30")];
    env.call("POST", RESUMABLE, "", &prompt).await;
    env.call("POST", UNSAFE, "", &[]).await;
    sleep(Duration::from_millis(300)).await;
    let text = env.metrics(0).await;
    let samples = scrape(&text).samples;
    for sample in &samples {
        let name = sample.metric.trim_end_matches("_sum");
        let name = name.trim_end_matches("_count").trim_end_matches("_bucket");
        let unit = UNIT_SUFFIXES.iter().any(|unit| name.ends_with(unit));
        assert!(name.starts_with("ebonyfall_"), "{name}");
        assert!(
            unit || UNITLESS_GAUGES.contains(&name) || name.ends_with("_rejected_records"),
            "{name} has no unit"
        );
    }
    let counted = |name: &str, label| count(&samples, name, label);
    assert!(counted("ebonyfall_choices_total", None) >= 5.0, "{text}");
    let held = Some(("context", "held"));
    assert!(counted("ebonyfall_choices_total", held) >= 1.0, "{text}");
    assert!(counted("ebonyfall_choice_seconds", None) >= 5.0, "{text}");
    assert!(counted("ebonyfall_answer_seconds", None) >= 5.0, "{text}");
    assert!(
        counted("ebonyfall_store_call_seconds", None) >= 2.0,
        "{text}"
    );
    let desired = Some(("change", "desired"));
    assert!(
        counted("ebonyfall_belief_changes_total", desired) >= 1.0,
        "{text}"
    );
    let age = counted("ebonyfall_state_age_seconds", None);
    assert!(age > 0.0 && age < 5.0, "the state is {age} s old");
}
