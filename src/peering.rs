//! Gossip between entry routers: liveness, open requests by target, crashes attributed to requests,
//! and counts and verdicts for version moves.
//!
//! The key that authenticates the gossip is kept in the store, so that it does not have to be
//! configured on each VM. Until the store answers, a router exchanges nothing with the others.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use ebonyfall_core::{
    dissemination::{HeardLimit, Item, ItemKey, RequestCounts, Value},
    fleet::{FleetPart, FleetShare, ShareBasis},
    id::{Era, Incarnation},
    limit::{LimitReport, per_1000_s, per_s},
    moves::VersionCounts,
    name::{ProcessName, ZoneName},
    peer::Role,
    time::Time,
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
    clock::{self, BootClock},
    dispatch::DispatchHandle,
    gossip::{Gossip, LocalProcess},
    link::Identity,
    metrics::Metrics,
    neighbours::{self, Mirrors, PeerAccess},
    selection::{CrashAttribution, PartReport, RouterReport, SelectorHandle, Update},
    store::{Listing, StoreClient, StoreError},
    usage::counting::UsageCounter,
    view,
};

/// Interval between two reports to the other routers.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time from an urgent change of the gossip items to its application.
const URGENT_DELAY: Duration = Duration::from_millis(20);
/// Delay after a failed attempt to get the key or to bind the socket.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Key of the store's record that contains the exchange key.
const KEY_RECORD: &str = "exchange-key";
/// Length of the exchange key in bytes.
const KEY_BYTES: usize = 16;

type KeyBytes = [u8; KEY_BYTES];

/// Configuration and dependencies of the gossip between routers.
#[derive(Debug)]
pub struct Peering {
    /// Name of this process.
    pub name: ProcessName,
    /// Zone of this process.
    pub zone: ZoneName,
    /// Address on which gossip datagrams and connections from other routers arrive.
    pub address: SocketAddr,
    /// VM addresses of other routers, through which the router joins the gossip. They use the same
    /// port.
    pub seeds: Vec<IpAddr>,
    /// Store that contains the exchange key.
    pub store: StoreClient,
    /// Task that gets the reports of other routers and makes this router's.
    pub selector: SelectorHandle,
    /// Task that knows this router's open and waiting requests.
    pub dispatch: DispatchHandle,
    /// Copies of the store's streams that are served to other routers.
    pub mirrors: Mirrors,
    /// Task that counts requests; `None` if usage is not reported.
    pub usage: Option<UsageCounter>,
    /// Access to the other routers, set once the exchange key is known and the socket is bound.
    pub access: watch::Sender<Option<PeerAccess>>,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Logger of this process.
    pub log: Logger,
}

/// Starts the task that gossips with the other routers. When `stop` becomes true, the task
/// announces that the process is leaving.
pub fn start(peering: Peering, stop: watch::Receiver<bool>) {
    tokio::spawn(peering.run(stop));
}

