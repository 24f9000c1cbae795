//! Datagrams between processes: encoding, keyed hash, versions and protection against replay.

use std::collections::HashMap;

use ebonyfall_core::{
    dissemination::{MAX_DATAGRAM, Packet},
    id::Incarnation,
    name::ProcessName,
};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::{
    auth::{self, AuthError, Keys},
    frame::{WIRE_MAX, WIRE_MIN},
};

/// What the keyed hash covers besides the datagram, so that no frame of a connection passes.
const CONTEXT: &[u8] = b"gossip";
/// Senders whose counters are remembered, four times the processes of the largest deployment
/// planned for.
const MAX_SENDERS: usize = 16_384;
/// Counters behind the highest one that can still arrive, a multiple of what a process sends in
/// the longest delay of a datagram.
const WINDOW: u64 = 128;

/// A datagram that is dropped.
#[derive(Debug, Snafu)]
pub enum GossipError {
    /// It does not verify or cannot be decoded.
    #[snafu(display("{source}"))]
    Auth {
        /// What is wrong with it.
        source: AuthError,
    },
    /// The sender speaks none of this build's wire versions.
    #[snafu(display("wire versions {min} to {max} are not spoken; upgrade the older process"))]
    Version {
        /// The sender's oldest version.
        min: u16,
        /// The sender's newest version.
        max: u16,
    },
    /// It arrived before, or is too old to tell.
    #[snafu(display("datagram {counter} of {name} arrived before or is too old"))]
    Replayed {
        /// The sender.
        name: ProcessName,
        /// The datagram's number.
        counter: u64,
    },
    /// It is longer than a datagram may be.
    #[snafu(display("datagram of {len} bytes is longer than {MAX_DATAGRAM}"))]
    Long {
        /// Its length.
        len: usize,
    },
}

/// Comes before the packet, so that datagrams of unknown versions can be told.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Head {
    min: u16,
    max: u16,
    incarnation: Incarnation,
    counter: u64,
}

/// Numbers and encodes the datagrams of one process.
#[derive(Debug, Clone)]
pub struct Sealer {
    keys: Keys,
    incarnation: Incarnation,
    counter: u64,
}

impl Sealer {
    /// Starts at the first datagram of an incarnation.
    pub fn new(keys: Keys, incarnation: Incarnation) -> Self {
        Self {
            keys,
            incarnation,
            counter: 0,
        }
    }

    /// Encodes a packet.
    ///
    /// # Errors
    ///
    /// Fails when the packet is too long for a datagram.
    pub fn seal(&mut self, packet: &Packet) -> Result<Vec<u8>, GossipError> {
        self.counter += 1;
        let head = Head {
            min: WIRE_MIN,
            max: WIRE_MAX,
            incarnation: self.incarnation,
            counter: self.counter,
        };
        let datagram = auth::seal(self.keys.current(), CONTEXT, &(head, packet));
        let datagram = datagram.context(AuthSnafu)?;
        let len = datagram.len();
        ensure!(len <= MAX_DATAGRAM, LongSnafu { len });
        Ok(datagram)
    }
}

/// The counters of one sender that have arrived.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `n` tells whether the counter `highest - n` arrived.
    bits: u128,
}

impl Seen {
    fn accept(&mut self, incarnation: Incarnation, counter: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self {
                incarnation,
                ..Self::default()
            };
        }
        if counter > self.highest {
            let ahead = counter - self.highest;
            let kept = u32::try_from(ahead).ok();
            let kept = kept.and_then(|ahead| self.bits.checked_shl(ahead));
            self.bits = kept.unwrap_or(0) | 1;
            self.highest = counter;
            return true;
        }
        let behind = self.highest - counter;
        if behind >= WINDOW {
            return false;
        }
        let bit = 1_u128 << behind;
        let fresh = self.bits & bit == 0;
        self.bits |= bit;
        fresh
    }
}

/// Verifies and decodes datagrams.
#[derive(Debug, Clone)]
pub struct Opener {
    keys: Keys,
    seen: HashMap<ProcessName, Seen>,
}

