//! Tests of the internals of `src/claim.rs`.

use super::*;

const DAY: Duration = Duration::from_secs(86_400);

/// Guards against keys without a timestamp, whose age cannot be determined.
#[test]
fn only_version_7_keys_are_accepted() {
    for text in ["", "order-1", "67e55044-10b1-426f-9247-bb680e5fe0c8"] {
        assert_eq!(parse_key(text), Err(Code::KeyInvalid));
    }
    let (_, time) = parse_key("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").unwrap();
    assert_eq!(time, 1_645_557_742_000);
}

/// Guards against a key whose record has expired, so that it would run again, and against keys with
/// timestamps too far in the future.
#[test]
fn old_and_future_keys_are_refused() {
    let now = 10 * 86_400_000;
    assert_eq!(check_time(now, now, 0, DAY), Ok(()));
    assert_eq!(check_time(now + 60_000, now, 0, DAY), Ok(()));
    assert_eq!(check_time(now + 60_001, now, 0, DAY), Err(Code::KeyInvalid));
    let oldest = now - 86_400_000 + 120_000;
    assert_eq!(check_time(oldest + 1, now, 0, DAY), Ok(()));
    assert_eq!(check_time(oldest, now, 0, DAY), Err(Code::KeyExpired));
    let truncated = check_time(now - 1_000, now, now - 60_000, DAY);
    assert_eq!(truncated, Err(Code::KeyExpired));
}

/// Guards against more writers than the log sustains.
#[test]
fn at_most_twenty_routers_append() {
    let names = |count: u32| -> Vec<_> {
        (0..count)
            .map(|n| ProcessName::new(format!("router-{n}")).unwrap())
            .collect()
    };
    let few = names(20);
    assert!(
        few.iter()
            .all(|own| choose_writer(own, &few) == Writer::Own)
    );
    let many = names(1_000);
    let own = |name: &&ProcessName| choose_writer(name, &many) == Writer::Own;
    assert_eq!(many.iter().filter(own).count(), MAX_WRITERS);
    for name in &many {
        if let Writer::Peer(peer) = choose_writer(name, &many) {
            assert_eq!(choose_writer(&peer, &many), Writer::Own);
        }
    }
}

/// Guards against a single entry that waits for the whole append interval although the writer was
/// idle.
#[test]
fn a_single_entry_waits_only_for_the_batch_delay() {
    let ms = Time::from_millis;
    let mut limiter = AppendLimiter::new(Duration::from_millis(100), Duration::from_millis(2));
    assert_eq!(limiter.due(ms(50)), ms(52));
    limiter.record_append(ms(52));
    assert_eq!(limiter.due(ms(60)), ms(152));
    assert_eq!(limiter.due(ms(400)), ms(402));
}
