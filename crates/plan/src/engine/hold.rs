use {
    super::{
        Effect, Engine, Failure, Hold, Listing, Refusal,
        engine::RunKey,
        session::{PendingHold, Session},
        tracked_run::Phase,
    },
    crate::learn,
    std::time::{Duration, Instant},
    work::{
        collections::{IndexMap, IndexSet},
        id,
        registry::{Registry, Update, Void},
        upstream::{End, Outcome},
    },
};

/// The interval between holds is at most the lease divided by this number, so that several retries fit into a lease.
const HOLD_LEASE_DIVISOR: u32 = 4;

/// Wait of a hold while the outcome of an order is unknown, so that it becomes known soon.
const SHORT_WAIT: Duration = Duration::from_millis(100);

/// Holds renew leases and report the runs and ends of an upstream.
impl Engine {
    /// Sends the holds that are due.
    pub(super) fn send_holds(&mut self, registry: &Registry) {
        let now = self.now;
        let due: Vec<id::Upstream> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.is_hold_due(now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            if let Some(wait) = self.hold_wait(registry, &id) {
                self.send_hold(registry, &id, wait);
            } else if let Some(session) = self.sessions.get_mut(&id) {
                session.may_need_hold = false;
            }
        }
    }

    /// Time for which the upstream may delay its answer to the next hold until a run ends; none if no hold is needed.
    fn hold_wait(&self, registry: &Registry, id: &id::Upstream) -> Option<Duration> {
        let session = self.sessions.get(id)?;
        if session.needs_contact() {
            return Some(Duration::ZERO);
        }
        let has_runs = registry.allocations_on(id).next().is_some();
        let has_ends = session.releasable_end(registry.last_end(id), self.now) > 0;
        if !has_runs && session.strays.is_empty() {
            let is_reachable = session.failures == 0;
            let reads_clock = is_reachable && session.is_clock_stale(self.now, &self.settings);
            return match has_ends || reads_clock {
                true => Some(Duration::ZERO),
                false => session.has_more_ends.then_some(SHORT_WAIT),
            };
        }
        let has_pending_outcome = !session.strays.is_empty()
            || session.has_more_ends
            || registry.allocations_on(id).any(|(key, _)| {
                self.tracked_runs.get(key).is_some_and(|tracked| {
                    matches!(tracked.phase, Phase::Unanswered { .. } | Phase::Inherited)
                        || tracked
                            .stopping
                            .is_some_and(|stop| stop.confirmed.is_some())
                })
            });
        let longest = Session::lease(&self.settings) / HOLD_LEASE_DIVISOR;
        Some(match has_pending_outcome {
            true => SHORT_WAIT,
            false => longest.min(self.settings.hold_wait),
        })
    }

    fn send_hold(&mut self, registry: &Registry, id: &id::Upstream, wait: Duration) {
        let Some(target) = self.target(registry, id) else {
            return;
        };
        let call = self.next_number();
        let now = self.now;
        let Some(session) = self.sessions.get_mut(id) else {
            return;
        };
        let last_end = session.releasable_end(registry.last_end(id), now);
        // Every lease sent to an upstream that does not answer would delay the time at which its runs are known to be
        // over.
        let is_reachable = session.failures == 0;
        let lease_until_ms = match is_reachable {
            true => session.grant_lease(now, &self.settings),
            false => None,
        };
        session.pending_hold = Some(PendingHold {
            call,
            sent: now,
            last_end,
            gives_lease: lease_until_ms.is_some(),
        });
        let order = Hold {
            lease_until_ms,
            last_end,
            wait: if is_reachable { wait } else { Duration::ZERO },
        };
        self.hold_calls.insert(call, id.clone());
        self.effects.push(Effect::Hold {
            call,
            target,
            order,
        });
    }

    /// Handles the answer to a hold.
    pub(super) fn on_hold_answer(
        &mut self,
        call: u64,
        answer: Result<Listing, Failure>,
        registry: &Registry,
    ) {
        let now = self.now;
        let Some(id) = self.hold_calls.swap_remove(&call) else {
            return;
        };
        let pending = self.sessions.get_mut(&id).and_then(|session| {
            let pending_hold = &mut session.pending_hold;
            pending_hold.take_if(|pending| pending.call == call)
        });
        let Some(pending) = pending else {
            return;
        };
        match answer {
            Ok(listing) => self.apply_listing(registry, &id, pending, listing),
            Err(failure) => {
                let Some(session) = self.sessions.get_mut(&id) else {
                    return;
                };
                session.record_failure(now);
                if pending.gives_lease {
                    session.record_late_call(now);
                }
                if session.failures == 1 {
                    log::warn!(
                        "event=upstream_lost upstream={id} born_ms={} error=\"{failure}\"",
                        session.born_ms
                    );
                }
                if failure == Failure::Refused(Refusal::Fenced) {
                    // An incarnation that was forgotten may have had a higher token of this term.
                    let offset = self.next_token_offset();
                    if let Some(session) = self.sessions.get_mut(&id) {
                        session.token_offset = session.token_offset.max(offset);
                    }
                    log::warn!("event=fenced upstream={id} next_offset={offset}");
                }
            }
        }
    }

