//! Exchange between entry routers: who is alive, which requests are open at which targets, and
//! crashes that are put down to requests.
//!
//! The key of the exchange lies in the store, so that no VM has to be set up with it. Without the
//! store a router gets along alone.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use ebonyfall_core::{
    dissemination::{Item, ItemKey, RequestCounts, Value},
    id::Incarnation,
    moves::VersionCounts,
    name::{ProcessName, ZoneName},
    peer::Role,
};
use ebonyfall_platform::store::Topic;
use ebonyfall_wire::auth::{Key, Keys};
use slog::{Logger, info, warn};
use tokio::{
    net::UdpSocket,
    sync::watch,
    time::{self, MissedTickBehavior, interval},
};

use crate::{
    clock,
    gossip::{Gossip, Local},
    link::Identity,
    metrics::Metrics,
    neighbours::{self, Access, Mirrors},
    steering::{Report, Steering, Suspicion, Update},
    store::{Store, StoreError},
    view,
};

/// Time between two reports of a router to the others.
const INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a failed attempt to get the key or the socket.
const PAUSE: Duration = Duration::from_secs(2);
/// Key of the record that holds the exchange's key.
const KEY_RECORD: &str = "exchange-key";
/// Length of the exchange's key, in bytes.
const KEY_LEN: usize = 16;

/// What the exchange needs.
#[derive(Debug)]
pub struct Peering {
    /// The process's name.
    pub name: ProcessName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// VMs of other routers.
    pub seeds: Vec<IpAddr>,
    /// Where the key lies.
    pub store: Store,
    /// Gets what other routers say.
    pub steering: Steering,
    /// What routers that the store does not serve may read.
    pub mirrors: Mirrors,
    /// Gets what is needed to reach other routers.
    pub access: watch::Sender<Option<Access>>,
    /// Counters.
    pub metrics: Metrics,
    /// The process's log.
    pub log: Logger,
}

/// Starts the exchange; it announces that the process leaves when `stop` turns true.
pub fn start(peering: Peering, stop: watch::Receiver<bool>) {
    tokio::spawn(peering.run(stop));
}

impl Peering {
    async fn run(self, mut stop: watch::Receiver<bool>) {
        let key = self.key().await;
        let incarnation = view::incarnation(clock::unix_time());
        let identity = Identity {
            name: self.name.clone(),
            incarnation,
            keys: Keys::new(key, None),
        };
        let gossip = self.join(identity.clone()).await;
        let access = Access {
            identity,
            gossip: gossip.clone(),
            own: self.address,
        };
        tokio::spawn(neighbours::serve(
            access.clone(),
            self.mirrors.clone(),
            self.log.clone(),
        ));
        self.access.send_replace(Some(access));
        let leaving = gossip.clone();
        tokio::spawn(async move {
            if stop.wait_for(|stop| *stop).await.is_ok() {
                leaving.leave().await;
            }
        });
        let mut ticks = interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut routers = 0;
        let mut reported = HashMap::new();
        loop {
            ticks.tick().await;
            let report = self.steering.report().await;
            gossip
                .broadcast(Item {
                    key: ItemKey::RouterLoad(self.name.clone()),
                    value: Value::Open {
                        incarnation,
                        stamp: clock::unix_time().as_secs(),
                        report: report.open.clone(),
                    },
                })
                .await;
            for item in self.evidence(&report, incarnation, &mut reported) {
                gossip.put(item).await;
            }
            for item in verdicts(&report) {
                gossip.put(item).await;
            }
            for item in crashes(report) {
                gossip.put(item).await;
            }
            let (known, before) = {
                let standing = gossip.standing();
                let routers = &standing.borrow().routers;
                let before = routers.iter().filter(|router| **router < self.name);
                (routers.len(), before.count())
            };
            if known != routers {
                info!(self.log, "routers changed"; "event" => "routers", "count" => known,
                    "before" => routers);
                routers = known;
                let count = i64::try_from(known).unwrap_or(i64::MAX);
                self.metrics.entry.routers.set(count);
            }
            let mut updates = updates(&gossip.items().await, &self.name);
            let narrow = |count| u32::try_from(count).unwrap_or(u32::MAX);
            updates.push(Update::Routers(narrow(known), narrow(before)));
            self.steering.update(updates).await;
        }
    }

