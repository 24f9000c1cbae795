//! Sorts the records of a stream into those that routers use and those that they leave out.

use std::{collections::HashSet, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    desired::DesiredState,
    id::Offset,
    kept::{KeptKeys, Rank, RoomLimits},
    name::ServiceName,
    time::Time,
};
use ebonyfall_platform::{
    order::{self, Order, OrderError},
    store::{KeyedRecord, Topic, Unreadable},
    target,
};
use slog::{Logger, warn};

use crate::{meters::EntryMetrics, mirror::Mirror};

/// Room for the records of a stream. With the tombstones, all of them fit into an answer to another
/// router.
const ROOM: RoomLimits = RoomLimits {
    primary: 3 << 20,
    secondary: 256 << 10,
};
/// Shortest time between two log lines on records of a stream that were left out.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Records that were left out since the last log line.
#[derive(Debug, Clone, Default)]
struct LeftOut {
    /// Records that nobody can use.
    unusable: u64,
    unusable_bytes: u64,
    /// Usable records for which there was no room.
    no_room: u64,
    /// Key of one of them, by which operators find its writer.
    key: Option<String>,
}

/// Decides which records of one stream are used.
pub(super) struct RecordFilter {
    topic: Topic,
    kept: KeptKeys,
    /// The desired state that was decoded last, until it is applied.
    desired: Option<(Offset, Box<DesiredState>)>,
    /// Services of the desired state; `None` before the first one.
    services: Option<HashSet<ServiceName>>,
    /// The same when the last list was complete.
    listed_services: Option<HashSet<ServiceName>>,
    /// Whether a usable record has been left out since the last list.
    lacks_records: bool,
    left_out: LeftOut,
    logged_at: Option<Time>,
    meters: EntryMetrics,
    log: Logger,
}

/// A list that is being read, page by page.
pub(super) struct ListedRecords {
    kept: KeptKeys,
    lacks_records: bool,
    /// Records that are used.
    pub(super) records: Vec<KeyedRecord>,
    /// Known records whose keys are listed with a value that cannot be used. The known value stays in
    /// force.
    pub(super) unchanged: Vec<KeyedRecord>,
}

/// What is done with a record.
enum Sorted {
    Used(KeyedRecord),
    Unusable,
    NoRoom,
}

impl RecordFilter {
    pub(super) fn new(topic: Topic, meters: EntryMetrics, log: Logger) -> Self {
        Self {
            topic,
            kept: KeptKeys::new(ROOM),
            desired: None,
            services: None,
            listed_services: None,
            lacks_records: false,
            left_out: LeftOut::default(),
            logged_at: None,
            meters,
            log,
        }
    }

    /// Sets the services of the desired state.
    pub(super) fn set_services(&mut self, services: HashSet<ServiceName>) {
        self.services = Some(services);
    }

    /// Whether the stream has to be listed again, since records were left out for want of room, and other
    /// services are in use than at the last list.
    pub(super) fn is_list_due(&self) -> bool {
        self.lacks_records && self.listed_services != self.services
    }

    /// Returns those of a stream's records that are used. A known record for which there is no room any
    /// more is deleted.
    pub(super) fn filter(
        &mut self,
        records: Vec<KeyedRecord>,
        unreadable: Unreadable,
        now: Time,
    ) -> Vec<KeyedRecord> {
        // Taken out, since `sort` borrows the whole filter to count what is left out.
        let mut kept = std::mem::replace(&mut self.kept, KeptKeys::new(ROOM));
        let mut used = Vec::with_capacity(records.len());
        for record in records {
            if record.value.is_none() {
                kept.release(&record.key);
                used.push(record);
                continue;
            }
            let known = kept.contains(&record.key);
            let deletion = KeyedRecord {
                key: record.key.clone(),
                value: None,
                offset: record.offset,
            };
            match self.sort(&mut kept, record) {
                Sorted::Used(record) => used.push(record),
                Sorted::Unusable => {}
                Sorted::NoRoom => {
                    self.lacks_records = true;
                    used.extend(known.then_some(deletion));
                }
            }
        }
        self.kept = kept;
        self.count_unreadable(unreadable);
        self.report(now);
        used
    }

    /// Starts a list. When it is complete, it replaces what is known.
    pub(super) fn start_list() -> ListedRecords {
        ListedRecords {
            kept: KeptKeys::new(ROOM),
            lacks_records: false,
            records: Vec::new(),
            unchanged: Vec::new(),
        }
    }

    /// Adds the records of a page to a list. `mirror` has what is known.
    pub(super) fn add_page(
        &mut self,
        list: &mut ListedRecords,
        records: Vec<KeyedRecord>,
        unreadable: Unreadable,
        mirror: &Mirror,
    ) {
        for record in records {
            let key = record.key.clone();
            match self.sort(&mut list.kept, record) {
                Sorted::Used(record) => list.records.push(record),
                Sorted::NoRoom => list.lacks_records = true,
                Sorted::Unusable => {
                    let Some(known) = mirror.live(&key) else {
                        continue;
                    };
                    list.kept.adopt(&key, &self.kept);
                    list.unchanged.push(known.clone());
                }
            }
        }
        self.count_unreadable(unreadable);
    }

