//! Single steps of the lease and of the reports.

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use ebonyfall_core::{
    id::{Incarnation, Offset},
    name::{ProcessName, TeamName},
    time::Time,
    usage::{
        holder::{DutyHolder, HolderEvent, HolderStep, Standing, SuspendCause},
        records::{Decision, FenceToken, HolderId, HolderRecord, StoreAnswer, UsageRecord},
        reporter::{
            GiveUpCause, KEPT_WINDOWS, ReportEvent, ReportTimes, Reporter, SendOutcome, WindowState,
        },
        window::{WindowId, WindowLength},
    },
};

const LEASE: Duration = Duration::from_secs(3);
/// Number of the first window.
const FIRST_NUMBER: u64 = 353_445_120;

fn first() -> WindowId {
    FIRST_NUMBER.into()
}

fn standing() -> Standing {
    Standing {
        rank: Some(0),
        stopping: false,
        calling: false,
        first: first(),
        acknowledged: None,
    }
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn id(number: u8, incarnation: u64) -> HolderId {
    HolderId {
        name: ProcessName::new(format!("edge-{number}")).expect("the name is valid"),
        address: IpAddr::from([10, 0, 0, number]),
        incarnation: Incarnation::from(incarnation),
    }
}

fn records(records: &[HolderRecord], end: u64) -> StoreAnswer {
    StoreAnswer::Records {
        records: records.iter().cloned().map(UsageRecord::Holder).collect(),
        next: Offset::from(end),
        end: Offset::from(end),
    }
}

fn record(number: u8, token: u64, released: bool, previous: &[u8]) -> HolderRecord {
    HolderRecord {
        holder: id(number, 1),
        token: FenceToken::from(token),
        released,
        rank: Some(0),
        previous: previous
            .iter()
            .map(|number| IpAddr::from([10, 0, 0, *number]))
            .collect(),
        first: first(),
        acknowledged: None,
    }
}

/// A router that has read the stream at the time zero.
fn reader(answer: &StoreAnswer) -> DutyHolder {
    let mut holder = DutyHolder::new(id(1, 1), LEASE);
    assert_eq!(holder.next(at(0), standing()), HolderStep::Newest);
    holder.on_answer(at(0), at(0), answer);
    holder
}

/// The time at which a router that always reads the same end claims. The claim follows the read by
/// one step of 50 ms.
fn claims_at(mut holder: DutyHolder, end: u64) -> u64 {
    for time in (0..10_000).step_by(50) {
        match holder.next(at(time), standing()) {
            HolderStep::Append(offset, _) if offset == Offset::from(end) => return time,
            HolderStep::Read(_) => holder.on_answer(at(time), at(time), &records(&[], end)),
            HolderStep::Idle => {}
            step => panic!("{step:?}"),
        }
    }
    panic!("no claim");
}

/// A holder that has claimed at the time zero.
fn holding() -> DutyHolder {
    let mut holder = reader(&records(&[], 0));
    let HolderStep::Append(_, record) = holder.next(at(0), standing()) else {
        panic!("an empty stream is claimed at once");
    };
    assert_eq!(record.token, FenceToken::from(1));
    holder.on_answer(at(0), at(40), &StoreAnswer::Appended(Offset::from(0)));
    holder
}

/// Guards against a claim before the lease of the last holder has ended, and against a long wait
/// after a release.
#[test]
fn claim_waits_for_expiry_unless_released() {
    let claims = |last: HolderRecord| claims_at(reader(&records(&[last], 9)), 9);
    assert_eq!(claims(record(2, 5, false, &[])), 3_300);
    assert_eq!(claims(record(2, 5, true, &[])), 0);
    assert_eq!(claims(record(2, 5, true, &[3])), 0);
    assert_eq!(claims(record(2, 5, true, &[1])), 3_300);
    let mut earlier = record(1, 5, false, &[]);
    earlier.holder.incarnation = Incarnation::from(0);
    assert_eq!(claims(earlier), 3_300);
    assert_eq!(claims_at(reader(&records(&[], 9)), 9), 3_300);
}

/// Guards against a lease that is counted from the answer, or that leaves no time for the last call.
#[test]
fn lease_runs_from_the_sending_of_the_last_confirmed_write() {
    let mut holder = holding();
    assert!(holder.may_act(at(900)).is_some());
    assert_eq!(
        holder.next(at(900), standing()),
        HolderStep::Free(Offset::from(1), 1.into())
    );
    let HolderStep::Append(offset, _) = holder.next(at(1_000), standing()) else {
        panic!("no renewal after a third of the lease");
    };
    assert_eq!(offset, Offset::from(1));
    // The renewal's answer is lost, so that the lease still ends by the claim.
    holder.on_answer(at(1_000), at(1_700), &StoreAnswer::Lost);
    assert!(holder.may_act(at(2_249)).is_some());
    assert!(holder.may_act(at(2_250)).is_none());
}

/// Guards against a holder that goes on after a pause without having read and written again.
#[test]
fn holder_reads_and_writes_again_after_a_pause() {
    let mut holder = holding();
    holder.next(at(100), standing());
    assert!(holder.may_act(at(1_200)).is_none());
    assert_eq!(
        holder.next(at(1_200), standing()),
        HolderStep::Read(Offset::from(1))
    );
    holder.on_answer(at(1_200), at(1_250), &records(&[], 1));
    assert!(holder.may_act(at(1_250)).is_none());
    let HolderStep::Append(offset, renewal) = holder.next(at(1_250), standing()) else {
        panic!("no write after the pause");
    };
    assert_eq!(
        (offset, renewal.token),
        (Offset::from(1), FenceToken::from(1))
    );
    holder.on_answer(at(1_250), at(1_300), &StoreAnswer::Appended(offset));
    assert_eq!(holder.may_act(at(1_300)), Some(FenceToken::from(1)));
    let events = holder.take_events();
    assert!(events.contains(&HolderEvent::Suspended(SuspendCause::Paused)));
}

/// Guards against a write that was under way during a pause and counts as the write after it.
#[test]
fn write_before_a_pause_does_not_end_it() {
    let mut holder = holding();
    holder.next(at(900), standing());
    assert!(matches!(
        holder.next(at(1_000), standing()),
        HolderStep::Append(..)
    ));
    holder.on_answer(
        at(1_000),
        at(2_100),
        &StoreAnswer::Appended(Offset::from(1)),
    );
    assert!(holder.may_act(at(2_100)).is_none());
    assert_eq!(
        holder.next(at(2_100), standing()),
        HolderStep::Read(Offset::from(2))
    );
}

/// Guards against a claim whose answer was lost and that is acted on, or that is lost for good.
#[test]
fn claim_with_a_lost_answer_is_found_and_renewed() {
    let mut holder = reader(&records(&[], 0));
    let HolderStep::Append(_, claim) = holder.next(at(0), standing()) else {
        panic!("an empty stream is claimed at once");
    };
    holder.on_answer(at(0), at(700), &StoreAnswer::Lost);
    assert!(holder.may_act(at(700)).is_none());
    assert_eq!(
        holder.next(at(800), standing()),
        HolderStep::Read(Offset::from(0))
    );
    holder.on_answer(at(800), at(820), &records(&[claim], 1));
    assert!(holder.may_act(at(820)).is_none());
    let HolderStep::Append(offset, renewal) = holder.next(at(820), standing()) else {
        panic!("the claim is not renewed");
    };
    assert_eq!(
        (offset, renewal.token),
        (Offset::from(1), FenceToken::from(1))
    );
    holder.on_answer(at(820), at(840), &StoreAnswer::Appended(offset));
    assert_eq!(holder.may_act(at(840)), Some(FenceToken::from(1)));
}

/// Guards against a holder that goes on although another router has claimed.
#[test]
fn conflicting_write_ends_the_lease() {
    let mut holder = holding();
    assert!(matches!(
        holder.next(at(1_000), standing()),
        HolderStep::Append(..)
    ));
    holder.on_answer(at(1_000), at(1_040), &StoreAnswer::Conflict);
    assert_eq!(
        holder.next(at(1_050), standing()),
        HolderStep::Read(Offset::from(1))
    );
    holder.on_answer(
        at(1_050),
        at(1_080),
        &records(&[record(2, 2, false, &[1])], 2),
    );
    assert!(holder.may_act(at(1_080)).is_none());
    assert!(
        holder
            .take_events()
            .contains(&HolderEvent::Lost(FenceToken::from(1)))
    );
}

/// Guards against a release while a call is under way, and against calls after it.
#[test]
fn planned_stop_releases_after_the_last_call() {
    let mut holder = holding();
    let stopping = Standing {
        stopping: true,
        ..standing()
    };
    let calling = Standing {
        calling: true,
        ..stopping
    };
    assert_eq!(holder.next(at(100), calling), HolderStep::Idle);
    assert!(holder.may_act(at(100)).is_none());
    let HolderStep::Append(offset, release) = holder.next(at(200), stopping) else {
        panic!("no release");
    };
    assert!(release.released);
    holder.on_answer(at(200), at(240), &StoreAnswer::Appended(offset));
    assert!(holder.may_act(at(240)).is_none());
    assert_eq!(holder.next(at(5_000), stopping), HolderStep::Idle);
}

/// Guards against a holder that reports its own counts alone while it sees no other router.
#[test]
fn isolated_holder_releases_the_lease() {
    let mut holder = holding();
    let isolated = Standing {
        rank: None,
        ..standing()
    };
    for time in (50..6_000).step_by(50) {
        if let HolderStep::Append(offset, record) = holder.next(at(time), isolated) {
            if record.released {
                assert!(time >= 3_000);
                return;
            }
            holder.on_answer(at(time), at(time), &StoreAnswer::Appended(offset));
        }
    }
    panic!("no release");
}

fn reporter() -> Reporter {
    let times = ReportTimes {
        window: WindowLength::new(Duration::from_secs(5)).expect("the window is long"),
        lateness: Duration::from_secs(10),
        call_interval: Duration::from_millis(20),
    };
    Reporter::new(times, start())
}

fn start() -> Duration {
    Duration::from_secs(FIRST_NUMBER * 5)
}

fn state(window: WindowId, count: u64, missing: bool) -> WindowState {
    let team = TeamName::new("desks").expect("the name is valid");
    let router = ProcessName::new("edge-7").expect("the name is valid");
    WindowState {
        window,
        counts: BTreeMap::from([(team, count)]),
        missing: missing.then_some(router).into_iter().collect(),
    }
}

fn after(millis: u64) -> Duration {
    start() + Duration::from_millis(millis)
}

fn decide(reporter: &mut Reporter, count: u64, unix: Duration) -> Option<Decision> {
    let window = reporter.due(unix)?;
    reporter.decide(state(window, count, false), unix, FenceToken::from(1))
}

/// Guards against a decision before its time, and against one that waits for a silent router until
/// the report is late.
#[test]
fn window_is_decided_when_complete_or_at_the_limit() {
    let mut reporter = reporter();
    assert_eq!(reporter.due(after(8_999)), None);
    assert_eq!(reporter.due(after(9_000)), Some(first()));
    let token = FenceToken::from(1);
    let mut at = |millis| reporter.decide(state(first(), 4, true), after(millis), token);
    assert_eq!(at(9_000), None);
    assert_eq!(at(11_999), None);
    assert!(at(12_000).is_some());
}

/// Guards against a second content of a window whose first append may still take effect.
#[test]
fn attempted_decision_keeps_its_content_until_another_is_read() {
    let mut reporter = reporter();
    let decision = decide(&mut reporter, 4, after(9_000)).expect("the window is due");
    let again = decide(&mut reporter, 5, after(9_500)).expect("the window is due");
    assert_eq!(decision.counts, again.counts);
    let other = Decision {
        counts: state(first(), 9, false).counts,
        token: FenceToken::from(7),
        ..decision
    };
    reporter.on_record(&UsageRecord::Decision(other.clone()));
    assert_eq!(reporter.next_report(at(0)), Some(&other));
    assert_eq!(decide(&mut reporter, 5, after(9_600)), None);
}

/// Guards against reports that are sent before they are recorded, out of order, or no more after a
/// failed call.
#[test]
fn recorded_reports_are_sent_in_order_until_acknowledged() {
    let mut reporter = reporter();
    for _ in 0..2 {
        let decision = decide(&mut reporter, 4, after(14_000)).expect("the window is due");
        reporter.on_appended(&UsageRecord::Decision(decision));
    }
    let sent = |reporter: &Reporter, now| reporter.next_report(now).map(|next| next.window);
    assert_eq!(sent(&reporter, at(0)), Some(first()));
    reporter.on_outcome(first(), SendOutcome::Failed, at(500), after(14_500));
    assert_eq!(sent(&reporter, at(700)), None);
    assert_eq!(sent(&reporter, at(750)), Some(first()));
    reporter.on_outcome(first(), SendOutcome::Accepted, at(800), after(14_800));
    assert_eq!(reporter.acknowledged(), Some(first()));
    assert_eq!(sent(&reporter, at(810)), None);
    assert_eq!(sent(&reporter, at(820)), Some(first().next()));
}

/// Guards against counts of windows that nobody keeps any more being reported as zero.
#[test]
fn windows_beyond_the_kept_ones_are_given_up() {
    let mut reporter = reporter();
    let late = start() + Duration::from_secs(5 * (KEPT_WINDOWS + 9));
    let due = reporter.due(late).expect("windows are due");
    assert_eq!(u64::from(due), FIRST_NUMBER + 10);
    let [
        ReportEvent::GivenUp {
            first: from,
            last,
            cause,
        },
    ] = &*reporter.take_events()
    else {
        panic!("the windows are not named");
    };
    assert_eq!(
        (*from, last.next(), *cause),
        (first(), due, GiveUpCause::TooOld)
    );
    assert_eq!(reporter.totals().given_up, 10);
}
