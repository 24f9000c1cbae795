//! Tests of the limits on waits for a stream.

use std::time::Duration;

use ebonyfall_core::{
    time::Time,
    wait::{ANSWER_GRACE, MAX_LATE_BYTES, StreamWait},
};
use quickcheck::{TestResult, quickcheck};

/// Deadline of the streams.
const DEADLINE: Time = Time::from_millis(2_000);

/// One wait: the time that the caller took before it, the time until bytes arrive, and their number.
type Step = (u16, u16, u16);

/// Plays waits until the limit is zero or a wait ends without bytes. Returns the end, the time spent
/// waiting after the deadline, and the bytes after the deadline.
fn play(steps: &[Step]) -> (Time, Duration, usize) {
    let mut wait = StreamWait::new(DEADLINE);
    let mut now = Time::ZERO;
    let (mut late, mut late_bytes) = (Duration::ZERO, 0);
    for (caller_ms, arrival_ms, len) in steps {
        now = now + Duration::from_millis((*caller_ms).into());
        let limit = wait.limit(now);
        if limit.is_zero() {
            break;
        }
        let arrival = Duration::from_millis((*arrival_ms).into());
        let end = now + arrival.min(limit);
        let len = if arrival <= limit { (*len).into() } else { 0 };
        wait.record(len, now, end);
        late += end.since(now.max(DEADLINE));
        if end >= DEADLINE {
            late_bytes += len;
        }
        now = end;
        if arrival > limit {
            break;
        }
    }
    (now, late, late_bytes)
}

quickcheck! {
    /// Guards against a wait that arriving bytes renew: however they come, a router waits for no
    /// longer than the grace after the deadline, and reads a bounded number of bytes then.
    fn waits_end_whatever_arrives(steps: Vec<(u8, u8, u16)>) -> bool {
        let steps: Vec<Step> = steps
            .into_iter()
            .cycle()
            .take(4_000)
            .map(|(caller, arrival, len)| (caller.into(), arrival.into(), len))
            .collect();
        let (_, late, late_bytes) = play(&steps);
        late <= ANSWER_GRACE
            && late_bytes <= MAX_LATE_BYTES + usize::from(u16::MAX)
    }

    /// Guards against a sound stream that is cut because its caller reads slowly: time that the
    /// caller takes does not count.
    fn a_slow_caller_gets_what_was_sent_in_time(pauses: Vec<u16>) -> TestResult {
        if pauses.len() > 100 {
            return TestResult::discard();
        }
        let steps: Vec<Step> = pauses.iter().map(|pause| (*pause, 0, 1)).collect();
        let total: u64 = pauses.iter().map(|pause| u64::from(*pause)).sum();
        let (end, ..) = play(&steps);
        TestResult::from_bool(end == Time::from_millis(total))
    }
}

/// Guards against a stream that outlasts its deadline by bytes in quick succession.
#[test]
fn a_drip_ends_with_the_grace() {
    for drip_ms in [1, 10, 40, 59] {
        let steps = vec![(0, drip_ms, 1); 4_000];
        let (end, ..) = play(&steps);
        assert!(end >= DEADLINE, "{drip_ms} ms: {end:?}");
        assert!(end <= DEADLINE + ANSWER_GRACE, "{drip_ms} ms: {end:?}");
    }
}
