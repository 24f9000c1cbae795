//! Which target gets a request: belief about the targets, their load and health, and the choice
//! among them.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    allowance::{Allowance, RetryBound},
    changeover::{MoveOrder, Progress},
    code::Code,
    crash::{Mark, Standing, Suspects},
    dissemination::Verdict,
    estimate::{Estimate, LOAD_LIFE},
    holders::Holders,
    id::Fingerprint,
    inspect::{MoveLine, SteerState, TargetState},
    moves::{Evidence, Judgement, MoveState, Moves},
    name::{MoveName, ProcessName, ServiceName, TargetName, TeamName, ZoneName},
    outcome::{End, Finished},
    passage::Failure,
    preference,
    reports::{OpenReport, RouterReports},
    roster::TargetTable,
    target::{TargetLoad, TargetRecord},
    time::Time,
};

/// Time for which a target that declined a request is chosen last.
const FULL: Duration = Duration::from_millis(150);
/// Time after a failed call of the store in which entries may be gone only because of the outage.
const LAPSE_WINDOW: Duration = Duration::from_secs(2);
/// Time for which such entries are still used. With the window it stays below the 3 s after an
/// outage from which on a target that has left must get nothing.
const LAPSE_GRACE: Duration = Duration::from_secs(1);
/// Time over which broken connections are put down to a crash that shows afterwards.
const CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Time for which content that crashed targets is held.
const HOLD: Duration = Duration::from_secs(60);
/// Requests to a cold target that are remembered.
const MAX_COLD_SENT: usize = 256;
/// Pause that refused callers are asked to make when no target can take a request.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// What a request asks for.
#[derive(Debug, Clone)]
pub struct Want<'a> {
    /// The service that the request goes to.
    pub service: &'a ServiceName,
    /// Hashes of the prompt parts that it shares with others: of the first one, of the first two,
    /// and so on. The last one names its context.
    pub contexts: &'a [u64],
    /// Targets that were tried before.
    pub tried: &'a [TargetName],
    /// Whether it takes a repeat from the retry budget.
    pub repeat: bool,
    /// Hash of team and content.
    pub content: Fingerprint,
}

/// The chosen target.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The target's record.
    pub target: TargetRecord,
    /// Estimated load of the target, in requests.
    pub load: f64,
    /// Estimated mean load of the service's targets.
    pub mean: f64,
    /// Age of the load that the target named last, if it counts.
    pub load_age: Option<Duration>,
    /// Where another target is likely to hold the request's context.
    pub source: Option<SocketAddr>,
}

/// Why there is no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// When to come back.
    pub after: Duration,
}

/// The steering state of a router.
#[derive(Debug)]
pub struct Steer {
    zone: ZoneName,
    retry: RetryBound,
    routers: u32,
    targets: TargetTable,
    moves: Moves,
    /// Whether the targets have been listed since the router's start.
    listed: bool,
    cold_rates: HashMap<ServiceName, f64>,
    evacuated: HashSet<ZoneName>,
    allowances: HashMap<ServiceName, Allowance>,
    suspects: Suspects,
    store_lost: Option<Time>,
    holders: Holders,
    reports: RouterReports,
    /// Reports made for other routers.
    number: u64,
}

impl Steer {
    /// Starts without targets, for a router in `zone`.
    pub fn new(zone: ZoneName, retry: RetryBound) -> Self {
        Self {
            zone,
            retry,
            routers: 1,
            targets: TargetTable::default(),
            moves: Moves::default(),
            listed: false,
            cold_rates: HashMap::new(),
            evacuated: HashSet::new(),
            allowances: HashMap::new(),
            suspects: Suspects::new(HOLD),
            store_lost: None,
            holders: Holders::default(),
            reports: RouterReports::default(),
            number: 0,
        }
    }

    /// Takes the number of routers that share the fleet's bounds.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Takes the number of routers that report the state of version moves before this one.
    pub fn set_rank(&mut self, rank: u32) {
        self.moves.set_rank(rank);
    }

    /// Takes all orders of version moves that are in force.
    pub fn set_moves(&mut self, orders: Vec<MoveOrder>, now: Time) {
        self.moves.set_orders(orders, now);
    }

    /// Takes the state of a version move that operators can read.
    pub fn move_reported(&mut self, order: &MoveOrder, progress: Progress) {
        self.moves.reported(order, progress);
    }

    /// Takes another router's verdict on a version move.
    pub fn move_judged(&mut self, step: &MoveName, verdict: Verdict) {
        self.moves.judged(step, verdict);
    }

    /// Takes what another router has counted of a version move.
    pub fn learn_evidence(&mut self, router: &ProcessName, evidence: &Evidence) {
        self.moves.learn(router, evidence);
    }

    /// What this router has counted of version moves.
    pub fn evidence(&self) -> Vec<Evidence> {
        self.moves.evidence()
    }

    /// Verdicts on version moves, for other routers.
    pub fn verdicts(&self) -> Vec<Judgement> {
        self.moves.verdicts()
    }

