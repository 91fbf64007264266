use {
    super::{
        Effect, Engine, Failure, Start, Stop,
        engine::{RunKey, StartCall},
        stalls,
        tracked_run::{Phase, RESEND_DELAY, StopOrder, TrackedRun},
    },
    std::time::{Duration, Instant},
    work::{
        id,
        registry::{Placement, Registry, State, Void},
    },
};

/// Number of unanswered starts after which a run is given up.
const MAX_START_ATTEMPTS: u32 = 4;

/// Share of the gang timeout within which all starts must be confirmed; the rest is left for stopping the members.
const GANG_START_SHARE: f64 = 0.6;

/// Time for the other members of a gang to report their own ends after one member was done.
const DONE_GRACE: Duration = Duration::from_millis(1000);

/// Minimum time without progress after which a run counts as stalled, whatever its estimate. Progress is reported with
/// each hold.
const STALL_AFTER: Duration = Duration::from_millis(3500);

/// Minimum time without progress after which a run counts as stalled, as a percentage of the caller's estimate.
/// Progress is reported in whole percent, so a long run goes without any for longer.
const STALL_ESTIMATE_PERCENT: u32 = 12;

/// Number of checks in which all runs are checked once, so that a check of many runs does not delay other work.
const CHECK_PARTS: usize = 4;

/// Minimum number of runs in one check.
const MIN_CHECKED: usize = 512;

/// Starts and stops of runs.
impl Engine {
    /// Handles the commit of a proposal and starts the runs that it began.
    pub(super) fn on_proposal_committed(
        &mut self,
        proposal: u64,
        runs: &[(id::Task, Option<u32>)],
        registry: &Registry,
    ) {
        let placements = self
            .proposed_placements
            .shift_remove(&proposal)
            .map_or_else(Vec::new, |proposed| proposed.placements);
        self.proposed_voids.shift_remove(&proposal);
        if let Some(upstream) = self.proposed_ends.shift_remove(&proposal)
            && let Some(session) = self.sessions.get_mut(&upstream)
        {
            session.next_hold = self.now;
            session.may_need_hold = true;
        }
        self.request_plan();
        for (placement, (task, run)) in placements.into_iter().zip(runs) {
            match run {
                Some(run) => self.begin_run(registry, &placement, *run),
                None => log::info!(
                    "event=assign_refused task={task} upstream={}",
                    placement.upstream
                ),
            }
        }
    }

    fn begin_run(&mut self, registry: &Registry, placement: &Placement, run: u32) {
        let key = (placement.task, run);
        // It is gone if its upstream was removed or it was voided after the commit.
        if registry.run(&placement.task, run).is_none() {
            return;
        }
        let Some(step) = registry.step(&placement.task) else {
            return;
        };
        let phase = Phase::Unanswered { next: self.now };
        let mut tracked = TrackedRun::new(
            placement.upstream.clone(),
            placement.born_ms,
            step.reserved(),
            phase,
            self.now,
        );
        let progress = registry.task(&placement.task);
        tracked.resumed = progress.is_some_and(|progress| !progress.checkpoint.is_empty());
        if let Some(progress) = progress {
            tracked.checkpoint.clone_from(&progress.checkpoint);
        }
        self.tracked_runs.insert(key, tracked);
        self.send_start(registry, key);
    }

