//! Target selection for the services of a router: tracks the load and health of the targets and
//! chooses one for each request.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use crate::{
    budget::{FleetRetryBudget, RetryBound},
    changeover::{MoveOrder, MoveProgress, RouterRun},
    code::Code,
    crash::{ContentStatus, Suspects},
    direct::Failure,
    dissemination::MoveDecision,
    estimate::{BrokenRequest, Estimate, LOAD_TTL},
    fleet::FleetPart,
    holders::Holders,
    id::{Fingerprint, PartId},
    inspect::{MoveSummary, RoutingState, TargetState},
    limit,
    moves::{MoveState, MoveVerdict, Moves, VersionCounts},
    name::{MoveName, ProcessName, ServiceName, TargetName, TeamName, ZoneName},
    outcome::{End, Finished},
    pace::PaceCause,
    parts::PartMarks,
    preference::{self, Placement},
    reports::{OpenReport, RouterReports},
    speed::ServiceTimes,
    target::{ReportedLoad, TargetRecord},
    targets::TargetTable,
    time::Time,
    trace::{PartCause, TraceEvent},
};
use fleet::LiveRouters;
use notices::LapsedStatements;

mod crashes;
mod fleet;
mod notices;
mod pace;
mod retries;
mod rooms;
mod sums;

/// Time for which a target counts as full after it declined a request.
const DECLINE_COOLDOWN: Duration = Duration::from_millis(150);
/// Time after a failed store call in which a missing entry may be due to the outage alone.
const OUTAGE_WINDOW: Duration = Duration::from_secs(2);
/// Time for which a target is still used after its entry went missing within `OUTAGE_WINDOW`. The
/// sum of both must not exceed 3 s: that long after an outage, a target that has left must not
/// receive any request.
const EXPIRY_GRACE: Duration = Duration::from_secs(1);
/// Time for which a request with a broken connection is remembered, so that it becomes a suspect if
/// its target turns out to have crashed.
const CRASH_ATTRIBUTION_WINDOW: Duration = Duration::from_secs(2);
/// Time for which a crash counts against the content that may have caused it. Content that has
/// crashed two targets within this time is refused.
const HOLD_DURATION: Duration = Duration::from_secs(60);
/// Delay after which a caller that was refused may retry.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Properties of a request that determine the choice of its target.
#[derive(Debug, Clone)]
pub struct Criteria<'a> {
    /// Service whose targets are considered.
    pub service: &'a ServiceName,
    /// Hashes of the prompt prefixes that other requests may share, the shortest first: of the
    /// first part, of the first two parts, and so on. The last one identifies the request's
    /// context. Empty for a request without context.
    pub contexts: &'a [u64],
    /// Targets of earlier attempts, which are excluded.
    pub tried: &'a [TargetName],
    /// Whether the attempt is a retry that counts against the retry budget.
    pub is_retry: bool,
    /// The only target that is considered; `None` for all.
    pub only: Option<&'a TargetName>,
    /// Whether only targets are considered that are not known to be full.
    pub needs_slot: bool,
    /// Hash of team and content, which identifies requests that crash targets.
    pub content: Fingerprint,
    /// Shared parts of the request's prompt.
    pub parts: &'a [PartId],
    /// Team that sent the request.
    pub team: &'a TeamName,
}

/// The chosen target, with the figures that led to the choice.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Record of the chosen target.
    pub target: TargetRecord,
    /// Estimated load of the target in requests, before this one.
    pub load: f64,
    /// Estimated mean load of the service's targets, in requests.
    pub mean: f64,
    /// Age of the last load report of the target; `None` when it has none that is recent enough.
    pub load_age: Option<Duration>,
    /// Address of another target that is likely to hold the request's context or a prefix of it.
    /// `None` when the chosen target is likely to hold it, or no target is.
    pub context_source: Option<SocketAddr>,
}