    /// The state of every version move, and what this router has to report of it now.
    pub fn moves(&mut self, now: Time) -> Vec<MoveState> {
        self.moves.states(&self.targets, now)
    }

    /// The state as people read it.
    pub fn inspect(&mut self, now: Time) -> SteerState {
        let targets = self.targets.iter();
        let mut targets: Vec<_> = targets.map(|entry| TargetState::new(entry, now)).collect();
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        let mut moves: Vec<MoveLine> = self.moves(now).into_iter().map(Into::into).collect();
        moves.sort_by(|a, b| a.service.cmp(&b.service));
        let mut evacuated: Vec<_> = self.evacuated.iter().cloned().collect();
        evacuated.sort();
        SteerState {
            routers: self.routers,
            evacuated,
            suspects: self.suspects.marks().count(),
            contexts: self.holders.len(),
            targets,
            moves,
        }
    }

    /// Takes the rates that cold targets of the services bear, in requests a second.
    pub fn set_cold_rates(&mut self, rates: HashMap<ServiceName, f64>) {
        self.cold_rates = rates;
    }

    /// Takes the zones that get no work.
    pub fn set_evacuated(&mut self, zones: HashSet<ZoneName>) {
        self.evacuated = zones;
    }

    /// Records that the store did not answer at `now`.
    pub fn store_lost(&mut self, now: Time) {
        self.store_lost = Some(now);
    }

    /// Takes a target's record.
    pub fn put(&mut self, record: TargetRecord, now: Time) {
        let Some(entry) = self.targets.get_mut(&record.name) else {
            let mut entry = Estimate::new(record, now);
            if !self.listed && entry.record.cold.is_zero() {
                // It was there before this router.
                entry.known_since = Time::ZERO;
            }
            entry.elsewhere = self.reports.open_at(&entry.record.name);
            self.targets.insert(entry);
            return;
        };
        if entry.record.service != record.service {
            self.targets.remove(&record.name);
            return self.put(record, now);
        }
        entry.lapses = None;
        if entry.record.life != record.life {
            let broken = std::mem::take(&mut entry.broken);
            let mut fresh = Estimate::new(record, now);
            fresh.outstanding = entry.outstanding;
            fresh.elsewhere = entry.elsewhere;
            let name = fresh.record.name.clone();
            *entry = fresh;
            self.crashed(&name, broken, now);
            return;
        }
        entry.cold_until = now + record.cold;
        entry.record = record;
    }

    /// Removes a target whose entry is gone.
    pub fn remove(&mut self, name: &TargetName, now: Time) {
        let outage = self
            .store_lost
            .is_some_and(|lost| now.since(lost) < LAPSE_WINDOW);
        match self.targets.get_mut(name) {
            Some(entry) if outage => {
                // The server may live and have had no way to renew its entry.
                entry.lapses.get_or_insert(now + LAPSE_GRACE);
            }
            Some(_) => self.targets.remove(name),
            None => {}
        }
    }

    /// Removes every target that is not listed.
    pub fn retain(&mut self, listed: &HashSet<TargetName>, now: Time) {
        self.listed = true;
        let gone: Vec<_> = self
            .targets
            .names()
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect();
        for name in gone {
            self.remove(&name, now);
        }
    }

    /// Chooses a target; `random` is uniform in 0..1.
    ///
    /// # Errors
    ///
    /// Fails when no target can take the request, its content is held, or the budget for repeats
    /// is used up.
    pub fn choose(&mut self, want: &Want<'_>, random: f64, now: Time) -> Result<Choice, Refusal> {
        let refusal = |code| Refusal {
            code,
            after: RETRY_AFTER,
        };
        if self.suspects.standing(want.content, now) == Standing::Held {
            return Err(refusal(Code::Held));
        }
        self.reports.expire(&mut self.targets, now);
        let (name, mean) = self
            .pick(want, random, now)
            .ok_or_else(|| refusal(Code::NoTarget))?;
        let bound = self.retry;
        let allowance = self
            .allowances
            .entry(want.service.clone())
            .or_insert_with(|| Allowance::new(bound));
        if want.repeat {
            if !allowance.take(self.routers, now) {
                return Err(refusal(Code::Overloaded));
            }
        } else if want.tried.is_empty() {
            allowance.first(now);
        }
        let source = self
            .holders
            .source(want.contexts, &name, &self.targets, now);
        let Some(entry) = self.targets.get_mut(&name) else {
            return Err(refusal(Code::NoTarget));
        };
        let choice = Choice {
            source,
            target: entry.record.clone(),
            load: entry.load(now),
            mean,
            load_age: entry
                .named
                .map(|(_, at)| now.since(at))
                .filter(|age| *age < LOAD_LIFE),
        };
        entry.outstanding += 1;
        entry.since_named += 1;
        if now < entry.cold_until {
            entry.cold_sent.push_back(now);
            if entry.cold_sent.len() > MAX_COLD_SENT {
                entry.cold_sent.pop_front();
            }
        }
        Ok(choice)
    }

