//! Gossip between entry routers: liveness, open requests by target, crashes attributed to requests,
//! and counts and verdicts for version moves.
//!
//! The key that authenticates the gossip is kept in the store, so that it does not have to be
//! configured on each VM. Until the store answers, a router exchanges nothing with the others.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use ebonyfall_core::{
    changeover::RouterRun,
    dissemination::{HeardLimit, Item, ItemKey, RequestCounts, Value},
    fleet::Fleet,
    id::{Era, Incarnation},
    limit::{LimitReport, per_1000_s, per_s},
    moves::VersionCounts,
    name::{ProcessName, ZoneName},
    peer::Role,
    time::Time,
};
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
    neighbours::{self, PeerAccess, PeerService},
    roster::{self, KeyBytes, Registration, RosterEvent, RosterHandle, RouterRecords},
    selection::{CrashAttribution, PartReport, RouterReport, SelectorHandle, Update},
    store::StoreClient,
    supervisor::{Supervisor, TaskName},
    view,
};

/// Interval between two reports to the other routers.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time from an urgent change of the gossip items to its application.
const URGENT_DELAY: Duration = Duration::from_millis(20);
/// Delay after a failed attempt to bind the socket.
const RETRY_DELAY: Duration = Duration::from_secs(2);

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
    /// What is served to other routers.
    pub service: PeerService,
    /// Access to the other routers, set once the exchange key is known and the socket is bound.
    pub access: watch::Sender<Option<PeerAccess>>,
    /// Becomes true when the router may take requests, as far as the other routers are concerned.
    pub entered: watch::Sender<bool>,
    /// Watches the tasks that are started.
    pub supervisor: Supervisor,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Logger of this process.
    pub log: Logger,
}

/// Starts the task that gossips with the other routers. When `stop` becomes true, the task
/// announces that the process is leaving.
pub fn start(peering: Peering, stop: watch::Receiver<bool>) {
    let supervisor = peering.supervisor.clone();
    supervisor.spawn(TaskName::Peering, peering.run(stop));
}

impl Peering {
    async fn run(self, mut stop: watch::Receiver<bool>) {
        let (mut fleet, key, mut roster) = self.enter_fleet().await;
        let mut era = None;
        let incarnation = view::incarnation(clock::unix_time());
        let own_run = RouterRun {
            router: self.name.clone(),
            incarnation,
        };
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
        let reads = neighbours::serve(access.clone(), self.service.clone(), self.log.clone());
        self.supervisor.spawn(TaskName::PeerReads, reads);
        self.access.send_replace(Some(access));
        let leaving = gossip.clone();
        self.supervisor.spawn(TaskName::Leave, async move {
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
                    self.update_fleet(&gossip, &mut fleet).await;
                    era = self.keep_records(key, &roster, era);
                }
                event = roster.next_event() => {
                    match event {
                        RosterEvent::Written => fleet.record_written(),
                        RosterEvent::Listed(list) => {
                            fleet.record_later_list(&list, clock::unix_time());
                        }
                    }
                    self.update_fleet(&gossip, &mut fleet).await;
                    continue;
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
            self.selector.update(updates(&items, &own_run)).await;
        }
    }

    /// Reads the records of the routers, and starts the task that writes this router's record.
    async fn enter_fleet(&self) -> (Fleet, KeyBytes, RosterHandle) {
        let (started_at, started) = (BootClock.now(), clock::unix_time());
        let records = roster::read_or_create(&self.store, rand::random(), &self.log).await;
        let RouterRecords {
            key,
            roster,
            is_first,
        } = records;
        let mut fleet = Fleet::new(self.name.clone(), started_at, started);
        let relist_after = fleet.record_first_list(&roster, is_first);
        info!(self.log, "the list of routers is read"; "event" => "roster", "count" => roster.len(),
            "first" => is_first, "settle_ms" => relist_after.map(clock::millis));
        let registration = Registration {
            store: self.store.clone(),
            name: self.name.clone(),
            started,
            relist_after,
            supervisor: self.supervisor.clone(),
            log: self.log.clone(),
        };
        // A router that the others count may use its part before gossip arrives.
        self.apply_part(&mut fleet).await;
        (fleet, key, registration.start())
    }

    /// Tells the selector this router's part in the limits of the fleet.
    async fn update_fleet(&self, gossip: &Gossip, fleet: &mut Fleet) {
        let membership = Arc::clone(&gossip.membership().borrow());
        let now = BootClock.now();
        fleet.record_members(&membership.known_routers, membership.fresh, now);
        self.apply_part(fleet).await;
    }

    async fn apply_part(&self, fleet: &mut Fleet) {
        let now = BootClock.now();
        let part = Update::Fleet(fleet.part(now));
        self.selector.update(vec![unix_offset(), part]).await;
        if fleet.is_ready(now) {
            self.entered.send_replace(true);
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
        // After a start or a pause, the others are not known yet.
        if !gossip.membership().borrow().fresh {
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
        let routers = Update::Routers(saturating_u32(count), saturating_u32(rank));
        self.selector.update(vec![routers]).await;
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

    /// Writes the key and this router's record to the store again if that has come back from an older
    /// copy since `known`; returns its era. Routers that start later would make another key, and neither
    /// would reach the others.
    fn keep_records(
        &self,
        key: KeyBytes,
        roster: &RosterHandle,
        known: Option<Era>,
    ) -> Option<Era> {
        let era = self.service.mirrors.orders.borrow().era();
        if known.is_some() && era > known {
            roster.rewrite();
            let (store, log) = (self.store.clone(), self.log.clone());
            self.supervisor.spawn_job(TaskName::Peering, async move {
                let records = roster::read_or_create(&store, key, &log).await;
                if records.key != key {
                    warn!(log, "another exchange key is in the store; routers that started after its \
                        return do not reach this one"; "event" => "exchange_key");
                }
            });
        }
        era.max(known)
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
        let metrics = self.metrics.clone();
        Gossip::start(
            local,
            socket,
            views,
            metrics,
            &self.supervisor,
            self.log.clone(),
        )
    }
}

/// Time of day at the epoch of this process's times.
fn unix_offset() -> Update {
    let since_epoch = BootClock.now().since(Time::ZERO);
    Update::UnixOffset(clock::unix_time().saturating_sub(since_epoch))
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

fn updates(items: &ebonyfall_core::dissemination::ItemStore, own_run: &RouterRun) -> Vec<Update> {
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
                incarnation,
                move_name: name,
                arm,
                route,
            },
            Value::Evidence { counts, .. },
        ) if (agent, incarnation) != (&own_run.router, &own_run.incarnation) => {
            let run = RouterRun {
                router: agent.clone(),
                incarnation: *incarnation,
            };
            let evidence = VersionCounts {
                name: name.clone(),
                route: route.clone(),
                arm: *arm,
                counts: *counts,
            };
            Some(Update::Evidence(run, evidence))
        }
        (ItemKey::Verdict(name, _), Value::Verdict(verdict)) => {
            Some(Update::MoveVerdict(name.clone(), *verdict))
        }
        _ => None,
    });
    updates.collect()
}
