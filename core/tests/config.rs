//! Tests of the configuration chain with scenario files and random schedules on a simulated log.
//!
//! `RUN=races.txt cargo test -p ebonyfall-core --test config scenarios` runs a single scenario
//! file. With `REWRITE=1`, the expected results in the files are replaced by the actual ones.

use std::{collections::BTreeMap, fmt::Write as _, sync::Arc};

use datadriven::TestCase;
use ebonyfall_core::{
    config::{Applied, Chain, Change, Digest, Record, RejectReason},
    id::Offset,
    sections::Sections,
};

const BASE: &str = "[environment]\nname = trial\n[limits]\nretention = 8h\n";

fn document(weights: &BTreeMap<String, u32>) -> Sections {
    let mut sections = Sections::parse("base", BASE).unwrap();
    for (team, weight) in weights {
        let body = [("weight".to_owned(), weight.to_string())].into();
        sections.put(&format!("team {team}"), body);
    }
    sections
}

/// Simulated log of the platform; `None` stands for a record that cannot be decoded.
#[derive(Debug, Default, Clone)]
struct Log {
    /// Offset of the oldest record that has not expired.
    first: u64,
    records: Vec<Option<Record>>,
}

impl Log {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, record: Option<Record>) -> u64 {
        self.records.push(record);
        self.end() - 1
    }

    fn read(&self, from: u64, limit: usize) -> impl Iterator<Item = (Offset, Option<Record>)> {
        let skip = usize::try_from(from.saturating_sub(self.first)).unwrap();
        let records = self.records.iter().enumerate().skip(skip).take(limit);
        records.map(|(index, record)| (Offset::from(self.first + index as u64), record.clone()))
    }
}

/// Reads the log from the next offset of the chain. Returns whether the chain has reached the end
/// of the log and found a valid starting record.
fn read_log(chain: &mut Chain, log: &Log, limit: usize) -> bool {
    chain.skip_to(Offset::from(log.first));
    for (offset, record) in log.read(chain.next_offset().into(), limit) {
        chain.apply(offset, record);
    }
    u64::from(chain.next_offset()) >= log.end() && chain.on_caught_up(true)
}

fn with_team_weight(chain: &Chain, team: &str, weight: u32) -> Sections {
    let mut sections = match chain.tip() {
        Some(tip) => Sections::parse("tip", &tip.document.text).unwrap(),
        None => document(&BTreeMap::new()),
    };
    let body = [("weight".to_owned(), weight.to_string())].into();
    sections.put(&format!("team {team}"), body);
    sections
}

fn format_tip(chain: &Chain) -> String {
    let Some(tip) = chain.tip() else {
        return "none".to_owned();
    };
    let teams = tip.document.teams.iter();
    let teams: String = teams.fold(String::new(), |mut text, (name, team)| {
        let _infallible = write!(text, " {name}={}", team.weight);
        text
    });
    format!("{} by {}{teams}", tip.offset, tip.author)
}

#[derive(Default)]
struct Harness {
    log: Log,
    readers: BTreeMap<String, Chain>,
}

