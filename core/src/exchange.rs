//! Gossip rounds: choice of peers, composition of packets, probes, and handling of received
//! packets.

use std::{net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    dissemination::{Item, ItemKey, MAX_PACKET_BYTES, Packet, PacketKind, Value},
    id::Incarnation,
    member::{MemberEntry, Members, PAUSE_THRESHOLD, RegionLinks},
    name::ProcessName,
    peer::{Liveness, MemberRecord, MemberState},
    piggyback::{Subject, Urgency},
    probe::ProbeKind,
    rounds::{INDIRECT_PROBERS, PeerCandidates, URGENT_PEERS},
    time::Time,
};

/// Mean time between two rounds; jitter varies it by up to 10 %.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Peers that a round sends to.
const ROUND_PEERS: usize = 3;
/// Datagrams of urgent changes that may be sent in one burst.
const URGENT_BURST: f64 = 8.0;
/// Sustained rate of urgent datagrams, so that a flood of changes stays within the 15 KB/s budget
/// of a process.
const URGENT_PER_SECOND: f64 = 2.0;
/// Bytes of a packet used for changes; the rest carries table entries in turn.
const MAX_CHANGES_BYTES: usize = 900;
/// Largest acknowledgement, which carries changes back, in bytes.
const MAX_ACK_BYTES: usize = 400;
/// Largest number of routers that a broadcast is sent to.
const MAX_BROADCAST_ROUTERS: usize = 32;
/// Time without any packet after which this process counts as cut off, so that unanswered
/// probes raise no suspicion.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);
/// One round in this many also contacts an unreachable process and a seed, so that the sides of a
/// partition find each other again.
const RETRY_ROUNDS: u64 = 8;

/// A packet and its destination.
pub type Outgoing = (SocketAddr, Packet);

impl Members {
    /// Runs what is due: rounds, probe timeouts and urgent changes. To be called every 100 to
    /// 200 ms; `unix` is in seconds since the Unix epoch, `random` returns uniform random numbers.
    pub fn tick(
        &mut self,
        now: Time,
        unix: u64,
        random: &mut impl FnMut() -> u64,
    ) -> Vec<Outgoing> {
        let mut out = Vec::new();
        if let Some((then, then_unix)) = self.rounds.last_tick {
            let gap = now.since(then);
            // The monotonic clock may stop while the VM is paused, so the wall clock counts too.
            let wall = Duration::from_secs(unix.saturating_sub(then_unix));
            if gap > PAUSE_THRESHOLD || wall > PAUSE_THRESHOLD {
                self.rounds.stale_since = Some(now);
                self.recover_from_pause();
            }
            let earned = gap.as_secs_f64() * URGENT_PER_SECOND;
            self.rounds.urgent_tokens = (self.rounds.urgent_tokens + earned).min(URGENT_BURST);
        } else {
            self.rounds.urgent_tokens = URGENT_BURST;
            self.rounds.stale_since = Some(now);
        }
        self.rounds.last_tick = Some((now, unix));
        self.handle_probe_timeouts(now, random, &mut out);
        for name in std::mem::take(&mut self.rounds.probe_queue) {
            self.send_probe(&name, now, &mut out);
        }
        if now >= self.rounds.next_round {
            let jitter = 900 + random() % 201;
            let millis =
                u64::try_from(ROUND_INTERVAL.as_millis()).unwrap_or(1_000) * jitter / 1_000;
            self.rounds.next_round = now + Duration::from_millis(millis);
            self.expire(now, unix);
            self.publish_zone_load(unix);
            self.send_round(now, random, &mut out);
        }
        self.flush(random, &mut out);
        out
    }

    /// Handles a received packet and returns the packets to send in response.
    pub fn receive(
        &mut self,
        packet: &Packet,
        now: Time,
        unix: u64,
        random: &mut impl FnMut() -> u64,
    ) -> Vec<Outgoing> {
        let mut out = Vec::new();
        if packet.from.name == self.own.name {
            return out;
        }
        self.rounds.last_packet = Some(now);
        // After a pause, one answer or regular packet brings the table up to date.
        if matches!(packet.kind, PacketKind::Ack(_) | PacketKind::Push(_)) {
            self.rounds.stale_since = None;
        }
        self.record_contact(&packet.from, now);
        for record in &packet.records {
            self.merge(record, now);
        }
        for item in &packet.items {
            self.put(item, unix);
        }
        let back = packet.from.address;
        match packet.kind {
            PacketKind::Push(probe) => {
                let answer = self.compose(
                    PacketKind::Ack(probe),
                    Some(&packet.from),
                    MAX_ACK_BYTES,
                    MAX_ACK_BYTES,
                );
                out.push((back, answer));
            }
            PacketKind::Urgent => {}
            PacketKind::Ack(probe) | PacketKind::Relayed(probe) => {
                if let Some(ProbeKind::Delegated(requester, number)) = self.probes.finish(probe) {
                    let answer = self.compose(PacketKind::Relayed(number), None, 0, 0);
                    out.push((requester, answer));
                }
            }
            PacketKind::Ask { probe, address } => {
                let number = self.probes.start(ProbeKind::Delegated(back, probe), now);
                let probe = self.compose(PacketKind::Push(number), None, 0, 0);
                out.push((address, probe));
            }
        }
        self.flush(random, &mut out);
        out
    }