impl Peering {
    async fn run(self, mut stop: watch::Receiver<bool>) {
        let key = self.exchange_key().await;
        let mut era = None;
        let incarnation = view::incarnation(clock::unix_time());
        let identity = Identity {
            name: self.name.clone(),
            incarnation,
            keys: Keys::new(Key::new(key), None),
        };
        let gossip = self.join(identity.clone()).await;
        let access = PeerAccess {
            identity,
            gossip: gossip.clone(),
            own_address: self.address,
        };
        tokio::spawn(neighbours::serve(
            access.clone(),
            self.mirrors.clone(),
            self.usage.clone(),
            self.log.clone(),
        ));
        self.access.send_replace(Some(access));
        let leaving = gossip.clone();
        tokio::spawn(async move {
            if stop.wait_for(|stop| *stop).await.is_ok() {
                leaving.leave().await;
            }
        });
        let mut ticks = interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut suspicions = self.selector.suspicions();
        let mut urgent = gossip.urgent_changes();
        let mut reported = HashMap::new();
        let mut routers = 0;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.send_report(&gossip, incarnation, &mut reported).await;
                    routers = self.update_routers(&gossip, routers).await;
                    era = self.keep_key(key, era);
                }
                // A part that crashes targets must not wait for the next report.
                Ok(()) = suspicions.changed() => {
                    for item in parts(&self.selector.part_marks().await) {
                        gossip.put(item).await;
                    }
                    continue;
                }
                // Changes that arrive together are applied together.
                Ok(()) = urgent.changed() => time::sleep(URGENT_DELAY).await,
            }
            let items = gossip.items().await;
            self.selector.update(updates(&items, &self.name)).await;
        }
    }

    async fn send_report(
        &self,
        gossip: &Gossip,
        incarnation: Incarnation,
        reported: &mut HashMap<ItemKey, RequestCounts>,
    ) {
        let demand = self.dispatch.demand().await;
        let report = self.selector.report(demand).await;
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
        for item in self.evidence(&report, incarnation, reported) {
            gossip.put(item).await;
        }
        for item in verdicts(&report) {
            gossip.put(item).await;
        }
        for item in parts(&report.parts) {
            gossip.put(item).await;
        }
        for item in limits(&report) {
            gossip.put(item).await;
        }
        for item in crashes(report) {
            gossip.put(item).await;
        }
    }

    /// Tells the selector how many routers are alive, and logs when that differs from `before`.
    /// Returns their number.
    async fn update_routers(&self, gossip: &Gossip, before: usize) -> usize {
        let since_epoch = BootClock.now().since(Time::ZERO);
        let offset = Update::UnixOffset(clock::unix_time().saturating_sub(since_epoch));
        // After a start or a pause, the others are not known yet. A router that takes itself for the
        // only one uses the rates of cold targets and the retry budgets of all.
        let is_fresh = gossip.membership().borrow().fresh;
        if !is_fresh {
            self.selector.update(vec![offset]).await;
            return before;
        }
        let (count, rank) = {
            let membership = gossip.membership();
            let routers = &membership.borrow().routers;
            let earlier = routers.iter().filter(|router| **router < self.name);
            (routers.len(), earlier.count())
        };
        if count != before {
            info!(self.log, "number of live routers changed";
                "event" => "routers", "count" => count, "before" => before);
            let gauge = i64::try_from(count).unwrap_or(i64::MAX);
            self.metrics.entry.routers.set(gauge);
        }
        let saturating_u32 = |count| u32::try_from(count).unwrap_or(u32::MAX);
        let (routers, rank) = (saturating_u32(count), saturating_u32(rank));
        let part = FleetPart {
            share: Some(FleetShare::settled(routers)),
            rank,
            basis: ShareBasis::Membership,
        };
        let updates = vec![Update::Routers(routers, rank), Update::Fleet(part), offset];
        self.selector.update(updates).await;
        count
    }

    /// Returns the request counts that have changed since they were last reported.
    fn evidence(
        &self,
        report: &RouterReport,
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

    /// Writes the key to the store again if that has come back from an older copy since `known`; returns
    /// its era. Routers that start later would make another key, and neither would reach the others.
    fn keep_key(&self, key: KeyBytes, known: Option<Era>) -> Option<Era> {
        let era = self.mirrors.orders.borrow().era();
        if known.is_some() && era > known {
            let (store, log) = (self.store.clone(), self.log.clone());
            tokio::spawn(async move {
                let recorded = exchange_key(&store, key, &log).await;
                if recorded != key {
                    warn!(log, "another exchange key is in the store; routers that started after its \
                        return do not reach this one"; "event" => "exchange_key");
                }
            });
        }
        era.max(known)
    }

    /// Returns the key that the first router has written to the store, or writes a new one. Retries
    /// until that succeeds.
    async fn exchange_key(&self) -> KeyBytes {
        exchange_key(&self.store, rand::random(), &self.log).await
    }

    async fn join(&self, identity: Identity) -> Gossip {
        let socket = loop {
            match UdpSocket::bind(self.address).await {
                Ok(socket) => break socket,
                Err(error) => {
                    warn!(self.log, "cannot bind the gossip socket; retrying";
                        "event" => "exchange_socket", "address" => self.address, "error" => %error);
                    time::sleep(RETRY_DELAY).await;
                }
            }
        };
        let port = self.address.port();
        let seeds = self.seeds.iter().map(|seed| SocketAddr::new(*seed, port));
        let local = LocalProcess {
            identity,
            role: Role::Router,
            zone: self.zone.clone(),
            address: self.address,
            seeds: seeds.collect(),
        };
        // An entry router has no configuration document to apply: its targets come from the store.
        let (_, views) = watch::channel(None);
        Gossip::start(local, socket, views, self.metrics.clone(), self.log.clone())
    }
}