/// Result when no target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SelectionRefusal {
    /// Result code for the caller.
    pub code: Code,
    /// Delay after which the caller may retry.
    pub after: Duration,
    /// Prompt part for which the request is held; `None` for another reason.
    pub part: Option<PartId>,
}

/// Target selection state of one router.
#[derive(Debug)]
pub struct TargetSelector {
    zone: ZoneName,
    retry: RetryBound,
    /// Number of live routers, this one included, and how many of them precede this one.
    live: LiveRouters,
    /// The router's part in the retry budget, the rates of cold targets and the limits that targets
    /// state.
    fleet: FleetPart,
    /// Since when it has this part.
    fleet_since: Time,
    /// Time of day at the epoch of the router's own times.
    unix_offset: Duration,
    /// Choices that did not consider a cold target since it was not this router's turn there.
    cold_withheld: u64,
    targets: TargetTable,
    moves: Moves,
    /// Whether a full list of targets has arrived since the router started.
    initial_list_received: bool,
    /// Requests per second that a cold target of each service can serve.
    cold_rates: HashMap<ServiceName, f64>,
    service_times: ServiceTimes,
    evacuated: HashSet<ZoneName>,
    retry_budgets: HashMap<ServiceName, FleetRetryBudget>,
    suspects: Suspects,
    parts: PartMarks,
    store_failed_at: Option<Time>,
    holders: Holders,
    statements: LapsedStatements,
    reports: RouterReports,
    /// Number of reports made for other routers, used to number them.
    reports_sent: u64,
    /// Open and waiting requests of this router by service, for its next report.
    demand: Vec<(ServiceName, u32)>,
    trace: Vec<TraceEvent>,
}

impl TargetSelector {
    /// Creates a selector without targets, for a router in `zone`.
    pub fn new(zone: ZoneName, retry: RetryBound) -> Self {
        Self {
            zone,
            retry,
            live: LiveRouters::default(),
            fleet: FleetPart::fixed(1),
            fleet_since: Time::ZERO,
            unix_offset: Duration::ZERO,
            cold_withheld: 0,
            targets: TargetTable::default(),
            moves: Moves::default(),
            initial_list_received: false,
            cold_rates: HashMap::new(),
            service_times: ServiceTimes::default(),
            evacuated: HashSet::new(),
            retry_budgets: HashMap::new(),
            suspects: Suspects::new(HOLD_DURATION),
            parts: PartMarks::default(),
            store_failed_at: None,
            holders: Holders::default(),
            statements: LapsedStatements::default(),
            reports: RouterReports::default(),
            reports_sent: 0,
            demand: Vec::new(),
            trace: Vec::new(),
        }
    }

    /// Removes and returns what has changed since the last call, for the log.
    pub fn take_trace(&mut self, now: Time) -> Vec<TraceEvent> {
        self.trace_retries(now);
        std::mem::take(&mut self.trace)
    }

    /// Replaces the orders of version moves by all that are in force.
    pub fn set_moves(&mut self, orders: Vec<MoveOrder>, now: Time) {
        self.moves.set_orders(orders, now);
    }

    /// Records the state of a version move that has been published to operators.
    pub fn record_move_progress(&mut self, order: &MoveOrder, progress: MoveProgress) {
        self.moves.set_reported(order, progress);
    }

    /// Records another router's verdict on a version move.
    pub fn record_move_verdict(&mut self, name: &MoveName, verdict: MoveDecision) {
        self.moves.apply_verdict(name, verdict);
    }

    /// Records the answers that another run of a router has counted for a version move.
    pub fn record_version_counts(&mut self, run: &RouterRun, counts: &VersionCounts) {
        self.moves.apply_version_counts(run, counts);
    }

    /// Answers that this router has counted for version moves.
    pub fn version_counts(&self) -> Vec<VersionCounts> {
        self.moves.version_counts()
    }

    /// Verdicts on version moves, to be sent to other routers.
    pub fn verdicts(&self) -> Vec<MoveVerdict> {
        self.moves.verdicts()
    }