impl Opener {
    /// Accepts datagrams under any of `keys`.
    pub fn new(keys: Keys) -> Self {
        Self {
            keys,
            seen: HashMap::new(),
        }
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails when the datagram must be dropped.
    pub fn open(&mut self, datagram: &[u8]) -> Result<Packet, GossipError> {
        let len = datagram.len();
        ensure!(len <= MAX_DATAGRAM, LongSnafu { len });
        let (_, payload) = self.keys.open(CONTEXT, datagram).context(AuthSnafu)?;
        let (head, rest): (Head, _) = postcard::take_from_bytes(payload)
            .map_err(|source| AuthError::Payload { source })
            .context(AuthSnafu)?;
        let Head { min, max, .. } = head;
        let spoken = min <= WIRE_MAX && max >= WIRE_MIN;
        spoken.then_some(()).context(VersionSnafu { min, max })?;
        let packet: Packet = auth::decode(rest).context(AuthSnafu)?;
        // The table forgets everything when it is full: what is replayed then merges without
        // effect, since every merge is idempotent.
        if self.seen.len() >= MAX_SENDERS && !self.seen.contains_key(&packet.from.name) {
            self.seen.clear();
        }
        let seen = self.seen.entry(packet.from.name.clone()).or_default();
        let counter = head.counter;
        ensure!(
            counter > 0
                && head.incarnation == packet.from.incarnation
                && seen.accept(head.incarnation, counter),
            ReplayedSnafu {
                name: packet.from.name,
                counter,
            }
        );
        Ok(packet)
    }
}

#[cfg(test)]
mod tests {
    use ebonyfall_core::{
        dissemination::{Arm, Counts, Item, ItemKey, Kind, Value, Verdict},
        doc::ZoneState,
        id::{Fingerprint, Offset},
        name::{ModelName, MoveName, RouteName, TargetName, TeamName, ZoneName},
        peer::{Liveness, Record, Role},
    };
    use quickcheck::{Arbitrary, Gen};

    use super::*;
    use crate::auth::Key;

    fn text(g: &mut Gen) -> String {
        let len = usize::arbitrary(g) % 64 + 1;
        "abcdefghij-_.0123456789"
            .chars()
            .cycle()
            .take(len)
            .collect()
    }

    fn record(g: &mut Gen) -> Record {
        let role = match u8::arbitrary(g) % 3 {
            0 => Role::Router,
            1 => Role::Agent(None),
            _ => Role::Agent(Some(TargetName::new(text(g)).unwrap())),
        };
        let states = [Liveness::Alive, Liveness::Suspect, Liveness::Gone];
        Record {
            name: ProcessName::new(text(g)).unwrap(),
            role,
            zone: ZoneName::new(text(g)).unwrap(),
            address: Arbitrary::arbitrary(g),
            incarnation: u64::arbitrary(g).into(),
            wire: Arbitrary::arbitrary(g),
            leaving: bool::arbitrary(g),
            sequence: u32::arbitrary(g),
            liveness: *g.choose(&states).unwrap(),
        }
    }

    fn item(g: &mut Gen) -> Item {
        let n = u64::arbitrary(g);
        let model = ModelName::new(text(g)).unwrap();
        let step = MoveName::new(text(g)).unwrap();
        let zone = ZoneName::new(text(g)).unwrap();
        let agent = ProcessName::new(text(g)).unwrap();
        let load = Value::Load {
            stamp: n,
            running: u32::MAX,
            capacity: u32::arbitrary(g),
        };
        let state = *g.choose(&[ZoneState::In, ZoneState::Out]).unwrap();
        let (key, value) = match u8::arbitrary(g) % 9 {
            0 => (
                ItemKey::Verdict(step, n.into()),
                Value::Verdict(Verdict::Faulty),
            ),
            1 => (
                ItemKey::Quarantine(Fingerprint::from(n)),
                Value::Quarantine {
                    since: n,
                    until: u64::MAX,
                    cleared: n,
                },
            ),
            2 => (ItemKey::Zone(zone), Value::Zone { version: n, state }),
            3 => {
                let offset = Offset::from(u64::MAX);
                (ItemKey::Tip, Value::Tip { offset, digest: n })
            }
            4 => {
                let counts = Counts {
                    requests: u64::MAX,
                    failures: n,
                    slow_first: n,
                    slow_between: n,
                };
                let key = ItemKey::Evidence {
                    agent,
                    incarnation: n.into(),
                    step,
                    arm: Arm::New,
                    route: RouteName::new(text(g)).unwrap(),
                };
                (key, Value::Evidence { counts, stamp: n })
            }
            5 => (ItemKey::ZoneLoad(model, zone), load),
            6 => (
                ItemKey::RouterLoad(agent),
                Value::Open {
                    incarnation: n.into(),
                    number: n,
                    stamp: n,
                    counts: vec![(TargetName::new(text(g)).unwrap(), u32::MAX)],
                },
            ),
            7 => (
                ItemKey::Crash(n.into(), TargetName::new(text(g)).unwrap()),
                Value::Crash {
                    stamp: n,
                    team: TeamName::new(text(g)).unwrap(),
                },
            ),
            _ => (ItemKey::AgentLoad(model, agent), load),
        };
        Item { key, value }
    }

    #[derive(Debug, Clone)]
    struct Any(Packet);