    fn send_start(&mut self, registry: &Registry, key: RunKey) {
        let (task, run) = key;
        let Some(upstream) = self
            .tracked_runs
            .get(&key)
            .map(|tracked| tracked.upstream.clone())
        else {
            return;
        };
        let (Some(job), Some(progress), Some(target)) = (
            registry.job(task.job),
            registry.task(&task),
            self.target(registry, &upstream),
        ) else {
            return;
        };
        let ticket = self.advice.ticket(&task, &upstream, self.now);
        let call = self.next_number();
        let (now, settings) = (self.now, &self.settings);
        let (Some(session), Some(tracked)) = (
            self.sessions.get_mut(&upstream),
            self.tracked_runs.get_mut(&key),
        ) else {
            return;
        };
        let (Some(least_clock_ms), Some(lease_until_ms)) = (
            session.least_clock_ms(now),
            session.grant_lease(now, settings),
        ) else {
            return;
        };
        tracked.phase = Phase::Sending { call };
        let born_ms = session.born_ms;
        let start_call = StartCall {
            key,
            born_ms,
            least_clock_ms,
        };
        self.start_calls.insert(call, start_call);
        tracked.start_attempts += 1;
        let order = Start {
            task,
            run,
            definition: job.form.clone(),
            lease_until_ms,
            checkpoint: progress.checkpoint.clone(),
            ticket,
        };
        log::info!(
            "event=run_start task={task} run={run} upstream={upstream} service={} queue={} try={} resumed={} waited_ms={} born_ms={born_ms}",
            registry
                .upstream(&upstream)
                .map_or("-", |upstream| &upstream.service),
            job.queue,
            tracked.start_attempts,
            !order.checkpoint.is_empty(),
            self.time_ms.saturating_sub(job.accepted_ms)
        );
        self.effects.push(Effect::Start {
            call,
            target,
            order,
        });
    }

    /// Handles the answer to a start.
    pub(super) fn on_start_answer(
        &mut self,
        call: u64,
        answer: Result<Option<u64>, Failure>,
        registry: &Registry,
    ) {
        let now = self.now;
        let Some(start_call) = self.start_calls.swap_remove(&call) else {
            return;
        };
        let StartCall { key, born_ms, .. } = start_call;
        let Some(tracked) = self
            .tracked_runs
            .get_mut(&key)
            .filter(|tracked| tracked.phase == Phase::Sending { call })
        else {
            return;
        };
        let upstream = tracked.upstream.clone();
        match answer {
            Ok(clock_ms) => {
                tracked.phase = Phase::Started { at: now };
                tracked.progressed_at = now;
                tracked.seen_at = now;
                // Answers to starts don't name the incarnation, but its clock tells.
                if clock_ms.is_some_and(|clock_ms| clock_ms < start_call.least_clock_ms) {
                    log::warn!(
                        "event=start_in_next_incarnation task={} run={} upstream={upstream} born_ms={born_ms}",
                        key.0,
                        key.1
                    );
                    // Until that incarnation has answered a hold, calls to the earlier one may prolong its lease.
                    tracked.open_starts.record_unanswered(now);
                    return;
                }
                tracked.open_starts.record_answer();
                if let Some(session) = self.sessions.get_mut(&upstream)
                    && session.born_ms == born_ms
                {
                    session.last_heard = now;
                    if let Some(clock_ms) = clock_ms {
                        session.set_clock(clock_ms, now);
                    }
                }
            }
            Err(failure) => {
                log::warn!(
                    "event=start_failed task={} run={} upstream={upstream} try={} born_ms={born_ms} error=\"{failure}\"",
                    key.0,
                    key.1,
                    tracked.start_attempts
                );
                if matches!(failure, Failure::NoAnswer(_)) {
                    tracked.open_starts.record_unanswered(now);
                    if let Some(session) = self.sessions.get_mut(&upstream) {
                        session.record_late_call(now);
                    }
                }
                // An earlier attempt to start the same run may have succeeded.
                let refused = Engine::was_refused(&failure);
                if refused && tracked.start_attempts == 1 {
                    self.void(registry, key, Void::Refused);
                    self.stop_gang(registry, key, "member_refused");
                } else {
                    tracked.phase = Phase::Unanswered {
                        next: now + RESEND_DELAY,
                    };
                    if refused {
                        self.stop(key, "refused_again");
                        self.stop_gang(registry, key, "member_refused");
                    }
                }
                if refused {
                    self.advice.discard_ticket(&key.0, &upstream);
                }
            }
        }
    }

    /// Handles the answer to a stop.
    pub(super) fn on_stop_answer(&mut self, call: u64, answer: Result<Option<u64>, Failure>) {
        let now = self.now;
        let Some(key) = self.stop_calls.swap_remove(&call) else {
            return;
        };
        let tracked = self.tracked_runs.get_mut(&key);
        let stop = tracked.and_then(|tracked| tracked.stopping.as_mut());
        let Some(stop) = stop.filter(|stop| stop.call == Some(call)) else {
            return;
        };
        stop.call = None;
        match answer {
            Ok(_) => stop.confirmed = Some(now),
            Err(_) => stop.next = now + RESEND_DELAY,
        }
    }