    /// State of every version move, with the progress that this router has to publish now.
    pub fn moves(&mut self, now: Time) -> Vec<MoveState> {
        self.moves.states(&self.targets, now)
    }

    /// A snapshot of the state for operators.
    pub fn inspect(&mut self, now: Time) -> RoutingState {
        let targets = self.targets.iter();
        let mut targets: Vec<_> = targets.map(|entry| TargetState::new(entry, now)).collect();
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        let mut moves: Vec<MoveSummary> = self.moves(now).into_iter().map(Into::into).collect();
        moves.sort_by(|a, b| a.service.cmp(&b.service));
        let mut evacuated: Vec<_> = self.evacuated.iter().cloned().collect();
        evacuated.sort();
        RoutingState {
            routers: self.live.count,
            share: self.share_state(now),
            cold_withheld: self.cold_withheld,
            evacuated,
            retries: self.inspect_retries(now),
            suspects: self.suspects.marks().count(),
            parts: self.parts.inspect(now),
            contexts: self.holders.len(),
            targets,
            moves,
        }
    }

    /// Sets the rates that a cold target of each service can serve, in requests per second of all
    /// routers together. Without a rate, or with one above the highest that is obeyed, cold targets are
    /// not limited.
    pub fn set_cold_rates(&mut self, mut rates: HashMap<ServiceName, f64>) {
        rates.retain(|_, rate| !limit::is_unlimited(*rate));
        self.cold_rates = rates;
    }

    /// Replaces the zones whose targets receive no requests.
    pub fn set_evacuated(&mut self, zones: HashSet<ZoneName>) {
        self.evacuated = zones;
    }

    /// Records that a call of the store failed at `now`.
    pub fn record_store_failure(&mut self, now: Time) {
        self.store_failed_at = Some(now);
    }

    /// Adds or updates a target. A new incarnation under a known name means that the target
    /// restarted: its estimate is reset except for the outstanding requests, and requests that
    /// broke recently become suspects of a crash. A target whose service changed is added anew.
    pub fn put(&mut self, record: TargetRecord, now: Time) {
        let Some(entry) = self.targets.get_mut(&record.name) else {
            let mut entry = Estimate::new(record, now);
            if !self.initial_list_received && entry.record.cold.is_zero() {
                // The target was registered before this router started.
                entry.known_since = Time::ZERO;
            }
            if entry.is_cold(now) {
                entry.pace.start(PaceCause::Started, now);
            }
            entry.outstanding_elsewhere = self.reports.open_at(&entry.record.name);
            self.trace.extend(self.statements.restore(&mut entry, now));
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
            if entry.is_cold(now) {
                entry.pace.start(PaceCause::Started, now);
            }
            self.mark_running_requests(&name, broken, now);
            return;
        }
        if !entry.is_cold(now) && !record.cold.is_zero() {
            entry.pace.start(PaceCause::Started, now);
        }
        entry.cold_until = now + record.cold;
        entry.record = record;
    }

    /// Removes a target whose entry no longer exists. After a recent failure of the store, the
    /// target is used for `EXPIRY_GRACE` more.
    pub fn remove(&mut self, name: &TargetName, now: Time) {
        let is_outage = self
            .store_failed_at
            .is_some_and(|failed_at| now.since(failed_at) < OUTAGE_WINDOW);
        match self.targets.get_mut(name) {
            Some(entry) if is_outage => {
                // The target may be running but unable to renew its entry during the outage.
                entry.expires_at.get_or_insert(now + EXPIRY_GRACE);
            }
            Some(entry) => {
                self.statements.keep(entry, now);
                self.targets.remove(name);
            }
            None => {}
        }
    }

    /// Removes every target that is not in the full list `listed`, as [`Self::remove`] does.
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