    impl Arbitrary for Any {
        fn arbitrary(g: &mut Gen) -> Self {
            let kinds = [
                Kind::Push(u32::arbitrary(g)),
                Kind::Urgent,
                Kind::Ack(u32::MAX),
                Kind::Relayed(1),
                Kind::Ask {
                    probe: u32::arbitrary(g),
                    address: Arbitrary::arbitrary(g),
                },
            ];
            let kind = g.choose(&kinds).unwrap().clone();
            let from = record(g);
            let records = (0..u8::arbitrary(g) % 4).map(|_| record(g)).collect();
            let items = (0..u8::arbitrary(g) % 4).map(|_| item(g)).collect();
            Self(Packet {
                kind,
                from,
                records,
                items,
            })
        }
    }

    fn keys(byte: u8, previous: Option<u8>) -> Keys {
        Keys::new(
            Key::new([byte; 16]),
            previous.map(|byte| Key::new([byte; 16])),
        )
    }

    fn pair(packet: &Packet) -> (Sealer, Opener) {
        let sealer = Sealer::new(keys(1, None), packet.from.incarnation);
        (sealer, Opener::new(keys(1, None)))
    }

    /// Guards against packets that change on their way, and against a size estimate below the
    /// encoded length, which would lead to datagrams that are too long.
    #[test]
    fn packets_return_whole_and_within_their_estimate() {
        fn property(Any(packet): Any) -> bool {
            let estimate = Packet::head_size(&packet.from)
                + packet.records.iter().map(Record::size).sum::<usize>()
                + packet.items.iter().map(Item::size).sum::<usize>();
            let (mut sealer, mut opener) = pair(&packet);
            let encoded = postcard::to_stdvec(&packet).unwrap();
            let whole = match sealer.seal(&packet) {
                Ok(datagram) => opener.open(&datagram).is_ok_and(|found| found == packet),
                Err(error) => matches!(error, GossipError::Long { .. }) && estimate > 1_152,
            };
            whole && encoded.len() <= estimate
        }
        quickcheck::quickcheck(property as fn(Any) -> bool);
    }

    /// Guards against a panic or an accepted packet on arbitrary or altered bytes.
    #[test]
    fn garbage_is_dropped() {
        fn property(bytes: Vec<u8>, Any(packet): Any, at: usize) -> bool {
            let (mut sealer, mut opener) = pair(&packet);
            let altered = sealer.seal(&packet).map(|mut datagram| {
                let at = at % datagram.len();
                datagram[at] ^= 1;
                datagram
            });
            // Bytes that verify but are no packet.
            let no_packet = auth::seal(keys(1, None).current(), CONTEXT, &bytes).unwrap();
            opener.open(&bytes).is_err()
                && opener.open(&no_packet).is_err()
                && altered.is_ok_and(|datagram| opener.open(&datagram).is_err())
        }
        fn small(bytes: Vec<u8>, mut any: Any, at: usize) -> bool {
            any.0.records.clear();
            any.0.items.clear();
            property(bytes, any, at)
        }
        quickcheck::quickcheck(small as fn(Vec<u8>, Any, usize) -> bool);
    }

    /// Guards against replayed datagrams, and against late ones that are taken for replayed.
    #[test]
    fn each_counter_is_accepted_once_within_the_window() {
        let Any(mut packet) = Any::arbitrary(&mut Gen::new(8));
        packet.records.clear();
        packet.items.clear();
        packet.from.incarnation = 5.into();
        let (mut sealer, mut opener) = pair(&packet);
        let sent: Vec<_> = (0..200).map(|_| sealer.seal(&packet).unwrap()).collect();
        opener.open(&sent[1]).unwrap();
        opener.open(&sent[0]).unwrap();
        opener.open(&sent[0]).unwrap_err();
        opener.open(&sent[199]).unwrap();
        opener.open(&sent[198 - 126]).unwrap();
        opener.open(&sent[2]).unwrap_err();
        packet.from.incarnation = 6.into();
        let mut next = Sealer::new(keys(1, None), 6.into());
        opener.open(&next.seal(&packet).unwrap()).unwrap();
        opener.open(&sent[150]).unwrap_err();
    }

    /// Guards against a rotation of keys that cuts processes off, and against foreign keys.
    #[test]
    fn the_previous_key_is_accepted() {
        let Any(mut packet) = Any::arbitrary(&mut Gen::new(8));
        packet.records.clear();
        packet.items.clear();
        let incarnation = packet.from.incarnation;
        let old = Sealer::new(keys(1, None), incarnation)
            .seal(&packet)
            .unwrap();
        Opener::new(keys(2, Some(1))).open(&old).unwrap();
        Opener::new(keys(2, None)).open(&old).unwrap_err();
    }
}