    /// Orders a run to stop; does nothing if it is already stopping.
    pub(super) fn stop(&mut self, key: RunKey, reason: &'static str) {
        let now = self.now;
        if let Some(tracked) = self.tracked_runs.get_mut(&key)
            && tracked.stopping.is_none()
        {
            log::info!(
                "event=run_stop task={} run={} upstream={} reason={reason} percent={}",
                key.0,
                key.1,
                tracked.upstream,
                tracked.percent
            );
            tracked.is_startable = false;
            tracked.stopping = Some(StopOrder {
                call: None,
                confirmed: None,
                next: now,
            });
            let upstream = tracked.upstream.clone();
            *self.load_watch.stops.entry(reason).or_default() += 1;
            self.discard_usage(&upstream);
            self.stops.push(key);
        }
    }

    /// Sends a stop and returns the number of its call. Used directly for runs that the registry does not have.
    pub(super) fn send_stop(
        &mut self,
        registry: &Registry,
        upstream: &id::Upstream,
        key: RunKey,
    ) -> Option<u64> {
        let target = self.target(registry, upstream)?;
        let call = self.next_number();
        let order = Stop {
            task: key.0,
            run: key.1,
        };
        self.effects.push(Effect::Stop {
            call,
            target,
            order,
        });
        Some(call)
    }

    /// Checks the next part of the runs for expired leases, unanswered orders, missing progress, and whether they are
    /// still needed.
    pub(super) fn check_runs(&mut self, registry: &Registry) {
        let count = self.tracked_runs.len();
        let first = match self.next_checked < count {
            true => self.next_checked,
            false => 0,
        };
        let part = count.div_ceil(CHECK_PARTS).max(MIN_CHECKED);
        self.next_checked = first + part;
        let keys = self.tracked_runs.keys().skip(first).take(part);
        let keys: Vec<RunKey> = keys.copied().collect();
        self.effort.checked += keys.len() as u64;
        for key in keys {
            self.check_lease(registry, key);
            self.check_first_run(registry, key);
            self.check_need(registry, key);
            self.check_start(registry, key);
            self.check_progress(registry, key);
            self.check_departure(registry, key);
            self.check_stop(registry, key);
        }
    }

    /// Stops runs of jobs that have ended and of tasks that are done.
    pub(super) fn check_need(&mut self, registry: &Registry, key: RunKey) {
        let now = self.now;
        let state = registry.job(key.0.job).map(|job| job.state);
        let done = registry.task(&key.0).is_some_and(|task| task.done);
        let gang = registry.step(&key.0).is_some_and(|step| step.gang);
        let Some(tracked) = self.tracked_runs.get_mut(&key) else {
            return;
        };
        match state {
            Some(State::Open | State::Completed) if !done => tracked.surplus_since = None,
            Some(State::Open | State::Completed) => {
                let since = *tracked.surplus_since.get_or_insert(now);
                if !gang || now >= since + DONE_GRACE {
                    self.stop(key, "done");
                }
            }
            _ => self.stop(key, "job_ended"),
        }
    }

    /// Sends an unanswered start again, or gives the run up.
    fn check_start(&mut self, registry: &Registry, key: RunKey) {
        let Some(tracked) = self.tracked_runs.get(&key) else {
            return;
        };
        let Phase::Unanswered { next } = tracked.phase else {
            return;
        };
        if tracked.stopping.is_some() || self.now < next {
            return;
        }
        if !tracked.is_startable {
            // It was stopped in the earlier incarnation.
            self.stop(key, "start_unanswered");
            return;
        }
        let waited = self.now.saturating_duration_since(tracked.tracked_since);
        let gang = registry.step(&key.0).is_some_and(|step| step.gang);
        let limit = self.settings.gang_timeout.mul_f64(GANG_START_SHARE);
        if self.is_in_evacuated(registry, key) {
            self.stop(key, "evacuated");
            self.stop_gang(registry, key, "member_evacuated");
        } else if tracked.start_attempts >= MAX_START_ATTEMPTS || (gang && waited > limit) {
            self.stop(key, "start_unanswered");
            self.stop_gang(registry, key, "member_unanswered");
        } else if self.may_send_again(registry, key, next) {
            self.send_start(registry, key);
        }
    }