/// Returns the key that the store has, or writes `key`. Retries until that succeeds.
async fn exchange_key(store: &StoreClient, key: KeyBytes, log: &Logger) -> KeyBytes {
    loop {
        match read_or_write_key(store, key).await {
            Ok(Some(recorded)) => return recorded,
            Ok(None) => {}
            Err(error) => {
                warn!(log, "cannot read or create the exchange key in the store; retrying";
                    "event" => "exchange_key", "error" => %error);
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the key that the store has; writes `key` if it has none. `None` if another router has
/// written a record meanwhile, so that the key has to be read again.
async fn read_or_write_key(
    store: &StoreClient,
    key: KeyBytes,
) -> Result<Option<KeyBytes>, StoreError> {
    let Listing { records, end } = store.newest(Topic::Routers, 0).await?;
    let known = records.into_iter().find(|record| record.key == KEY_RECORD);
    let known = known.and_then(|record| record.value);
    if let Some(value) = known.and_then(|value| KeyBytes::try_from(&*value).ok()) {
        return Ok(Some(value));
    }
    match store.append_at(Topic::Routers, end, KEY_RECORD, &key).await {
        Ok(()) => Ok(Some(key)),
        Err(StoreError::Refused { status }) if status == http::StatusCode::PRECONDITION_FAILED => {
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Converts the verdicts of a report to gossip items.
fn verdicts(report: &RouterReport) -> impl Iterator<Item = Item> + use<'_> {
    report.verdicts.iter().map(|verdict| Item {
        key: ItemKey::Verdict(verdict.name.clone(), verdict.declaration),
        value: Value::Verdict(verdict.verdict),
    })
}

/// Converts the crashes that are counted against prompt parts to gossip items.
fn parts(reports: &[PartReport]) -> impl Iterator<Item = Item> + use<'_> {
    let unix = clock::unix_time();
    reports.iter().map(move |report| Item {
        key: ItemKey::Part(report.part),
        value: Value::Part {
            stamp: unix.saturating_sub(report.age).as_secs(),
            mark: report.mark.clone(),
        },
    })
}

/// Converts the limits of a report to gossip items.
fn limits(report: &RouterReport) -> impl Iterator<Item = Item> + use<'_> {
    let unix = clock::unix_time();
    report
        .limits
        .iter()
        .map(move |(target, incarnation, limit)| {
            let stamp = unix.saturating_sub(limit.age);
            Item {
                key: ItemKey::Limit(target.clone()),
                value: Value::Limit(HeardLimit {
                    incarnation: *incarnation,
                    stamp_ms: u64::try_from(stamp.as_millis()).unwrap_or(u64::MAX),
                    per_1000_s: limit.rate.map(per_1000_s),
                }),
            }
        })
}

/// Converts the crashes of a report to gossip items.
fn crashes(report: RouterReport) -> impl Iterator<Item = Item> {
    let unix = clock::unix_time();
    report
        .crashes
        .into_iter()
        .map(move |(attribution, age)| Item {
            key: ItemKey::Crash(attribution.content, attribution.target),
            value: Value::Crash {
                stamp: unix.saturating_sub(age).as_secs(),
                team: attribution.team,
            },
        })
}

fn updates(items: &ebonyfall_core::dissemination::ItemStore, own: &ProcessName) -> Vec<Update> {
    let unix = clock::unix_time();
    let updates = items.iter().filter_map(|(key, value)| match (key, value) {
        (ItemKey::RouterLoad(router), Value::Open { report, .. }) => {
            Some(Update::OpenReport(router.clone(), report.clone()))
        }
        (ItemKey::Crash(content, target), Value::Crash { stamp, team }) => {
            let attribution = CrashAttribution {
                content: *content,
                target: target.clone(),
                team: team.clone(),
            };
            let age = unix.saturating_sub(Duration::from_secs(*stamp));
            Some(Update::Crash(attribution, age))
        }
        (ItemKey::Part(part), Value::Part { stamp, mark }) => {
            let age = unix.saturating_sub(Duration::from_secs(*stamp));
            Some(Update::Part(PartReport {
                part: *part,
                mark: mark.clone(),
                age,
            }))
        }
        (ItemKey::Limit(target), Value::Limit(heard)) => {
            let report = LimitReport {
                rate: heard.per_1000_s.map(per_s),
                age: unix.saturating_sub(Duration::from_millis(heard.stamp_ms)),
            };
            Some(Update::Limit(target.clone(), heard.incarnation, report))
        }
        (
            ItemKey::Evidence {
                agent,
                move_name: name,
                arm,
                route,
                ..
            },
            Value::Evidence { counts, .. },
        ) if agent != own => {
            let evidence = VersionCounts {
                name: name.clone(),
                route: route.clone(),
                arm: *arm,
                counts: *counts,
            };
            Some(Update::Evidence(agent.clone(), evidence))
        }
        (ItemKey::Verdict(name, _), Value::Verdict(verdict)) => {
            Some(Update::MoveVerdict(name.clone(), *verdict))
        }
        _ => None,
    });
    updates.collect()
}