    /// Takes a complete list for what is known from now on.
    pub(super) fn replace_all(&mut self, list: &ListedRecords, now: Time) {
        self.kept = list.kept.clone();
        self.lacks_records = list.lacks_records;
        self.listed_services.clone_from(&self.services);
        self.report(now);
    }

    /// Adds records of a list to what is known.
    pub(super) fn merge(&mut self, list: &ListedRecords, new: &[KeyedRecord], now: Time) {
        for record in new {
            self.kept.adopt(&record.key, &list.kept);
        }
        self.report(now);
    }

    /// Filters a complete list of another router. `mirror` has what is known.
    pub(super) fn filter_list(
        &mut self,
        records: Vec<KeyedRecord>,
        mirror: &Mirror,
    ) -> ListedRecords {
        let mut list = Self::start_list();
        let live = records.into_iter().filter(|record| record.value.is_some());
        self.add_page(&mut list, live.collect(), Unreadable::default(), mirror);
        list
    }

    /// Decides on a record with a value, and counts one that is left out.
    fn sort(&mut self, kept: &mut KeptKeys, record: KeyedRecord) -> Sorted {
        let bytes = record.size() as u64;
        let compacted = self.compact(&record);
        let KeyedRecord { key, offset, .. } = record;
        let Some((value, rank)) = compacted else {
            self.count("unusable", 1);
            self.left_out.unusable += 1;
            self.left_out.unusable_bytes += bytes;
            self.left_out.key.get_or_insert(key);
            return Sorted::Unusable;
        };
        if kept.take(&key, rank, value.len()) {
            let value = Some(value);
            return Sorted::Used(KeyedRecord { key, value, offset });
        }
        self.count("no_room", 1);
        self.left_out.no_room += 1;
        self.left_out.key.get_or_insert(key);
        Sorted::NoRoom
    }

    /// The value as it is kept, and its rank; `None` if it cannot be used.
    fn compact(&mut self, record: &KeyedRecord) -> Option<(Bytes, Rank)> {
        let value = record.value.as_ref()?;
        match self.topic {
            Topic::Orders => self.compact_order(&record.key, value, record.offset),
            Topic::Targets => {
                let (value, service) = target::compact(&record.key, value)?;
                let services = self.services.as_ref();
                let is_named = services.is_none_or(|services| services.contains(&service));
                let rank = if is_named {
                    Rank::Primary
                } else {
                    Rank::Secondary
                };
                Some((value, rank))
            }
            // Routers do not follow these.
            Topic::Routers | Topic::Status | Topic::Usage => None,
        }
    }

    fn compact_order(&mut self, key: &str, value: &Bytes, offset: Offset) -> Option<(Bytes, Rank)> {
        match order::decode(key, value) {
            Ok(Order::Desired(state)) => {
                self.desired = Some((offset, state));
                Some((Bytes::copy_from_slice(value), Rank::Primary))
            }
            Ok(Order::Other(value)) => Some((value, Rank::Secondary)),
            Err(OrderError::Desired { source }) => {
                warn!(self.log, "cannot decode desired state; keeping the current one";
                    "event" => "desired_bad", "error" => %source);
                None
            }
            Err(OrderError::Move { service }) => {
                warn!(self.log, "cannot decode order for version move; ignoring it";
                    "event" => "move_bad", "service" => %service);
                None
            }
            Err(OrderError::Unknown) => None,
        }
    }

    /// The desired state of the record at `offset`, if it was decoded last.
    pub(super) fn take_desired(&mut self, offset: Offset) -> Option<DesiredState> {
        let (_, state) = self.desired.take_if(|(at, _)| *at == offset)?;
        Some(*state)
    }

    fn count_unreadable(&mut self, unreadable: Unreadable) {
        let Unreadable { records, bytes } = unreadable;
        self.count("unusable", records);
        self.left_out.unusable += records;
        self.left_out.unusable_bytes += bytes;
    }

    fn count(&self, cause: &'static str, records: u64) {
        self.meters
            .count_left_out(self.topic.label(), cause, records);
    }

    /// Logs what was left out, at most once in each interval.
    fn report(&mut self, now: Time) {
        let is_early = self
            .logged_at
            .is_some_and(|at| now.since(at) < LOG_INTERVAL);
        if is_early || self.left_out.unusable + self.left_out.no_room == 0 {
            return;
        }
        self.logged_at = Some(now);
        let LeftOut {
            unusable,
            unusable_bytes,
            no_room,
            key,
        } = std::mem::take(&mut self.left_out);
        warn!(self.log, "records of the store were left out: they cannot be used, or there is no room";
            "event" => "records_left_out", "stream" => self.topic.label(), "unusable" => unusable,
            "unusable_bytes" => unusable_bytes, "no_room" => no_room, "key" => key);
    }
}