    /// Whether the start of a run may be sent again, which is due at `next`. A task that may have crashed an upstream may
    /// have crashed this one too, unless that was heard from since.
    fn may_send_again(&self, registry: &Registry, key: RunKey, next: Instant) -> bool {
        let progress = registry.task(&key.0);
        if !progress.is_some_and(|progress| progress.losses.is_suspect()) {
            return true;
        }
        let Some(tracked) = self.tracked_runs.get(&key) else {
            return false;
        };
        let session = self.sessions.get(&tracked.upstream);
        session.is_some_and(|session| {
            session.born_ms == tracked.born_ms && session.last_heard + RESEND_DELAY > next
        })
    }

    /// Stops a stalled run, so that its task runs on another upstream.
    fn check_progress(&mut self, registry: &Registry, key: RunKey) {
        let now = self.now;
        let Some(tracked) = self.tracked_runs.get(&key) else {
            return;
        };
        let Some(step) = registry.step(&key.0) else {
            return;
        };
        if tracked.stopping.is_some()
            || !tracked.is_listed
            || step.lasting
            || tracked.percent >= 100
        {
            return;
        }
        let reachable = self
            .sessions
            .get(&tracked.upstream)
            .is_some_and(|session| session.failures == 0);
        let percent = Duration::from_millis(u64::from(step.estimate_ms)) / 100;
        let unit = match step.gang {
            true => id::Task { index: 0, ..key.0 },
            false => key.0,
        };
        // An earlier leader may have stopped the earlier runs as stalled.
        let inherited = match tracked.is_inherited {
            true => key.1.saturating_sub(1),
            false => 0,
        };
        let stalled_runs = self.stalls.count(&unit).max(inherited);
        let stall_time =
            STALL_AFTER.max(percent * STALL_ESTIMATE_PERCENT) * stalls::patience(stalled_runs);
        let warm = self.warm_from(&tracked.upstream);
        let since = tracked
            .progressed_at
            .max(warm.unwrap_or(tracked.progressed_at));
        if !reachable || now.saturating_duration_since(since) < stall_time {
            return;
        }
        let upstream = tracked.upstream.clone();
        self.stalls.record(unit);
        // One stalled member stops the progress of its whole gang, so only single tasks count against their upstream. One
        // that stalls repeatedly needs more time than its estimate, wherever it runs.
        if !step.gang && stalled_runs == 0 {
            self.health
                .entry(upstream.clone())
                .or_default()
                .record_stall(now);
        }
        log::warn!(
            "event=run_stalled task={} run={} upstream={upstream} percent={} still_ms={} earlier={stalled_runs}",
            key.0,
            key.1,
            tracked.percent,
            now.saturating_duration_since(tracked.progressed_at)
                .as_millis()
        );
        self.stop(key, "stalled");
        self.stop_gang(registry, key, "stalled");
    }

    /// Sends the stop of a run if it is due.
    pub(super) fn check_stop(&mut self, registry: &Registry, key: RunKey) {
        let now = self.now;
        let Some(tracked) = self.tracked_runs.get(&key) else {
            return;
        };
        let is_due =
            |stop: StopOrder| stop.call.is_none() && stop.confirmed.is_none() && now >= stop.next;
        if !tracked.stopping.is_some_and(is_due) {
            return;
        }
        let upstream = tracked.upstream.clone();
        let call = self.send_stop(registry, &upstream, key);
        if let Some(call) = call {
            self.stop_calls.insert(call, key);
        }
        if let Some(stop) = self
            .tracked_runs
            .get_mut(&key)
            .and_then(|tracked| tracked.stopping.as_mut())
        {
            stop.call = call;
            stop.next = now + RESEND_DELAY;
        }
    }
}