    fn apply_listing(
        &mut self,
        registry: &Registry,
        id: &id::Upstream,
        pending: PendingHold,
        listing: Listing,
    ) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(id) else {
            return;
        };
        if listing
            .born_ms
            .is_some_and(|born_ms| born_ms != session.born_ms)
        {
            // A later incarnation that has not registered yet; its heartbeat will register it.
            session.record_failure(now);
            return;
        }
        let was_usable = session.is_usable(now, &self.settings);
        if session.failures > 0 || !session.contacted {
            log::info!(
                "event=upstream_met upstream={id} born_ms={} running={} ended={} failures={}",
                session.born_ms,
                listing.running.len(),
                listing.ended.len(),
                session.failures
            );
        }
        session.record_answer(now);
        self.unexplained_losses.discard(id);
        let first = !session.contacted;
        session.record_contact(now, &self.settings);
        session.next_hold = now;
        session.released_end = session.released_end.max(pending.last_end);
        session.has_more_ends = listing.has_more_ends;
        if let Some(clock_ms) = listing.clock_ms {
            session.set_clock(clock_ms, now);
        }
        if first {
            self.block_unresolved_starts(registry, id);
            self.void_replaced(registry, id);
        }
        let running: IndexMap<RunKey, _> = listing
            .running
            .iter()
            .map(|running| ((running.task, running.run), running))
            .collect();
        self.stop_strays(registry, id, &running.keys().copied().collect::<Vec<_>>());
        let upstream = registry.upstream(id);
        let measured = upstream.zip(listing.clock_ms);
        let mut samples = Vec::new();
        let mut has_first_progress = false;
        for (key, running) in &running {
            if let Some(tracked) = self.tracked_runs.get_mut(key)
                && tracked.upstream == *id
            {
                if running.percent != tracked.percent || !tracked.is_listed {
                    has_first_progress |= tracked.percent == 0;
                    tracked.percent = running.percent;
                    tracked.progressed_at = now;
                }
                if running.checkpoint != tracked.checkpoint {
                    tracked.checkpoint.clone_from(&running.checkpoint);
                }
                tracked.is_listed = true;
                tracked.seen_at = now;
                tracked.open_starts.record_contact(pending.sent);
                if !matches!(tracked.phase, Phase::Sending { .. }) {
                    tracked.open_starts.record_listed();
                }
                if !matches!(tracked.phase, Phase::Started { .. } | Phase::Sending { .. }) {
                    tracked.phase = Phase::Started { at: now };
                }
                if let Some((upstream, clock_ms)) = measured {
                    let percent = running.percent;
                    samples.extend(self.measure_pace(registry, upstream, *key, clock_ms, percent));
                }
            }
        }
        if has_first_progress {
            self.discard_usage(id);
        }
        if let Some(upstream) = upstream {
            self.speeds.observe(upstream, &mut samples, now);
        }
        self.propose_ends(registry, id, &listing.ended);
        self.void_absent_runs(registry, id, pending.sent, &listing);
        let session = self.sessions.get(id);
        // What else the answer tells reaches the plan with the commits that follow from it.
        if session.is_some_and(|session| session.is_usable(now, &self.settings)) != was_usable {
            self.request_plan();
        }
    }

    /// Stops runs whose unanswered starts were given up, in case a start reaches this incarnation of the upstream.
    fn block_unresolved_starts(&mut self, registry: &Registry, id: &id::Upstream) {
        let now = self.now;
        self.unresolved_starts
            .retain(|_, unresolved| now < unresolved.until);
        let unresolved = self
            .unresolved_starts
            .iter()
            .filter(|(_, unresolved)| unresolved.upstream == *id);
        for key in unresolved.map(|(key, _)| *key).collect::<Vec<_>>() {
            log::info!(
                "event=start_barred upstream={id} task={} run={}",
                key.0,
                key.1
            );
            self.send_stop(registry, id, key);
        }
    }

    /// Stops runs that the upstream reports but the registry does not have. The upstream gets no new work until they
    /// are gone.
    fn stop_strays(&mut self, registry: &Registry, id: &id::Upstream, running: &[RunKey]) {
        let is_held = |key: &RunKey| {
            let run = registry.run(&key.0, key.1);
            run.is_some_and(|run| run.upstream == *id)
        };
        let strays: Vec<RunKey> = running
            .iter()
            .copied()
            .filter(|key| !is_held(key))
            .collect();
        let Some(session) = self.sessions.get_mut(id) else {
            return;
        };
        session.strays = strays.iter().copied().collect();
        let born_ms = session.born_ms;
        for key in strays {
            log::warn!(
                "event=run_stray upstream={id} task={} run={} born_ms={born_ms}",
                key.0,
                key.1
            );
            self.send_stop(registry, id, key);
        }
    }

    fn propose_ends(&mut self, registry: &Registry, id: &id::Upstream, ended: &[End]) {
        let Some(session) = self.sessions.get_mut(id) else {
            return;
        };
        let from = registry.last_end(id).max(session.proposed_end);
        let ends: Vec<End> = ended
            .iter()
            .filter(|end| end.number > from)
            .cloned()
            .collect();
        let Some(last) = ends.last() else {
            return;
        };
        session.proposed_end = last.number;
        let born_ms = session.born_ms;
        // The next hold releases these ends, so it waits for their commit, but for 1 s at most.
        session.next_hold = self.now + Duration::from_secs(1);
        for end in &ends {
            log::info!(
                "event=run_ended task={} run={} upstream={id} how={} number={}",
                end.task,
                end.run,
                end.how,
                end.number
            );
            self.learn_from_end(registry, id, end);
        }
        // Ends have a proposal of their own, so that its failure concerns only them.
        let proposal = self.next_number();
        self.proposed_ends.insert(proposal, id.clone());
        let updates = vec![Update::Ended {
            upstream: id.clone(),
            born_ms,
            ends,
        }];
        self.effects.push(Effect::Propose { proposal, updates });
    }

    fn learn_from_end(&mut self, registry: &Registry, id: &id::Upstream, end: &End) {
        let now = self.now;
        let progress = registry.progress(&end.task);
        let is_fault_of_step = progress.is_some_and(|step| learn::is_fault_of_step(step, id));
        let health = self.health.entry(id.clone()).or_default();
        match end.how {
            Outcome::Done => health.record_success(),
            Outcome::Failed if !is_fault_of_step => health.record_failure(now),
            _ => {}
        }
        let Some(tracked) = self.tracked_runs.get(&(end.task, end.run)) else {
            return;
        };
        let (Some(job), Some(step)) = (registry.job(end.task.job), registry.step(&end.task)) else {
            return;
        };
        // Work that began while the upstream was cold took longer than it does later.
        let was_cold = self
            .warm_from(id)
            .is_some_and(|warm| tracked.tracked_since < warm);
        if end.how == Outcome::Done && !tracked.resumed && tracked.upstream == *id && !was_cold {
            let took = now.saturating_duration_since(tracked.tracked_since);
            let rack = registry.upstream(id).map(|upstream| upstream.rack.as_str());
            let near = step.data_rack.is_none() || step.data_rack.as_deref() == rack;
            if near && !step.same_rack {
                let upstream = registry.upstream(id);
                let data_centre = upstream.map_or("", |upstream| upstream.data_centre.as_str());
                let speed = upstream.map_or(1.0, |upstream| self.speeds.speed(upstream));
                let took = took.mul_f64(speed);
                self.estimator.observe(job, step, data_centre, took);
            }
        }
    }

    /// Voids runs that the upstream neither reports nor can start any more.
    fn void_absent_runs(
        &mut self,
        registry: &Registry,
        id: &id::Upstream,
        sent: Instant,
        listing: &Listing,
    ) {
        let now = self.now;
        let Some(born_ms) = self.sessions.get(id).map(|session| session.born_ms) else {
            return;
        };
        let running: IndexSet<RunKey> = listing
            .running
            .iter()
            .map(|running| (running.task, running.run))
            .collect();
        let ended: IndexSet<RunKey> = listing
            .ended
            .iter()
            .map(|end| (end.task, end.run))
            .collect();
        let live: Vec<RunKey> = registry.allocations_on(id).map(|(key, _)| *key).collect();
        for key in live {
            let Some(tracked) = self.tracked_runs.get(&key) else {
                continue;
            };
            let is_restarted = tracked.born_ms != born_ms;
            if running.contains(&key) || ended.contains(&key) {
                if is_restarted && running.contains(&key) {
                    self.updates.push(Update::Running {
                        task: key.0,
                        run: key.1,
                        born_ms,
                    });
                }
                continue;
            }
            // The run may be among the ends that are not listed yet.
            if listing.has_more_ends {
                continue;
            }
            let is_unsent = tracked.phase == Phase::Inherited && self.may_be_started(tracked);
            if self.is_over_when_absent(registry, key, tracked, sent) {
                let reason = if is_restarted {
                    Void::Reborn
                } else {
                    Void::Absent
                };
                self.void(registry, key, reason);
                // The other members would wait for this one in vain.
                self.stop_gang(registry, key, "member_lost");
            } else if is_restarted
                && tracked.stopping.is_none()
                && !matches!(tracked.phase, Phase::Sending { .. })
            {
                self.stop(key, "reborn");
                self.stop_gang(registry, key, "member_lost");
            } else if is_unsent && let Some(tracked) = self.tracked_runs.get_mut(&key) {
                // The earlier leader may not have sent the start, or it is under way. The same start again does no harm.
                tracked.phase = Phase::Unanswered { next: now };
            }
        }
    }
}
