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
    reports::{OpenReport, Reports},
    roster::Roster,
    target::{ReportedLoad, TargetRecord},
    time::Time,
};

/// Time for which a target that declined a request is chosen last.
const DECLINE_COOLDOWN: Duration = Duration::from_millis(150);
/// Time after a failed call of the store in which entries may be gone only because of the outage.
const OUTAGE_WINDOW: Duration = Duration::from_secs(2);
/// Time for which such entries are still used. With the window it stays below the 3 s after an
/// outage from which on a target that has left must get nothing.
const EXPIRY_GRACE: Duration = Duration::from_secs(1);
/// Time over which broken connections are put down to a crash that shows afterwards.
const CRASH_ATTRIBUTION_WINDOW: Duration = Duration::from_secs(2);
/// Time for which content that crashed targets is held.
const HOLD_DURATION: Duration = Duration::from_secs(60);
/// Requests to a cold target that are remembered.
const MAX_COLD_SENT: usize = 256;
/// Pause that refused callers are asked to make when no target can take a request.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// What a request asks for.
#[derive(Debug, Clone)]
pub struct Criteria<'a> {
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
    pub context_source: Option<SocketAddr>,
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
pub struct TargetSelector {
    zone: ZoneName,
    retry: RetryBound,
    routers: u32,
    targets: Roster,
    moves: Moves,
    /// Whether the targets have been listed since the router's start.
    initial_list_received: bool,
    cold_rates: HashMap<ServiceName, f64>,
    evacuated: HashSet<ZoneName>,
    allowances: HashMap<ServiceName, Allowance>,
    suspects: Suspects,
    store_failed_at: Option<Time>,
    holders: Holders,
    reports: Reports,
    /// Reports made for other routers.
    reports_sent: u64,
}

