//! Tests of the internals of `src/gossip.rs`.

use ebonyfall_core::{
    dissemination::{
        Arm, HeardLimit, Item, ItemKey, MoveDecision, PacketKind, RequestCounts, Value,
    },
    doc::ZoneState,
    id::{Fingerprint, Offset, PartId},
    name::{ModelName, MoveName, RouteName, ServiceName, TargetName, TeamName, ZoneName},
    parts::PartMark,
    peer::{Liveness, MemberRecord, Role},
    reports::OpenReport,
};
use quickcheck::{Arbitrary, Gen};

use super::*;
use crate::auth::Key;

fn any_name(g: &mut Gen) -> String {
    let len = usize::arbitrary(g) % 64 + 1;
    "abcdefghij-_.0123456789"
        .chars()
        .cycle()
        .take(len)
        .collect()
}

fn any_record(g: &mut Gen) -> MemberRecord {
    let role = match u8::arbitrary(g) % 3 {
        0 => Role::Router,
        1 => Role::Agent(None),
        _ => Role::Agent(Some(TargetName::new(any_name(g)).unwrap())),
    };
    let states = [Liveness::Alive, Liveness::Suspect, Liveness::Gone];
    MemberRecord {
        name: ProcessName::new(any_name(g)).unwrap(),
        role,
        zone: ZoneName::new(any_name(g)).unwrap(),
        address: Arbitrary::arbitrary(g),
        incarnation: u64::arbitrary(g).into(),
        wire_versions: Arbitrary::arbitrary(g),
        leaving: bool::arbitrary(g),
        sequence: u32::arbitrary(g),
        liveness: *g.choose(&states).unwrap(),
    }
}

fn any_item(g: &mut Gen) -> Item {
    let n = u64::arbitrary(g);
    let model = ModelName::new(any_name(g)).unwrap();
    let move_name = MoveName::new(any_name(g)).unwrap();
    let zone = ZoneName::new(any_name(g)).unwrap();
    let agent = ProcessName::new(any_name(g)).unwrap();
    let load = Value::Load {
        stamp: n,
        running: u32::MAX,
        capacity: u32::arbitrary(g),
    };
    let state = *g.choose(&[ZoneState::In, ZoneState::Out]).unwrap();
    let (key, value) = match u8::arbitrary(g) % 11 {
        0 => (
            ItemKey::Verdict(move_name, n.into()),
            Value::Verdict(MoveDecision::Faulty),
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
            let counts = RequestCounts {
                requests: u64::MAX,
                failures: n,
                slow_first: n,
                slow_between: n,
            };
            let key = ItemKey::Evidence {
                agent,
                incarnation: n.into(),
                move_name,
                arm: Arm::New,
                route: RouteName::new(any_name(g)).unwrap(),
            };
            (key, Value::Evidence { counts, stamp: n })
        }
        5 => (ItemKey::ZoneLoad(model, zone), load),
        6 => (
            ItemKey::RouterLoad(agent),
            Value::Open {
                incarnation: n.into(),
                stamp: n,
                report: OpenReport {
                    number: n,
                    counts: vec![(TargetName::new(any_name(g)).unwrap(), u32::MAX)],
                    placed: vec![(n, TargetName::new(any_name(g)).unwrap())],
                    demand: vec![(ServiceName::new(any_name(g)).unwrap(), u32::MAX)],
                },
            },
        ),
        7 => (
            ItemKey::Crash(n.into(), TargetName::new(any_name(g)).unwrap()),
            Value::Crash {
                stamp: n,
                team: TeamName::new(any_name(g)).unwrap(),
            },
        ),
        8 => (
            ItemKey::Part(n.into()),
            Value::Part {
                stamp: n,
                mark: PartMark {
                    epoch: u32::MAX,
                    crashes: u32::arbitrary(g),
                    teams: vec![TeamName::new(any_name(g)).unwrap()],
                    companions: vec![PartId::from(u64::MAX); 8],
                },
            },
        ),
        9 => (
            ItemKey::Limit(TargetName::new(any_name(g)).unwrap()),
            Value::Limit(HeardLimit {
                incarnation: n.into(),
                stamp_ms: n,
                per_1000_s: Some(u64::MAX),
            }),
        ),
        _ => (ItemKey::AgentLoad(model, agent), load),
    };
    Item { key, value }
}

