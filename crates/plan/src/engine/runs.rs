use {
    super::{
        Effect, Engine, Failure, Start, Stop,
        engine::RunKey,
        track::{Phase, RESEND, Stopping, Track},
    },
    std::time::Duration,
    work::{
        id,
        registry::{Placement, Registry, State, Void},
    },
};

/// Tries of a start that has no answer before the run is given up.
const START_TRIES: u32 = 4;

/// Part of the time that members of a gang wait for each other in which all starts must be confirmed; the rest is
/// left for stopping them.
const GANG_START_SHARE: f64 = 0.6;

/// Time for which the other members of a gang may list their own ends after one was done.
const DONE_GRACE: Duration = Duration::from_millis(1000);

/// Time without progress after which a run is taken to stand still. Progress shows with each hold.
const STALL_AFTER: Duration = Duration::from_millis(3500);

/// Number of percent steps by the caller's estimate that a run may take longer than the estimate says.
const STALL_PERCENT_STEPS: u32 = 12;

/// Starts and stops of runs.
impl Engine {
    /// Takes the outcome of a proposal: the runs that it began are started.
    pub(super) fn committed(
        &mut self,
        proposal: u64,
        runs: &[(id::Task, Option<u32>)],
        book: &Registry,
    ) {
        let placements = self.proposed.shift_remove(&proposal).unwrap_or_default();
        self.voiding.shift_remove(&proposal);
        if let Some(upstream) = self.ending.shift_remove(&proposal)
            && let Some(session) = self.sessions.get_mut(&upstream)
        {
            session.next_hold = self.now;
        }
        self.replan();
        for (placement, (task, run)) in placements.into_iter().zip(runs) {
            match run {
                Some(run) => self.begin(book, &placement, *run),
                None => log::info!(
                    "event=assign_refused task={task} upstream={}",
                    placement.upstream
                ),
            }
        }
    }

    fn begin(&mut self, book: &Registry, placement: &Placement, run: u32) {
        let key = (placement.task, run);
        let Some(step) = book.step(&placement.task) else {
            return;
        };
        let phase = Phase::Unanswered { next: self.now };
        let mut track = Track::new(
            placement.upstream.clone(),
            placement.born_ms,
            step.reserved(),
            phase,
            self.now,
        );
        let progress = book.task(&placement.task);
        track.resumed = progress.is_some_and(|progress| !progress.checkpoint.is_empty());
        if let Some(progress) = progress {
            track.checkpoint.clone_from(&progress.checkpoint);
        }
        self.tracks.insert(key, track);
        self.send_start(book, key);
    }

    fn send_start(&mut self, book: &Registry, key: RunKey) {
        let (task, run) = key;
        let Some(upstream) = self.tracks.get(&key).map(|track| track.upstream.clone()) else {
            return;
        };
        let (Some(job), Some(progress), Some(target)) = (
            book.job(task.job),
            book.task(&task),
            self.target(book, &upstream),
        ) else {
            return;
        };
        let ticket = self.advice.ticket(&task, &upstream, self.now);
        let call = self.number();
        let (now, settings) = (self.now, &self.settings);
        let (Some(session), Some(track)) =
            (self.sessions.get_mut(&upstream), self.tracks.get_mut(&key))
        else {
            return;
        };
        let Some(lease_until_ms) = session.grant(now, settings) else {
            return;
        };
        track.phase = Phase::Sending { call };
        track.tries += 1;
        let order = Start {
            task,
            run,
            definition: job.form.clone(),
            lease_until_ms,
            checkpoint: progress.checkpoint.clone(),
            ticket,
        };
        log::info!(
            "event=run_start task={task} run={run} upstream={upstream} try={} resumed={} waited_ms={}",
            track.tries,
            !order.checkpoint.is_empty(),
            self.time_ms.saturating_sub(job.accepted_ms)
        );
        self.effects.push(Effect::Start {
            call,
            target,
            order,
        });
    }