impl TargetSelector {
    /// Starts without targets, for a router in `zone`.
    pub fn new(zone: ZoneName, retry: RetryBound) -> Self {
        Self {
            zone,
            retry,
            routers: 1,
            targets: Roster::default(),
            moves: Moves::default(),
            initial_list_received: false,
            cold_rates: HashMap::new(),
            evacuated: HashSet::new(),
            allowances: HashMap::new(),
            suspects: Suspects::new(HOLD_DURATION),
            store_failed_at: None,
            holders: Holders::default(),
            reports: Reports::default(),
            reports_sent: 0,
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
    pub fn record_move_progress(&mut self, order: &MoveOrder, progress: Progress) {
        self.moves.reported(order, progress);
    }

    /// Takes another router's verdict on a version move.
    pub fn record_move_verdict(&mut self, step: &MoveName, verdict: Verdict) {
        self.moves.judged(step, verdict);
    }

    /// Takes what another router has counted of a version move.
    pub fn record_evidence(&mut self, router: &ProcessName, evidence: &Evidence) {
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
    pub fn record_store_failure(&mut self, now: Time) {
        self.store_failed_at = Some(now);
    }

    /// Takes a target's record.
    pub fn put(&mut self, record: TargetRecord, now: Time) {
        let Some(entry) = self.targets.get_mut(&record.name) else {
            let mut entry = Estimate::new(record, now);
            if !self.initial_list_received && entry.record.cold.is_zero() {
                // It was there before this router.
                entry.known_since = Time::ZERO;
            }
            entry.outstanding_elsewhere = self.reports.at(&entry.record.name);
            self.targets.insert(entry);
            return;
        };
        if entry.record.service != record.service {
            self.targets.remove(&record.name);
            return self.put(record, now);
        }
        entry.expires_at = None;
        if entry.record.incarnation != record.incarnation {
            let broken = std::mem::take(&mut entry.broken_requests);
            let mut fresh = Estimate::new(record, now);
            fresh.outstanding = entry.outstanding;
            fresh.outstanding_elsewhere = entry.outstanding_elsewhere;
            let name = fresh.record.name.clone();
            *entry = fresh;
            self.mark_running_requests(&name, broken, now);
            return;
        }
        entry.cold_until = now + record.cold;
        entry.record = record;
    }

    /// Removes a target whose entry is gone.
    pub fn remove(&mut self, name: &TargetName, now: Time) {
        let is_outage = self
            .store_failed_at
            .is_some_and(|lost| now.since(lost) < OUTAGE_WINDOW);
        match self.targets.get_mut(name) {
            Some(entry) if is_outage => {
                // The server may live and have had no way to renew its entry.
                entry.expires_at.get_or_insert(now + EXPIRY_GRACE);
            }
            Some(_) => self.targets.remove(name),
            None => {}
        }
    }

    /// Removes every target that is not listed.
    pub fn retain(&mut self, listed: &HashSet<TargetName>, now: Time) {
        self.initial_list_received = true;
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
    pub fn choose(
        &mut self,
        criteria: &Criteria<'_>,
        random: f64,
        now: Time,
    ) -> Result<Choice, Refusal> {
        let refusal = |code| Refusal {
            code,
            after: RETRY_AFTER,
        };
        if self.suspects.standing(criteria.content, now) == Standing::Held {
            return Err(refusal(Code::Held));
        }
        self.reports.expire(&mut self.targets, now);
        let (name, mean) = self
            .select(criteria, random, now)
            .ok_or_else(|| refusal(Code::NoTarget))?;
        let bound = self.retry;
        let allowance = self
            .allowances
            .entry(criteria.service.clone())
            .or_insert_with(|| Allowance::new(bound));
        if criteria.repeat {
            if !allowance.take(self.routers, now) {
                return Err(refusal(Code::Overloaded));
            }
        } else if criteria.tried.is_empty() {
            allowance.first(now);
        }
        let context_source =
            self.holders
                .assign_and_locate(criteria.contexts, &name, &self.targets, now);
        let Some(entry) = self.targets.get_mut(&name) else {
            return Err(refusal(Code::NoTarget));
        };
        let choice = Choice {
            context_source,
            target: entry.record.clone(),
            load: entry.load(now),
            mean,
            load_age: entry
                .reported_load
                .map(|(_, at)| now.since(at))
                .filter(|age| *age < LOAD_LIFE),
        };
        entry.outstanding += 1;
        entry.change_since_report += 1;
        if now < entry.cold_until {
            entry.cold_sent.push_back(now);
            if entry.cold_sent.len() > MAX_COLD_SENT {
                entry.cold_sent.pop_front();
            }
        }
        Ok(choice)
    }

    fn select(
        &mut self,
        criteria: &Criteria<'_>,
        random: f64,
        now: Time,
    ) -> Option<(TargetName, f64)> {
        let (mut sum, mut counted) = (0.0, 0.0);
        let (mut failure_sum, mut usable) = (0.0, 0_u32);
        let evacuated = &self.evacuated;
        self.targets.each_of(criteria.service, |entry| {
            if !entry.is_usable(evacuated, now) {
                // The fleet's bound on loads counts targets of evacuated zones, which are idle.
                let idle = evacuated.contains(&entry.record.zone);
                counted += if idle { 1.0 } else { 0.0 };
                return;
            }
            entry.decay(now);
            sum += entry.load(now);
            counted += 1.0;
            failure_sum += entry.failure_share();
            usable += 1;
        });
        let mean = sum / f64::max(counted, 1.0);
        let found = self.targets.of(criteria.service).filter(|entry| {
            entry.is_usable(&self.evacuated, now) && !criteria.tried.contains(&entry.record.name)
        });
        let rate = self.cold_rates.get(criteria.service);
        let cold_rate = rate.map_or(f64::INFINITY, |rate| rate / f64::from(self.routers));
        let ranked = found.filter_map(|entry| {
            let others_failure_share =
                (failure_sum - entry.failure_share()) / f64::from(usable.saturating_sub(1).max(1));
            let rank = preference::rank(entry, others_failure_share, cold_rate, now)?;
            Some((rank, entry))
        });
        let context = criteria.contexts.last().copied();
        let version = self.moves.choose(criteria.service, context, random, now);
        let mut all = Vec::with_capacity(usable as usize);
        all.extend(ranked);
        let ranked = version.of(all, &self.targets);
        let best = ranked.iter().map(|(rank, _)| *rank).min()?;
        let entries = ranked
            .iter()
            .filter(|(rank, _)| *rank == best)
            .map(|(_, entry)| *entry);
        let chosen = match context {
            Some(context) => preference::choose_for_context(entries, context, mean, now),
            None => preference::choose_least_loaded(entries, &self.zone, random, now),
        };
        chosen.map(|entry| (entry.record.name.clone(), mean))
    }

    /// Takes the load that a target named in an answer.
    pub fn record_load(&mut self, target: &TargetName, load: ReportedLoad, now: Time) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.reported_load = Some((load, now));
            entry.change_since_report = 0;
        }
    }

    /// Takes what another router says of its requests.
    pub fn record_report(&mut self, router: &ProcessName, report: &OpenReport, now: Time) {
        let is_new = self.reports.learn(router, report, &mut self.targets, now);
        for (context, target) in report.placed.iter().filter(|_| is_new) {
            self.holders
                .record_announced(*context, target, &self.targets, now);
        }
    }

    /// The report of this router's requests for the others.
    pub fn next_report(&mut self) -> OpenReport {
        self.reports_sent += 1;
        let mut report = OpenReport {
            number: self.reports_sent,
            counts: Vec::new(),
            placed: self.holders.next_placements(),
        };
        let busy = self.targets.iter().filter(|entry| entry.outstanding > 0);
        let open = busy.map(|entry| (entry.record.name.clone(), entry.outstanding));
        report.fill(open.collect());
        report
    }

    /// Takes a crash that another router put down to a request.
    pub fn record_crash(
        &mut self,
        content: Fingerprint,
        target: &TargetName,
        team: &TeamName,
        at: Time,
    ) {
        self.suspects.mark(content, team, target, at);
    }

    /// Requests that were running when targets crashed.
    pub fn crash_marks(&self) -> impl Iterator<Item = (Fingerprint, &Mark)> {
        self.suspects.marks()
    }

    /// Records the end of a request at `target`.
    pub fn record_end(&mut self, target: &TargetName, finished: &Finished<'_>, now: Time) {
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        entry.outstanding = entry.outstanding.saturating_sub(1);
        entry.change_since_report -= 1;
        self.moves.count(entry, finished, now);
        let content = (finished.content, finished.team);
        match finished.end {
            End::Cancelled => {}
            End::Served => {
                entry.count_result(false, now);
                entry.consecutive_backoffs = 0;
            }
            End::Failed(Failure::NotSent) => {
                entry.start_backoff(now);
                let broken = std::mem::take(&mut entry.broken_requests);
                self.mark_running_requests(target, broken, now);
            }
            End::Failed(Failure::Declined) => entry.full_until = now + DECLINE_COOLDOWN,
            End::Failed(Failure::WrongTarget) => entry.start_backoff(now),
            End::Failed(Failure::Broken) => {
                entry.count_result(true, now);
                entry
                    .broken_requests
                    .retain(|(_, _, at)| now.since(*at) < CRASH_ATTRIBUTION_WINDOW);
                entry
                    .broken_requests
                    .push((content.0, content.1.clone(), now));
            }
            End::Failed(Failure::Silent | Failure::Failed) => entry.count_result(true, now),
        }
    }

    fn mark_running_requests(
        &mut self,
        target: &TargetName,
        broken: Vec<(Fingerprint, TeamName, Time)>,
        now: Time,
    ) {
        let running: Vec<_> = broken
            .into_iter()
            .filter(|(_, _, at)| now.since(*at) < CRASH_ATTRIBUTION_WINDOW)
            .map(|(content, team, _)| (content, team))
            .collect();
        if !running.is_empty() {
            self.suspects.crashed(target, &running, now);
        }
    }
}