    fn pick(&mut self, want: &Want<'_>, random: f64, now: Time) -> Option<(TargetName, f64)> {
        let (mut sum, mut counted) = (0.0, 0.0);
        let (mut bad_sum, mut usable) = (0.0, 0_u32);
        let evacuated = &self.evacuated;
        self.targets.for_each_target(want.service, |entry| {
            if !entry.is_usable(evacuated, now) {
                // The fleet's bound on loads counts targets of evacuated zones, which are idle.
                let idle = evacuated.contains(&entry.record.zone);
                counted += if idle { 1.0 } else { 0.0 };
                return;
            }
            entry.decay(now);
            sum += entry.load(now);
            counted += 1.0;
            bad_sum += entry.failure_share();
            usable += 1;
        });
        let mean = sum / f64::max(counted, 1.0);
        let found = self.targets.service_targets(want.service).filter(|entry| {
            entry.is_usable(&self.evacuated, now) && !want.tried.contains(&entry.record.name)
        });
        let rate = self.cold_rates.get(want.service);
        let cold_rate = rate.map_or(f64::INFINITY, |rate| rate / f64::from(self.routers));
        let ranked = found.filter_map(|entry| {
            let others =
                (bad_sum - entry.failure_share()) / f64::from(usable.saturating_sub(1).max(1));
            let rank = preference::rank(entry, others, cold_rate, now)?;
            Some((rank, entry))
        });
        let context = want.contexts.last().copied();
        let version = self.moves.choose(want.service, context, random, now);
        let mut all = Vec::with_capacity(usable as usize);
        all.extend(ranked);
        let ranked = version.of(all, &self.targets);
        let best = ranked.iter().map(|(rank, _)| *rank).min()?;
        let entries = ranked
            .iter()
            .filter(|(rank, _)| *rank == best)
            .map(|(_, entry)| *entry);
        let chosen = match context {
            Some(context) => preference::warmest(entries, context, mean, now),
            None => preference::idlest(entries, &self.zone, random, now),
        };
        chosen.map(|entry| (entry.record.name.clone(), mean))
    }

    /// Takes the load that a target named in an answer.
    pub fn named(&mut self, target: &TargetName, load: TargetLoad, now: Time) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.named = Some((load, now));
            entry.since_named = 0;
        }
    }

    /// Takes what another router says of its requests.
    pub fn learn_report(&mut self, router: &ProcessName, report: &OpenReport, now: Time) {
        let is_new = self.reports.record(router, report, &mut self.targets, now);
        for (context, target) in report.placed.iter().filter(|_| is_new) {
            self.holders.learn(*context, target, &self.targets, now);
        }
    }

    /// The report of this router's requests for the others.
    pub fn report(&mut self) -> OpenReport {
        self.number += 1;
        let mut report = OpenReport {
            number: self.number,
            counts: Vec::new(),
            placed: self.holders.report(),
        };
        let busy = self.targets.iter().filter(|entry| entry.outstanding > 0);
        let open = busy.map(|entry| (entry.record.name.clone(), entry.outstanding));
        report.add_busiest(open.collect());
        report
    }

    /// Takes a crash that another router put down to a request.
    pub fn learn_crash(
        &mut self,
        content: Fingerprint,
        target: &TargetName,
        team: &TeamName,
        at: Time,
    ) {
        self.suspects.mark(content, team, target, at);
    }

    /// Requests that were running when targets crashed.
    pub fn crashes(&self) -> impl Iterator<Item = (Fingerprint, &Mark)> {
        self.suspects.marks()
    }

    /// Records the end of a request at `target`.
    pub fn ended(&mut self, target: &TargetName, finished: &Finished<'_>, now: Time) {
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        entry.outstanding = entry.outstanding.saturating_sub(1);
        entry.since_named -= 1;
        self.moves.count(entry, finished, now);
        let content = (finished.content, finished.team);
        match finished.end {
            End::Cancelled => {}
            End::Served => {
                entry.count(false, now);
                entry.avoided = 0;
            }
            End::Failed(Failure::NotSent) => {
                entry.avoid(now);
                let broken = std::mem::take(&mut entry.broken);
                self.crashed(target, broken, now);
            }
            End::Failed(Failure::Declined) => entry.full_until = now + FULL,
            End::Failed(Failure::WrongTarget) => entry.avoid(now),
            End::Failed(Failure::Broken) => {
                entry.count(true, now);
                entry
                    .broken
                    .retain(|(_, _, at)| now.since(*at) < CRASH_WINDOW);
                entry.broken.push((content.0, content.1.clone(), now));
            }
            End::Failed(Failure::Silent | Failure::Failed) => entry.count(true, now),
        }
    }

    fn crashed(
        &mut self,
        target: &TargetName,
        broken: Vec<(Fingerprint, TeamName, Time)>,
        now: Time,
    ) {
        let running: Vec<_> = broken
            .into_iter()
            .filter(|(_, _, at)| now.since(*at) < CRASH_WINDOW)
            .map(|(content, team, _)| (content, team))
            .collect();
        if !running.is_empty() {
            self.suspects.crashed(target, &running, now);
        }
    }
}