impl Harness {
    fn run(&mut self, case: &mut TestCase) -> String {
        let result = match case.directive.as_str() {
            "publish" => self.publish(case),
            "garbage" => format!("at {}", self.log.push(None)),
            "truncate" => {
                let first: u64 = case.take_arg("first").unwrap();
                let drop = usize::try_from(first - self.log.first).unwrap();
                self.log.records.drain(..drop);
                self.log.first = first;
                format!("keeps {first} to {}", self.log.end())
            }
            "reset" => {
                let next: u64 = case.take_arg("next").unwrap();
                let keep = usize::try_from(next - self.log.first).unwrap();
                self.log.records.truncate(keep);
                format!("next {next}")
            }
            "read" => {
                let reader: String = case.take_arg("reader").unwrap();
                let limit = case.try_take_arg("limit").unwrap().unwrap_or(usize::MAX);
                let from: Option<u64> = case.try_take_arg("from").unwrap();
                let chain = self.readers.entry(reader).or_default();
                let known = match from {
                    None => read_log(chain, &self.log, limit),
                    Some(from) => {
                        chain.skip_to(Offset::from(from));
                        for (offset, record) in self.log.read(from, limit) {
                            chain.apply(offset, record);
                        }
                        chain.on_caught_up(false)
                    }
                };
                let note = if known { "" } else { " (searching or behind)" };
                format!("{}{note}", format_tip(chain))
            }
            "offer-snapshot" => {
                let (from, to) = Self::take_from_and_to(case);
                let snapshot = self.readers[&from].snapshot().unwrap();
                let chain = self.readers.entry(to).or_default();
                let taken = chain.offer_snapshot(snapshot);
                format!("{taken:?}: {}", format_tip(chain))
            }
            "offer-records" => {
                let (from, to) = Self::take_from_and_to(case);
                let after = self.readers[&to].tip().unwrap().offset;
                let records = self.readers[&from].records_after(after);
                let chain = self.readers.entry(to).or_default();
                let taken = records.map(|records| chain.offer_records(records));
                format!("{taken:?}: {}", format_tip(chain))
            }
            "due" => {
                let reader: String = case.take_arg("reader").unwrap();
                let percent: u64 = case.take_arg("percent").unwrap();
                let random = u64::MAX / 100 * percent;
                format!("{:?}", self.readers[&reader].renewal_due_ms(random))
            }
            other => format!("unknown directive {other}"),
        };
        case.expect_empty().unwrap();
        format!("{result}\n")
    }

    fn take_from_and_to(case: &mut TestCase) -> (String, String) {
        (case.take_arg("from").unwrap(), case.take_arg("to").unwrap())
    }

    fn publish(&mut self, case: &mut TestCase) -> String {
        let reader: String = case.take_arg("reader").unwrap();
        let time = case.try_take_arg("time").unwrap().unwrap_or(0);
        let fault: Option<String> = case.try_take_arg("fault").unwrap();
        let chain = self.readers.entry(reader.clone()).or_default();
        let author = reader.parse().unwrap();
        let id = u128::from(self.log.end());
        let mut record = if case.take_flag("renew").unwrap() {
            chain.propose_renewal(id, author, time).unwrap()
        } else {
            let team: String = case.take_arg("team").unwrap();
            let weight = case.take_arg("weight").unwrap();
            let document = with_team_weight(chain, &team, weight);
            chain.propose(&document, id, author, time)
        };
        if case.take_flag("whole").unwrap() {
            let team: BTreeMap<_, _> = [("whole".to_owned(), 1)].into();
            let text: Arc<str> = Arc::from(document(&team).render());
            record.digest = Digest::of(&text);
            record.change = Change::Snapshot(text);
        }
        match fault.as_deref() {
            Some("digest") => record.digest = Digest([0; 32]),
            Some("document") => {
                let text: Arc<str> = Arc::from("[team t]\nspeed = 1\n");
                record.digest = Digest::of(&text);
                record.change = Change::Snapshot(text);
            }
            _ => {}
        }
        let kind = match record.change {
            Change::Snapshot(_) => "snapshot",
            Change::Delta(_) => "delta",
            Change::Renew(_) => "renewal",
        };
        let parent = record.parent;
        let at = self.log.push(Some(record));
        let parent = parent.map_or("none".to_owned(), |parent| parent.to_string());
        format!("{kind} at {at} on {parent}")
    }
}

/// Guards against readers that accept or reject the wrong records. The comments in each scenario
/// file name the failures that it covers.
#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios/config", |file| {
        let mut harness = Harness::default();
        file.run(|case| -> Result<String, String> { Ok(harness.run(case)) });
    });
}

/// Readers with deliberate bugs, which the checker has to detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    Correct,
    /// Treats every record as a child of the tip.
    NoParentCheck,
    /// Adopts the first snapshot in a truncated log without checking its parent.
    TrustsFirstSnapshot,
    /// Discards its tip before every read.
    LosesTip,
}