    /// What has been counted of version moves since it was last reported.
    fn evidence(
        &self,
        report: &Report,
        incarnation: Incarnation,
        reported: &mut HashMap<ItemKey, RequestCounts>,
    ) -> Vec<Item> {
        let stamp = clock::unix_time().as_secs();
        let items = report.evidence.iter().filter_map(|evidence| {
            let key = ItemKey::Evidence {
                agent: self.name.clone(),
                incarnation,
                move_name: evidence.name.clone(),
                arm: evidence.arm,
                route: evidence.route.clone(),
            };
            let counts = evidence.counts;
            let before = reported.insert(key.clone(), counts);
            let value = Value::Evidence { counts, stamp };
            (before != Some(counts)).then_some(Item { key, value })
        });
        let items = items.collect();
        if report.evidence.is_empty() {
            reported.clear();
        }
        items
    }

    /// The fleet's key: the first one that a router wrote.
    async fn key(&self) -> Key {
        loop {
            match self.find_key().await {
                Ok(Some(key)) => return key,
                Ok(None) => {}
                Err(error) => {
                    warn!(self.log, "no key for the exchange"; "event" => "exchange_key",
                        "error" => %error);
                    time::sleep(PAUSE).await;
                }
            }
        }
    }

    async fn find_key(&self) -> Result<Option<Key>, StoreError> {
        let (records, end) = self.store.newest(Topic::Routers, 0).await?;
        let known = records.into_iter().find(|record| record.key == KEY_RECORD);
        let known = known.and_then(|record| record.value);
        if let Some(value) = known.and_then(|value| <[u8; KEY_LEN]>::try_from(&*value).ok()) {
            return Ok(Some(Key::new(value)));
        }
        let fresh: [u8; KEY_LEN] = rand::random();
        // Another router's record makes the append fail, and is read next.
        let written = self
            .store
            .append_at(Topic::Routers, end, KEY_RECORD, &fresh)
            .await;
        match written {
            Ok(()) => Ok(Some(Key::new(fresh))),
            Err(StoreError::Refused { status })
                if status == http::StatusCode::PRECONDITION_FAILED =>
            {
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    async fn join(&self, identity: Identity) -> Gossip {
        let socket = loop {
            match UdpSocket::bind(self.address).await {
                Ok(socket) => break socket,
                Err(error) => {
                    warn!(self.log, "no socket for the exchange"; "event" => "exchange_socket",
                        "address" => self.address, "error" => %error);
                    time::sleep(PAUSE).await;
                }
            }
        };
        let port = self.address.port();
        let seeds = self.seeds.iter().map(|seed| SocketAddr::new(*seed, port));
        let local = Local {
            identity,
            role: Role::Router,
            zone: self.zone.clone(),
            address: self.address,
            seeds: seeds.collect(),
        };
        // There is no document here; targets come from the store.
        let (_, views) = watch::channel(None);
        Gossip::start(local, socket, views, self.metrics.clone(), self.log.clone())
    }
}

/// The verdicts of a report as items.
fn verdicts(report: &Report) -> impl Iterator<Item = Item> + use<'_> {
    report.verdicts.iter().map(|judged| Item {
        key: ItemKey::Verdict(judged.name.clone(), judged.declaration),
        value: Value::Verdict(judged.verdict),
    })
}

/// The crashes of a report as items.
fn crashes(report: Report) -> impl Iterator<Item = Item> {
    let unix = clock::unix_time();
    report
        .crashes
        .into_iter()
        .map(move |(suspicion, age)| Item {
            key: ItemKey::Crash(suspicion.content, suspicion.target),
            value: Value::Crash {
                stamp: unix.saturating_sub(age).as_secs(),
                team: suspicion.team,
            },
        })
}

fn updates(items: &ebonyfall_core::dissemination::ItemStore, own: &ProcessName) -> Vec<Update> {
    let unix = clock::unix_time();
    let updates = items.iter().filter_map(|(key, value)| match (key, value) {
        (ItemKey::RouterLoad(router), Value::Open { report, .. }) => {
            Some(Update::Open(router.clone(), report.clone()))
        }
        (ItemKey::Crash(content, target), Value::Crash { stamp, team }) => {
            let suspicion = Suspicion {
                content: *content,
                target: target.clone(),
                team: team.clone(),
            };
            let age = unix.saturating_sub(Duration::from_secs(*stamp));
            Some(Update::Crash(suspicion, age))
        }
        (
            ItemKey::Evidence {
                agent,
                move_name: step,
                arm,
                route,
                ..
            },
            Value::Evidence { counts, .. },
        ) if agent != own => {
            let evidence = VersionCounts {
                name: step.clone(),
                route: route.clone(),
                arm: *arm,
                counts: *counts,
            };
            Some(Update::Evidence(agent.clone(), evidence))
        }
        (ItemKey::Verdict(step, _), Value::Verdict(verdict)) => {
            Some(Update::MoveJudged(step.clone(), *verdict))
        }
        _ => None,
    });
    updates.collect()
}