    /// Addresses an item to all routers that are alive, or to a random subset in a large fleet.
    pub fn broadcast(&self, item: &Item, random: &mut impl FnMut() -> u64) -> Vec<Outgoing> {
        let packet = Packet {
            kind: PacketKind::Urgent,
            from: self.own.clone(),
            records: Vec::new(),
            items: vec![item.clone()],
        };
        let alive = |entry: &&MemberEntry| entry.state() == MemberState::Alive;
        let routers = self.entries.iter().filter(alive);
        let routers = routers.filter(|entry| entry.record.target().is_none());
        let mut addresses: Vec<_> = routers.map(|entry| entry.record.address).collect();
        while addresses.len() > MAX_BROADCAST_ROUTERS {
            addresses.swap_remove(random_index(random, addresses.len()));
        }
        let packets = addresses.into_iter();
        packets.map(|address| (address, packet.clone())).collect()
    }

    /// Sends urgent changes if the rate limit allows.
    pub fn flush(&mut self, random: &mut impl FnMut() -> u64, out: &mut Vec<Outgoing>) {
        if !self.pending.has_urgent() || self.rounds.urgent_tokens < 1.0 {
            return;
        }
        for peer in self.choose_peers(usize::from(URGENT_PEERS), random) {
            if self.rounds.urgent_tokens < 1.0 {
                return;
            }
            self.rounds.urgent_tokens -= 1.0;
            let peer = self.entries[peer].record.clone();
            let packet = self.compose(PacketKind::Urgent, Some(&peer), MAX_CHANGES_BYTES, 0);
            out.push((peer.address, packet));
        }
        self.pending.clear_urgent();
    }

    fn handle_probe_timeouts(
        &mut self,
        now: Time,
        random: &mut impl FnMut() -> u64,
        out: &mut Vec<Outgoing>,
    ) {
        let last_packet = self.rounds.last_packet;
        let isolated = last_packet.is_none_or(|last| now.since(last) > ISOLATION_TIMEOUT);
        for (number, kind, first) in self.probes.take_timed_out(now) {
            match kind {
                ProbeKind::Delegated(..) => {}
                ProbeKind::Direct(_) | ProbeKind::Indirect(_) if !self.rounds.is_fresh() => {}
                ProbeKind::Direct(name) => {
                    let Some(&at) = self.index.get(&name) else {
                        continue;
                    };
                    let address = self.entries[at].record.address;
                    out.push((address, self.compose(PacketKind::Push(number), None, 0, 0)));
                    for prober in self.choose_peers(INDIRECT_PROBERS, random) {
                        let prober = &self.entries[prober].record;
                        if prober.name == name {
                            continue;
                        }
                        let prober = prober.address;
                        let kind = PacketKind::Ask {
                            probe: number,
                            address,
                        };
                        out.push((prober, self.compose(kind, None, 0, 0)));
                    }
                    self.probes.start_indirect(number, name, first, now);
                }
                ProbeKind::Indirect(name) => {
                    // A process that receives no packets at all is itself cut off.
                    if !isolated || self.entries.len() == 1 {
                        self.suspect(&name, first, now);
                    }
                }
            }
        }
    }

    fn send_probe(&mut self, name: &ProcessName, now: Time, out: &mut Vec<Outgoing>) {
        if self.probes.is_probing(name) {
            return;
        }
        if let Some(&at) = self.index.get(name) {
            let peer = self.entries[at].record.clone();
            let number = self.probes.start(ProbeKind::Direct(name.clone()), now);
            let packet = self.compose(
                PacketKind::Push(number),
                Some(&peer),
                MAX_ACK_BYTES,
                MAX_ACK_BYTES,
            );
            out.push((peer.address, packet));
        }
    }