/// Computes the tip from the complete log by direct application of the rule. Also returns the
/// offset of the last valid snapshot or renewal.
fn oracle(all: &[Option<Record>]) -> (Option<(u64, Digest)>, Option<u64>) {
    let mut tip: Option<(u64, Sections, Digest)> = None;
    let mut last_full_document = None;
    for (offset, record) in (0..).zip(all) {
        let Some(record) = record else { continue };
        if record.parent.map(u64::from) != tip.as_ref().map(|(offset, ..)| *offset) {
            continue;
        }
        let sections = match (&record.change, &tip) {
            (Change::Delta(edits), Some((_, base, _))) => {
                let mut sections = base.clone();
                sections.apply(edits);
                sections
            }
            (Change::Delta(_), None) => continue,
            (Change::Snapshot(text) | Change::Renew(text), _) => {
                Sections::parse("oracle", text).unwrap()
            }
        };
        let text = sections.render();
        if Digest::of(&text) == record.digest && !text.contains("speed") {
            if record.change.text().is_some() {
                last_full_document = Some(offset);
            }
            tip = Some((offset, sections, record.digest));
        }
    }
    (
        tip.map(|(offset, _, digest)| (offset, digest)),
        last_full_document,
    )
}

fn read_log_as(
    variant: Variant,
    chain: &mut Chain,
    log: &Log,
    from: u64,
    limit: usize,
    complete: bool,
) -> bool {
    if variant == Variant::LosesTip {
        *chain = Chain::new();
    }
    chain.skip_to(Offset::from(from));
    let records: Vec<_> = log.read(u64::from(chain.next_offset()), limit).collect();
    for (offset, mut record) in records {
        if variant == Variant::TrustsFirstSnapshot
            && let Some(Record {
                change: Change::Snapshot(text),
                ..
            }) = &record
            && chain.tip().is_none()
            && chain.is_searching()
        {
            let mut first = Chain::new();
            let sections = Sections::parse("first", text).unwrap();
            first.apply(
                offset,
                Some(first.propose(&sections, 0, "x".parse().unwrap(), 0)),
            );
            if let Some(mut snapshot) = first.snapshot() {
                snapshot.offset = offset;
                let _refused = chain.offer_snapshot(snapshot);
            }
        }
        if variant == Variant::NoParentCheck
            && let Some(record) = &mut record
        {
            record.parent = chain.tip().map(|tip| tip.offset);
        }
        chain.apply(offset, record);
    }
    u64::from(chain.next_offset()) >= log.end() && chain.on_caught_up(complete)
}