    /// Takes the answer of a start.
    pub(super) fn started(
        &mut self,
        call: u64,
        answer: Result<Option<u64>, Failure>,
        book: &Registry,
    ) {
        let now = self.now;
        let Some((key, track)) = self
            .tracks
            .iter_mut()
            .find(|(_, track)| track.phase == Phase::Sending { call })
        else {
            return;
        };
        let key = *key;
        let upstream = track.upstream.clone();
        match answer {
            Ok(clock_ms) => {
                track.phase = Phase::Started { at: now };
                track.moved = now;
                if let Some(session) = self.sessions.get_mut(&upstream) {
                    session.heard = now;
                    if let Some(clock_ms) = clock_ms {
                        session.set_clock(clock_ms, now);
                    }
                }
            }
            Err(failure) => {
                log::warn!(
                    "event=start_failed task={} run={} upstream={upstream} try={} error=\"{failure}\"",
                    key.0,
                    key.1,
                    track.tries
                );
                track.unanswered |= matches!(failure, Failure::NoAnswer(_));
                // An earlier try of the same run may have been carried out.
                let refused = Engine::was_not_done(&failure);
                if refused && track.tries == 1 {
                    self.void(key, Void::Refused);
                    self.stop_gang(book, key, "member_refused");
                } else {
                    track.phase = Phase::Unanswered { next: now + RESEND };
                    if refused {
                        self.stop(key, "refused_again");
                        self.stop_gang(book, key, "member_refused");
                    }
                }
                if refused {
                    self.advice.reject(&key.0, &upstream);
                }
            }
        }
    }

    /// Takes the answer of a stop.
    pub(super) fn stopped(&mut self, call: u64, answer: Result<Option<u64>, Failure>) {
        let now = self.now;
        let found = self.tracks.values_mut().find_map(|track| {
            let stop = track.stopping.as_mut()?;
            (stop.call == Some(call)).then_some(stop)
        });
        let Some(stop) = found else {
            return;
        };
        stop.call = None;
        match answer {
            Ok(_) => stop.confirmed = Some(now),
            Err(_) => stop.next = now + RESEND,
        }
    }

    /// Orders a run to stop.
    pub(super) fn stop(&mut self, key: RunKey, reason: &str) {
        let now = self.now;
        if let Some(track) = self.tracks.get_mut(&key)
            && track.stopping.is_none()
        {
            log::info!(
                "event=run_stop task={} run={} upstream={} reason={reason} percent={}",
                key.0,
                key.1,
                track.upstream,
                track.percent
            );
            track.stopping = Some(Stopping {
                call: None,
                confirmed: None,
                next: now,
            });
            self.stops.push(key);
        }
    }

    /// Stops the other members of a gang's run.
    pub(super) fn stop_gang(&mut self, book: &Registry, key: RunKey, reason: &str) {
        if !book.step(&key.0).is_some_and(|step| step.gang) {
            return;
        }
        for member in self.members(key) {
            if member != key {
                self.stop(member, reason);
            }
        }
    }

    /// Live members of a gang's run.
    pub(super) fn members(&self, key: RunKey) -> Vec<RunKey> {
        let same = |other: &&RunKey| {
            other.1 == key.1
                && other.0.job == key.0.job
                && other.0.occurrence == key.0.occurrence
                && other.0.step == key.0.step
        };
        self.tracks.keys().filter(same).copied().collect()
    }