#[derive(Debug, Clone)]
struct AnyPacket(Packet);

impl Arbitrary for AnyPacket {
    fn arbitrary(g: &mut Gen) -> Self {
        let kinds = [
            PacketKind::Push(u32::arbitrary(g)),
            PacketKind::Urgent,
            PacketKind::Ack(u32::MAX),
            PacketKind::Relayed(1),
            PacketKind::Ask {
                probe: u32::arbitrary(g),
                address: Arbitrary::arbitrary(g),
            },
        ];
        let kind = g.choose(&kinds).unwrap().clone();
        let from = any_record(g);
        let records = (0..u8::arbitrary(g) % 4).map(|_| any_record(g)).collect();
        let items = (0..u8::arbitrary(g) % 4).map(|_| any_item(g)).collect();
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

/// Guards against packets that do not round-trip, and against a size estimate below the encoded
/// length, which would lead to datagrams that are too long.
#[test]
fn packets_round_trip_within_their_size_estimate() {
    fn property(AnyPacket(packet): AnyPacket) -> bool {
        let estimate = Packet::head_size(&packet.from)
            + packet.records.iter().map(MemberRecord::size).sum::<usize>()
            + packet.items.iter().map(Item::size).sum::<usize>();
        let (mut sealer, mut opener) = pair(&packet);
        let encoded = postcard::to_stdvec(&packet).unwrap();
        let round_trips = match sealer.seal(&packet) {
            Ok(datagram) => opener.open(&datagram).is_ok_and(|found| found == packet),
            Err(error) => matches!(error, GossipError::TooLong { .. }) && estimate > 1_152,
        };
        round_trips && encoded.len() <= estimate
    }
    quickcheck::quickcheck(property as fn(AnyPacket) -> bool);
}

/// Guards against a panic or an accepted packet on arbitrary or altered bytes.
#[test]
fn arbitrary_and_altered_bytes_are_dropped() {
    fn property(bytes: Vec<u8>, AnyPacket(packet): AnyPacket, at: usize) -> bool {
        let (mut sealer, mut opener) = pair(&packet);
        let altered = sealer.seal(&packet).map(|mut datagram| {
            let at = at % datagram.len();
            datagram[at] ^= 1;
            datagram
        });
        // Bytes that verify but do not decode to a packet.
        let not_a_packet = auth::seal(keys(1, None).current(), GOSSIP_CONTEXT, &bytes).unwrap();
        opener.open(&bytes).is_err()
            && opener.open(&not_a_packet).is_err()
            && altered.is_ok_and(|datagram| opener.open(&datagram).is_err())
    }
    fn without_content(bytes: Vec<u8>, mut any: AnyPacket, at: usize) -> bool {
        any.0.records.clear();
        any.0.items.clear();
        property(bytes, any, at)
    }
    quickcheck::quickcheck(without_content as fn(Vec<u8>, AnyPacket, usize) -> bool);
}

/// Guards against accepted replays, and against delayed datagrams that are dropped as replays.
#[test]
fn each_counter_is_accepted_once_within_the_window() {
    let AnyPacket(mut packet) = AnyPacket::arbitrary(&mut Gen::new(8));
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

/// Guards against datagrams that are dropped during a key rotation, and against accepted datagrams
/// of an unknown key.
#[test]
fn the_previous_key_is_accepted() {
    let AnyPacket(mut packet) = AnyPacket::arbitrary(&mut Gen::new(8));
    packet.records.clear();
    packet.items.clear();
    let incarnation = packet.from.incarnation;
    let old = Sealer::new(keys(1, None), incarnation)
        .seal(&packet)
        .unwrap();
    Opener::new(keys(2, Some(1))).open(&old).unwrap();
    Opener::new(keys(2, None)).open(&old).unwrap_err();
}