/// Runs a schedule and returns a description of the first violation.
fn run_schedule(variant: Variant, steps: &[(u8, u8, u8)]) -> Result<(), String> {
    let mut log = Log::default();
    let mut all: Vec<Option<Record>> = Vec::new();
    let mut operators: Vec<Chain> = (0..3).map(|_| Chain::new()).collect();
    for (number, (kind, who, value)) in steps.iter().enumerate() {
        let operator = &mut operators[usize::from(who % 3)];
        let before = operator.tip().map(|tip| tip.offset);
        let first = log.first;
        match kind % 10 {
            0..=2 => {
                let limit = usize::from(value % 8) + 1;
                read_log_as(variant, operator, &log, first, limit, true);
            }
            3 => {
                read_log_as(variant, operator, &log, first, usize::MAX, true);
            }
            4..=7 if operator.is_searching() || (operator.tip().is_none() && first > 0) => {}
            4..=7 => {
                let author = ["ann", "ben", "eve"][usize::from(who % 3)].parse().unwrap();
                let document =
                    with_team_weight(operator, &format!("t{}", value % 4), u32::from(*value) + 1);
                let id = number as u128;
                let mut record = operator.propose(&document, id, author, 0);
                if kind % 10 == 6 {
                    record.change = Change::Snapshot(Arc::from(document.render()));
                }
                match value {
                    0..32 => record.digest = Digest([*value; 32]),
                    32..48 => {
                        let text: Arc<str> = Arc::from("[team t]\nspeed = 1\n");
                        record.digest = Digest::of(&text);
                        record.change = Change::Snapshot(text);
                    }
                    _ => {}
                }
                log.push(Some(record.clone()));
                all.push(Some(record));
            }
            8 => {
                log.push(None);
                all.push(None);
            }
            _ => {
                // The log may expire all records before its last valid snapshot.
                let keep = oracle(&all).1.unwrap_or(0);
                let drop =
                    usize::from(*value).min(usize::try_from(keep.saturating_sub(first)).unwrap());
                log.records.drain(..drop);
                log.first += drop as u64;
            }
        }
        let after = operator.tip().map(|tip| tip.offset);
        if after < before {
            return Err(format!("step {number}: {before:?} moved back to {after:?}"));
        }
    }
    let (expected, last_full_document) = oracle(&all);
    for operator in &mut operators {
        read_log_as(variant, operator, &log, log.first, usize::MAX, true);
        compare(expected, operator, "operator")?;
    }
    for start in log.first..=last_full_document.unwrap_or(log.first) {
        for step in [1, usize::MAX] {
            let mut reader = Chain::new();
            // The number of reads is bounded, since a reader that loses its tip never catches up.
            for _ in start..=log.end() {
                if read_log_as(variant, &mut reader, &log, start, step, true) {
                    break;
                }
            }
            compare(expected, &reader, &format!("reader from {start}"))?;
        }
    }
    // A reader that may have started after the last snapshot finds the same tip or none.
    for start in log.first..log.end() {
        let mut reader = Chain::new();
        if read_log_as(variant, &mut reader, &log, start, usize::MAX, false) {
            compare(
                expected,
                &reader,
                &format!("unconfirmed reader from {start}"),
            )?;
        }
    }
    Ok(())
}

fn compare(expected: Option<(u64, Digest)>, chain: &Chain, who: &str) -> Result<(), String> {
    let found = chain.tip().map(|tip| (u64::from(tip.offset), tip.digest));
    if found == expected {
        Ok(())
    } else {
        Err(format!("{who}: {found:?} instead of {expected:?}"))
    }
}

/// Guards against two readers of the same log with different configurations in force, and against
/// a tip that moves to a lower offset.
#[test]
fn every_reader_finds_the_same_tip() {
    fn property(steps: Vec<(u8, u8, u8)>) -> quickcheck::TestResult {
        match run_schedule(Variant::Correct, &steps) {
            Ok(()) => quickcheck::TestResult::passed(),
            Err(found) => quickcheck::TestResult::error(found),
        }
    }
    quickcheck::QuickCheck::new()
        .tests(400)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> quickcheck::TestResult);
}

/// Guards against a checker that passes although readers are broken.
#[test]
fn checker_detects_broken_readers() {
    for variant in [
        Variant::NoParentCheck,
        Variant::TrustsFirstSnapshot,
        Variant::LosesTip,
    ] {
        let mut g = quickcheck::Gen::new(100);
        let found = (0..400).any(|_| {
            let steps = <Vec<(u8, u8, u8)> as quickcheck::Arbitrary>::arbitrary(&mut g);
            run_schedule(variant, &steps).is_err()
        });
        assert!(found, "{variant:?} was not detected");
    }
}

/// Guards against adopting a snapshot with a wrong digest from a peer.
#[test]
fn a_snapshot_with_a_wrong_digest_is_refused() {
    let mut chain = Chain::new();
    let record = chain.propose(&document(&BTreeMap::new()), 1, "ann".parse().unwrap(), 0);
    assert_eq!(chain.apply(Offset::from(0), Some(record)), Applied::Valid);
    let mut snapshot = chain.snapshot().unwrap();
    snapshot.digest = Digest([1; 32]);
    let refused = Chain::new().offer_snapshot(snapshot);
    let expected = ebonyfall_core::config::OfferError::Content(RejectReason::Digest);
    assert_eq!(refused, Err(expected));
}