    /// Sends a stop without waiting for its end; used for runs that the book does not hold.
    pub(super) fn send_stop(
        &mut self,
        book: &Registry,
        upstream: &id::Upstream,
        key: RunKey,
    ) -> Option<u64> {
        let target = self.target(book, upstream)?;
        let call = self.number();
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

    /// Looks after all runs: unanswered orders, runs that nobody needs, runs that stand still, ended leases.
    pub(super) fn watch_runs(&mut self, book: &Registry) {
        let keys: Vec<RunKey> = self.tracks.keys().copied().collect();
        for key in keys {
            self.watch_lease(key);
            self.watch_need(book, key);
            self.watch_start(book, key);
            self.watch_progress(book, key);
            self.watch_departure(book, key);
            self.watch_stop(book, key);
        }
    }

    /// A run on an upstream that cannot be reached is over when its lease is.
    fn watch_lease(&mut self, key: RunKey) {
        let Some(track) = self.tracks.get(&key) else {
            return;
        };
        let Some(session) = self.sessions.get(&track.upstream) else {
            return;
        };
        let unreachable = session.failures > 0 || !session.met;
        if unreachable && self.now > session.lease {
            self.void(key, Void::Lapsed);
        }
    }

    /// Stops runs of jobs that have ended and of tasks that are done.
    fn watch_need(&mut self, book: &Registry, key: RunKey) {
        let now = self.now;
        let state = book.job(key.0.job).map(|job| job.state);
        let done = book.task(&key.0).is_some_and(|task| task.done);
        let gang = book.step(&key.0).is_some_and(|step| step.gang);
        let Some(track) = self.tracks.get_mut(&key) else {
            return;
        };
        match state {
            Some(State::Open | State::Completed) if !done => track.surplus = None,
            Some(State::Open | State::Completed) => {
                let since = *track.surplus.get_or_insert(now);
                if !gang || now >= since + DONE_GRACE {
                    self.stop(key, "done");
                }
            }
            _ => self.stop(key, "job_ended"),
        }
    }

    /// Repeats an unanswered start, and gives up what does not start.
    fn watch_start(&mut self, book: &Registry, key: RunKey) {
        let Some(track) = self.tracks.get(&key) else {
            return;
        };
        let Phase::Unanswered { next } = track.phase else {
            return;
        };
        if track.stopping.is_some() || self.now < next {
            return;
        }
        let waited = self.now.saturating_duration_since(track.since);
        let gang = book.step(&key.0).is_some_and(|step| step.gang);
        let limit = self.settings.gang_timeout.mul_f64(GANG_START_SHARE);
        if track.tries >= START_TRIES || (gang && waited > limit) {
            self.stop(key, "start_unanswered");
            self.stop_gang(book, key, "member_unanswered");
        } else {
            self.send_start(book, key);
        }
    }

    /// Stops a run that stands still, so that it goes on elsewhere.
    fn watch_progress(&mut self, book: &Registry, key: RunKey) {
        let now = self.now;
        let Some(track) = self.tracks.get(&key) else {
            return;
        };
        let Some(step) = book.step(&key.0) else {
            return;
        };
        if track.stopping.is_some() || !track.listed || step.lasting || track.percent >= 100 {
            return;
        }
        let reachable = self
            .sessions
            .get(&track.upstream)
            .is_some_and(|session| session.failures == 0);
        let percent = Duration::from_millis(u64::from(step.estimate_ms)) / 100;
        let patience = STALL_AFTER.max(percent * STALL_PERCENT_STEPS);
        if !reachable || now.saturating_duration_since(track.moved) < patience {
            return;
        }
        let upstream = track.upstream.clone();
        // One member that stands still holds up the whole gang, so only single tasks tell of their upstream.
        if !step.gang {
            self.health
                .entry(upstream.clone())
                .or_default()
                .record_stall(now);
        }
        log::warn!(
            "event=run_stalled task={} run={} upstream={upstream} percent={} still_ms={}",
            key.0,
            key.1,
            track.percent,
            now.saturating_duration_since(track.moved).as_millis()
        );
        self.stop(key, "stalled");
        self.stop_gang(book, key, "stalled");
    }

    /// Sends a stop that is due.
    pub(super) fn watch_stop(&mut self, book: &Registry, key: RunKey) {
        let now = self.now;
        let Some(track) = self.tracks.get(&key) else {
            return;
        };
        let is_due =
            |stop: Stopping| stop.call.is_none() && stop.confirmed.is_none() && now >= stop.next;
        if !track.stopping.is_some_and(is_due) {
            return;
        }
        let upstream = track.upstream.clone();
        let call = self.send_stop(book, &upstream, key);
        if let Some(stop) = self
            .tracks
            .get_mut(&key)
            .and_then(|track| track.stopping.as_mut())
        {
            stop.call = call;
            stop.next = now + RESEND;
        }
    }
}