    fn send_round(&mut self, now: Time, random: &mut impl FnMut() -> u64, out: &mut Vec<Outgoing>) {
        let mut peers = self.choose_peers(ROUND_PEERS, random);
        let retry = random().is_multiple_of(RETRY_ROUNDS);
        let unreachable = &self
            .rounds
            .peers
            .as_ref()
            .map_or(&[][..], |p| &p.unreachable);
        if (retry || peers.is_empty()) && !unreachable.is_empty() {
            peers.push(unreachable[random_index(random, unreachable.len())]);
        }
        let any_seen = self.entries.iter().any(|entry| entry.last_seen.is_some());
        if (retry || !any_seen) && !self.seeds.is_empty() {
            let seed = self.seeds[random_index(random, self.seeds.len())];
            if seed != self.own.address {
                let packet = self.compose(
                    PacketKind::Push(0),
                    None,
                    MAX_CHANGES_BYTES,
                    MAX_PACKET_BYTES,
                );
                out.push((seed, packet));
            }
        }
        for peer in peers {
            let peer = self.entries[peer].record.clone();
            let number = self.probes.start(ProbeKind::Direct(peer.name.clone()), now);
            let packet = self.compose(
                PacketKind::Push(number),
                Some(&peer),
                MAX_CHANGES_BYTES,
                MAX_PACKET_BYTES,
            );
            out.push((peer.address, packet));
        }
    }

    /// Chooses up to `count` peers: the first in another region if possible, the second in another
    /// zone of the region, the rest in the own zone.
    fn choose_peers(&mut self, count: usize, random: &mut impl FnMut() -> u64) -> Vec<usize> {
        if self.rounds.peers.is_none() {
            self.rounds.peers = Some(self.classify_peers());
        }
        let Some(peers) = &self.rounds.peers else {
            return Vec::new();
        };
        let reach_other_region = match self.links {
            RegionLinks::EveryProcess => !peers.other_regions.is_empty(),
            RegionLinks::Relays(_) => peers.is_relay && !peers.other_regions.is_empty(),
        };
        let mut chosen = Vec::with_capacity(count);
        for at in 0..count {
            let lists = match at {
                0 if reach_other_region => [&peers.other_regions, &peers.region, &peers.zone],
                1 => [&peers.region, &peers.zone, &peers.other_regions],
                _ => [&peers.zone, &peers.region, &peers.other_regions],
            };
            let lists = &lists[..if reach_other_region
                || peers.zone.is_empty() && peers.region.is_empty()
            {
                3
            } else {
                2
            }];
            let list = lists.iter().find(|list| !list.is_empty());
            let Some(list) = list else {
                continue;
            };
            // A few random draws find an unused peer in most cases, without a search of all lists.
            let unused = (0..4)
                .map(|_| list[random_index(random, list.len())])
                .find(|peer| !chosen.contains(peer));
            let unused = unused.or_else(|| {
                let mut rest = lists.iter().flat_map(|list| list.iter());
                rest.find(|peer| !chosen.contains(peer)).copied()
            });
            chosen.extend(unused);
        }
        chosen
    }

    fn classify_peers(&self) -> PeerCandidates {
        let mut peers = PeerCandidates::default();
        let region = self.region(&self.own.zone);
        for (at, entry) in self.entries.iter().enumerate() {
            let zone = &entry.record.zone;
            match entry.state() {
                MemberState::Gone => peers.unreachable.push(at),
                _ if entry.record.liveness == Liveness::Suspect => peers.unreachable.push(at),
                _ if *zone == self.own.zone => peers.zone.push(at),
                _ if self.region(zone) == region => peers.region.push(at),
                _ => peers.other_regions.push(at),
            }
        }
        if let RegionLinks::Relays(count) = self.links {
            let rank = |record: &MemberRecord| xxh3_64(record.name.as_str().as_bytes());
            let own = rank(&self.own);
            let same_region = peers.zone.iter().chain(&peers.region);
            let higher = same_region.filter(|at| rank(&self.entries[**at].record) > own);
            peers.is_relay = higher.count() < count;
        }
        peers
    }