    /// Chooses a target and counts the request as outstanding there. `random` is uniform in 0..1
    /// and decides between versions and between equal targets.
    ///
    /// # Errors
    ///
    /// Fails when no target can accept the request, its content is held after crashes, or the retry
    /// budget is exhausted.
    pub fn choose(
        &mut self,
        criteria: &Criteria<'_>,
        random: f64,
        now: Time,
    ) -> Result<Choice, SelectionRefusal> {
        let refusal = |code| SelectionRefusal {
            code,
            after: RETRY_AFTER,
            part: None,
        };
        if let Some(hold) = self.parts.held(criteria.parts, criteria.team, now) {
            return Err(SelectionRefusal {
                code: Code::Held,
                after: hold.remaining,
                part: Some(hold.part),
            });
        }
        if self.suspects.status(criteria.content, now) == ContentStatus::Held {
            return Err(refusal(Code::Held));
        }
        self.reports.expire(&mut self.targets, now);
        let (name, mean) = self
            .select(criteria, random, now)
            .ok_or_else(|| SelectionRefusal {
                after: self.time_to_next_place(criteria.service, now),
                ..refusal(Code::NoTarget)
            })?;
        if !self.count_attempt(criteria, now) {
            return Err(refusal(Code::Overloaded));
        }
        let turns = self.fleet_turns();
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
                .filter(|age| *age < LOAD_TTL),
        };
        entry.outstanding += 1;
        entry.change_since_report += 1;
        if let Some(turns) = turns {
            entry.limit.take(&turns, now);
            if entry.is_cold(now) {
                let rate = self.cold_rates.get(criteria.service);
                let rate = rate.copied().unwrap_or(f64::INFINITY);
                entry.pace.record_cold_sent(rate, &turns, now);
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
        let mut service = sums::ServiceSums::default();
        let (evacuated, trace) = (&self.evacuated, &mut self.trace);
        self.targets.for_each_target(criteria.service, |entry| {
            let is_evacuated = evacuated.contains(&entry.record.zone);
            entry.pace.note_evacuated(is_evacuated, now);
            if !entry.is_usable(evacuated, now) {
                // The load bound of the fleet counts the idle targets of evacuated zones as well.
                service.counted += if is_evacuated { 1.0 } else { 0.0 };
                return;
            }
            entry.decay(now);
            pace::update(entry, trace, now);
            service.add(entry, now);
        });
        let mean = service.sum / f64::max(service.counted, 1.0);
        let turns = self.fleet_turns();
        let untried = self
            .targets
            .service_targets(criteria.service)
            .filter(|entry| {
                entry.is_usable(&self.evacuated, now)
                    && !criteria.tried.contains(&entry.record.name)
                    && entry.limit.wait(turns.as_ref(), now).is_zero()
                    && criteria.only.is_none_or(|only| entry.record.name == *only)
                    && (!criteria.needs_slot || entry.may_have_free_slot(now))
            });
        let cold_rate = self.cold_rates.get(criteria.service);
        let cold_rate = cold_rate.copied().unwrap_or(f64::INFINITY);
        let mut withheld = false;
        let ranked = untried.filter_map(|entry| {
            let others_failure_share = (service.failures - entry.failure_share())
                / f64::from(service.usable.saturating_sub(1).max(1));
            let rank = preference::rank(entry, others_failure_share, now);
            let may_send =
                !entry.is_cold(now) || entry.pace.may_send_cold(cold_rate, turns.as_ref(), now);
            withheld |= !may_send;
            may_send.then_some((rank, entry))
        });
        let context = criteria.contexts.last().copied();
        let version = self.moves.choose(criteria.service, context, random, now);
        let mut all = Vec::with_capacity(service.usable as usize);
        all.extend(ranked);
        self.cold_withheld += u64::from(withheld);
        let ranked = version.filter(all, &self.targets);
        let best = ranked.iter().map(|(rank, _)| *rank).min()?;
        let entries = ranked
            .iter()
            .filter(|(rank, _)| *rank == best)
            .map(|(_, entry)| *entry);
        let placement = Placement {
            mean,
            warm_mean: service.warm_mean(),
            mean_slots: service.slots / f64::from(service.usable.max(1)),
            zone: &self.zone,
            now,
        };
        let chosen = match context {
            Some(context) => {
                let holds = |entry: &Estimate| self.holders.is_assigned(context, entry, now);
                placement.choose_for_context(entries, context, holds)
            }
            None => placement.choose_least_loaded(entries, random),
        };
        chosen.map(|entry| (entry.record.name.clone(), mean))
    }

    /// Records the load that a target reported with an answer.
    pub fn record_load(&mut self, target: &TargetName, load: ReportedLoad, now: Time) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.reported_load = Some((load, now));
            if let Some(slowness) = load.slowness {
                entry.speed.record_stated(slowness, now);
            }
            entry.change_since_report = 0;
        }
    }

    /// Records another router's report of its outstanding requests and placements. A report that
    /// was recorded before has no effect.
    pub fn record_report(&mut self, router: &ProcessName, report: &OpenReport, now: Time) {
        let is_new = self.reports.record(router, report, &mut self.targets, now);
        for (context, target) in report.placed.iter().filter(|_| is_new) {
            self.holders
                .record_announced(*context, target, &self.targets, now);
        }
    }

    /// Creates the next report of this router's outstanding requests and placements for the others.
    pub fn next_report(&mut self) -> OpenReport {
        self.reports_sent += 1;
        let mut report = OpenReport {
            number: self.reports_sent,
            counts: Vec::new(),
            placed: self.holders.next_placements(),
            demand: Vec::new(),
        };
        report.add_demand(&self.demand);
        let busy = self.targets.iter().filter(|entry| entry.outstanding > 0);
        let open = busy.map(|entry| (entry.record.name.clone(), entry.outstanding));
        report.add_busiest(open.collect());
        report
    }

    /// Records that a target has not run a request with these contexts, which was assigned to it.
    pub fn record_not_run(&mut self, target: &TargetName, contexts: &[u64]) {
        if let Some(target) = self.targets.get(target) {
            self.holders.withdraw(contexts, target);
        }
    }

    /// Records the end of a request at `target` and updates the target's health accordingly. Returns
    /// the target's record when it has to be checked if the target still accepts connections; the
    /// result goes to [`Self::record_probe`].
    pub fn record_end(
        &mut self,
        target: &TargetName,
        finished: &Finished<'_>,
        now: Time,
    ) -> Option<TargetRecord> {
        if finished.answer_begun || finished.end == End::Served {
            for part in self.parts.record_answer(finished.parts, now) {
                self.trace_part(part, PartCause::Answer);
            }
        }
        self.record_pace(target, finished, now);
        let entry = self.targets.get_mut(target)?;
        entry.outstanding = entry.outstanding.saturating_sub(1);
        entry.change_since_report -= 1;
        self.moves.record_answer(entry, finished, now);
        match finished.end {
            End::Cancelled | End::Failed(Failure::Stopping) => {}
            End::Served => {
                entry.count_result(false, now);
                entry.record_held(now.since(finished.sent_at));
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
                    .retain(|request| now.since(request.at) < CRASH_ATTRIBUTION_WINDOW);
                entry.broken_requests.push(BrokenRequest {
                    content: finished.content,
                    team: finished.team.clone(),
                    parts: Arc::clone(finished.parts),
                    sent_at: finished.sent_at,
                    answer_begun: finished.answer_begun,
                    at: now,
                });
                let crashed_at = entry.crashed_at;
                if crashed_at.is_some_and(|at| now.since(at) < CRASH_ATTRIBUTION_WINDOW) {
                    let broken = std::mem::take(&mut entry.broken_requests);
                    self.mark_running_requests(target, broken, now);
                } else if !entry.probing {
                    entry.probing = true;
                    return Some(entry.record.clone());
                }
            }
            End::Failed(Failure::Oversized | Failure::TimedOut | Failure::Failed) => {
                entry.count_result(true, now);
            }
        }
        None
    }
}
