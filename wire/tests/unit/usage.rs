//! Tests of the internals of `src/usage.rs`.

use super::*;
use crate::mirror::Stream;

/// Read of a stream as routers of earlier versions encode it.
#[derive(Serialize)]
struct EarlierRead {
    stream: Stream,
    from: Offset,
    wait: Duration,
}

fn source(router: usize) -> CountSource {
    CountSource {
        router: format!("edge-hobart-a-{router}").parse().unwrap(),
        incarnation: 1_764_950_000_000_000.into(),
    }
}

fn change(router: usize, window: u64, team: usize, count: u64) -> CountChange {
    CountChange {
        source: source(router),
        window: window.into(),
        team: format!("team{team}").parse().unwrap(),
        count,
    }
}

/// Guards against routers of an earlier version that can no longer read streams from this one during
/// an upgrade.
#[test]
fn reads_are_encoded_as_in_earlier_versions() {
    for stream in [Stream::Orders, Stream::Targets] {
        let range = ReadRange {
            from: 7_000.into(),
            wait: Duration::from_millis(1_500),
        };
        let earlier = EarlierRead {
            stream,
            from: range.from,
            wait: range.wait,
        };
        let request = match stream {
            Stream::Orders => RouterRequest::Orders(range),
            Stream::Targets => RouterRequest::Targets(range),
        };
        let bytes = postcard::to_stdvec(&earlier).unwrap();
        assert_eq!(postcard::to_stdvec(&request).unwrap(), bytes);
        assert_eq!(postcard::from_bytes::<RouterRequest>(&bytes), Ok(request));
    }
}

/// Guards against counts that arrive at another router, window or team than they were sent for.
#[test]
fn counts_survive_the_encoding() {
    let mut changes = Vec::new();
    for (router, window, team) in [(0, 5, 1), (0, 5, 2), (0, 6, 1), (3, 5, 2), (7, 6, 0)] {
        changes.push(change(router, window, team, 9 + window));
    }
    let complete = [2, 3].map(|router| Completeness {
        source: source(router),
        until: Duration::from_secs(30),
    });
    let counts = Counts::new(changes.clone(), complete.to_vec());
    let bytes = postcard::to_stdvec(&counts).unwrap();
    let decoded: Counts = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(decoded.decode(), (changes, complete.to_vec()));
}

/// Guards against messages that grow with requests instead of with the teams that changed.
#[test]
fn bytes_follow_the_teams_that_changed() {
    let bytes = |teams: usize, count: u64| {
        let changes = (0..teams).map(|team| change(0, 353_445_120, team, count));
        let counts = Counts::new(changes.collect(), Vec::new());
        postcard::to_stdvec(&counts).unwrap().len()
    };
    // A name of 5 to 7 bytes with its length, an index and a count take at most 13 bytes.
    assert!(bytes(40, 1) <= 60 + 13 * 40);
    assert!(bytes(40, 100_000) <= bytes(40, 1) + 2 * 40);
    assert!(bytes(400, 1) <= 60 + 13 * 400);
}