    /// Composes a packet of at most [`MAX_PACKET_BYTES`]: changes up to a size of `changes_limit`
    /// bytes, then table entries in turn up to a size of `table_limit` bytes.
    fn compose(
        &mut self,
        kind: PacketKind,
        to: Option<&MemberRecord>,
        changes_limit: usize,
        table_limit: usize,
    ) -> Packet {
        self.counters.packets += 1;
        let mut size = Packet::head_size(&self.own);
        let mut packet = Packet {
            kind,
            from: self.own.clone(),
            records: Vec::new(),
            items: Vec::new(),
        };
        let same_zone = to.is_some_and(|to| to.zone == self.own.zone);
        // A process that this table does not list as alive is told so, to be able to refute it.
        let receiver = to.and_then(|to| self.index.get(&to.name));
        if let Some(&at) = receiver
            && self.entries[at].record.state() != MemberState::Alive
        {
            let record = self.entries[at].record.clone();
            size += record.size();
            packet.records.push(record);
        }
        let urgency = match packet.kind {
            PacketKind::Urgent => Urgency::Urgent,
            _ if same_zone => Urgency::Local,
            _ => Urgency::Bulk,
        };
        let mut pending = std::mem::take(&mut self.pending);
        if changes_limit > 0 {
            pending.offer(urgency, self.entries.len() + 1, |subject| match subject {
                Subject::Member(name) if *name == self.own.name => Some(true),
                Subject::Member(name) => {
                    let record = &self.entries[*self.index.get(name)?].record;
                    let fits = size + record.size() <= changes_limit
                        && to.is_none_or(|to| to.name != *name);
                    if fits {
                        size += record.size();
                        packet.records.push(record.clone());
                    }
                    Some(fits)
                }
                Subject::Item(key) => {
                    let value = self.store.get(key)?;
                    let item = Item {
                        key: key.clone(),
                        value: value.clone(),
                    };
                    let fits = size + item.size() <= changes_limit
                        && (same_zone || !matches!(key, ItemKey::AgentLoad(..)));
                    if fits {
                        size += item.size();
                        packet.items.push(item);
                    }
                    Some(fits)
                }
            });
        }
        self.pending = pending;
        self.fill_from_tables(&mut packet, same_zone, size, table_limit);
        packet
    }

    /// Fills a packet with the next table entries and items in turn, so that every process gets
    /// them in the end even if datagrams are lost.
    fn fill_from_tables(
        &mut self,
        packet: &mut Packet,
        same_zone: bool,
        mut size: usize,
        limit: usize,
    ) {
        let members = self.entries.len();
        for _ in 0..members {
            let at = self.rounds.member_cursor % members;
            let record = &self.entries[at].record;
            // Leaves some room for items if there are any.
            let reserved = if self.store.is_empty() { 0 } else { limit / 8 };
            if size + record.size() + reserved > limit {
                break;
            }
            self.rounds.member_cursor = at + 1;
            let known = record.incarnation != Incarnation::default();
            if known && !packet.records.iter().any(|r| r.name == record.name) {
                size += record.size();
                packet.records.push(record.clone());
            }
        }
        for _ in 0..self.store.len() {
            let next = self.store.after(self.rounds.item_cursor.as_ref()).next();
            let Some((key, value)) = next else {
                self.rounds.item_cursor = None;
                break;
            };
            let item = Item {
                key: key.clone(),
                value: value.clone(),
            };
            if size + item.size() > limit {
                break;
            }
            self.rounds.item_cursor = Some(item.key.clone());
            let local = matches!(item.key, ItemKey::AgentLoad(..) | ItemKey::RouterLoad(_));
            if (same_zone || !local) && !packet.items.iter().any(|found| found.key == item.key) {
                size += item.size();
                packet.items.push(item);
            }
        }
    }

    /// Publishes the zone's total load of each model for which this process is the reporting agent
    /// with the lowest name.
    fn publish_zone_load(&mut self, unix: u64) {
        let mut sums: Vec<(ItemKey, bool, u32, u32)> = Vec::new();
        for (key, value) in self.store.iter() {
            let (
                ItemKey::AgentLoad(model, agent),
                Value::Load {
                    running, capacity, ..
                },
            ) = (key, value)
            else {
                continue;
            };
            let zone_key = ItemKey::ZoneLoad(model.clone(), self.own.zone.clone());
            match sums.last_mut() {
                Some((found, _, sum, total)) if *found == zone_key => {
                    *sum = sum.saturating_add(*running);
                    *total = total.saturating_add(*capacity);
                }
                _ => sums.push((zone_key, *agent == self.own.name, *running, *capacity)),
            }
        }
        for (key, first, running, capacity) in sums {
            if first {
                let value = Value::Load {
                    stamp: unix,
                    running,
                    capacity,
                };
                self.put(&Item { key, value }, unix);
            }
        }
    }
}

fn random_index(random: &mut impl FnMut() -> u64, len: usize) -> usize {
    let len = len.max(1) as u64;
    usize::try_from(random() % len).unwrap_or(0)
}
