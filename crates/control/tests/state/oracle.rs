use {
    control::state::{Answer, Cancellation, Claim, Command, Phase, State, Step, Stored},
    indexmap::IndexMap,
    model::{
        job::{Class, Member, Spec, State as Stage},
        note::{Note, Outcome, Submission},
        shape::{Adjacency, Shape},
    },
    proptest::prelude::*,
    std::collections::HashMap,
};

const DAY_MS: u64 = 24 * 3600 * 1000;

/// One step of a random history. Small numbers, so that keys, jobs and slots meet often.
#[derive(Clone, Debug)]
pub enum Op {
    Note {
        key: u8,
        expected: u8,
        text: u8,
    },
    Submit {
        key: u8,
        repeatable: bool,
    },
    Place {
        job: u8,
        slots: Vec<u8>,
    },
    Step {
        job: u8,
        old_token: bool,
        kind: u8,
    },
    Cancel {
        job: u8,
    },
    Claim {
        key: u8,
        holder: u8,
        resend: bool,
    },
    Settle {
        key: u8,
        holder: u8,
        end: u8,
        resend: bool,
    },
    Snapshot,
    Expire {
        days: u8,
    },
}

pub fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0..6u8, 0..5u8, 0..3u8).prop_map(|(key, expected, text)| Op::Note { key, expected, text }),
        2 => (0..4u8, any::<bool>()).prop_map(|(key, repeatable)| Op::Submit { key, repeatable }),
        3 => (0..5u8, proptest::collection::vec(0..4u8, 1..3))
            .prop_map(|(job, slots)| Op::Place { job, slots }),
        8 => (0..5u8, proptest::bool::weighted(0.2), 0..7u8)
            .prop_map(|(job, old_token, kind)| Op::Step { job, old_token, kind }),
        1 => (0..5u8).prop_map(|job| Op::Cancel { job }),
        3 => (0..3u8, 0..3u8, any::<bool>())
            .prop_map(|(key, holder, resend)| Op::Claim { key, holder, resend }),
        3 => (0..3u8, 0..3u8, 0..3u8, any::<bool>())
            .prop_map(|(key, holder, end, resend)| Op::Settle { key, holder, end, resend }),
        1 => Just(Op::Snapshot),
        1 => (0..3u8).prop_map(|days| Op::Expire { days }),
    ]
}

/// What a claimed key may still do, told by the answers alone.
#[derive(Default)]
struct Key {
    /// Holder and time of the granted claim that is open.
    open: Option<(u8, u64)>,
    ended: Option<Stored>,
    changed_ms: u64,
    last_claim: HashMap<u8, u64>,
    last_settle: HashMap<u8, (u64, Stored)>,
}

#[derive(Default)]
pub struct Oracle {
    number: u64,
    outcomes: HashMap<u8, (u8, u8, Outcome)>,
    keys: HashMap<u8, Key>,
    starts: HashMap<u64, u32>,
    pub at_ms: u64,
}

/// A state and what it must agree with.
#[derive(Default)]
pub struct Run {
    pub state: State,
    pub oracle: Oracle,
}

pub fn spec(key: u8, repeatable: bool) -> Spec {
    Spec {
        account: "firm-a".into(),
        key: format!("job-{key}"),
        class: Class::Standard,
        shape: Shape {
            tasks: 1,
            accelerators: 1,
            cpus: 0,
            memory_mb: 0,
            adjacency: Adjacency::Rack,
        },
        place: None,
        repeatable,
        max_attempts: 3,
        declared_seconds: None,
        payload: String::new(),
    }
}

impl Run {
    pub fn apply(&self, command: &Command) -> Answer {
        self.state.apply(&command.encode())
    }

    pub fn step(&mut self, op: Op) -> Result<(), TestCaseError> {
        self.oracle.at_ms += 1;
        let at_ms = self.oracle.at_ms;
        match op {
            Op::Note {
                key,
                expected,
                text,
            } => self.note(key, expected, text)?,
            Op::Submit { key, repeatable } => {
                let known = self
                    .state
                    .jobs()
                    .find("firm-a", &format!("job-{key}"))
                    .cloned();
                let spec = spec(key, repeatable);
                let answer = self.apply(&Command::Submit {
                    spec: Box::new(spec.clone()),
                    at_ms,
                });
                match (known, answer) {
                    (Some(old), Answer::Job(job)) => prop_assert!(*job == old && old.spec == spec),
                    (Some(old), Answer::KeyReused) => prop_assert!(old.spec != spec),
                    (None, Answer::Job(job)) => prop_assert_eq!(job.state, Stage::Queued),
                    (_, other) => prop_assert!(false, "{:?}", other),
                }
            }
            Op::Place { job, slots } => {
                let members = slots.iter().enumerate().map(|(task, slot)| Member {
                    task: task as u16,
                    worker: "w1".into(),
                    accelerators: vec![u16::from(*slot)],
                });
                let step = Step::Place {
                    members: members.collect(),
                    borrowed: false,
                };
                self.advance(u64::from(job), false, step)?;
            }
            Op::Step {
                job,
                old_token,
                kind,
            } => {
                let step = match kind {
                    0 => Step::Release { reason: "r".into() },
                    1 => Step::Start,
                    2 => Step::Run,
                    3 => Step::Stop {
                        reason: "s".into(),
                        failed: true,
                    },
                    4 => Step::Requeue { reason: "q".into() },
                    5 => Step::End {
                        state: Stage::Done,
                        detail: "d".into(),
                    },
                    _ => Step::Stop {
                        reason: "reclaim".into(),
                        failed: false,
                    },
                };
                self.advance(u64::from(job), old_token, step)?;
            }
            Op::Cancel { job } => self.cancel(u64::from(job))?,
            Op::Claim {
                key,
                holder,
                resend,
            } => self.claim(key, holder, resend)?,
            Op::Settle {
                key,
                holder,
                end,
                resend,
            } => self.settle(key, holder, end, resend)?,
            Op::Snapshot => {
                let image = self.state.save().unwrap();
                let restored = State::default();
                restored.restore(&image).unwrap();
                self.state = restored;
            }
            Op::Expire { days } => {
                self.oracle.at_ms += u64::from(days) * DAY_MS / 2;
                let at_ms = self.oracle.at_ms;
                self.apply(&Command::Expire { at_ms });
                let kept = |key: &Key| key.changed_ms + DAY_MS >= at_ms;
                for key in self.oracle.keys.values_mut().filter(|key| !kept(key)) {
                    (key.open, key.ended) = (None, None);
                    // Copies of commands are not delayed for days.
                    key.last_claim.clear();
                    key.last_settle.clear();
                }
            }
        }
        self.check()
    }

    /// A compare-and-set by number; the same key always gets the first outcome.
    fn note(&mut self, key: u8, expected: u8, text: u8) -> Result<(), TestCaseError> {
        let submission = Submission {
            key: format!("note-{key}"),
            expected: u64::from(expected),
            note: Note {
                summary: format!("text {text}"),
                ..Note::default()
            },
        };
        let at_ms = self.oracle.at_ms;
        let answer = self.apply(&Command::Note {
            submission: Box::new(submission),
            at_ms,
        });
        let Answer::Note(outcome) = answer else {
            return Err(TestCaseError::fail(format!("{answer:?}")));
        };
        match self.oracle.outcomes.get(&key) {
            Some((e, t, first)) if (*e, *t) == (expected, text) => prop_assert_eq!(&outcome, first),
            Some(_) => prop_assert_eq!(outcome, Outcome::KeyReused),
            None => {
                let number = self.oracle.number;
                match &outcome {
                    Outcome::Accepted { number: new } => {
                        prop_assert_eq!(u64::from(expected), number, "accepted out of order");
                        prop_assert_eq!(*new, number + 1);
                        self.oracle.number = *new;
                    }
                    Outcome::Conflict { number: now, .. } => {
                        prop_assert!(u64::from(expected) != number && *now == number);
                    }
                    other => prop_assert!(false, "{:?}", other),
                }
                self.oracle.outcomes.insert(key, (expected, text, outcome));
            }
        }
        prop_assert_eq!(self.state.book().config().number, self.oracle.number);
        Ok(())
    }

    fn advance(&mut self, id: u64, old_token: bool, step: Step) -> Result<(), TestCaseError> {
        let Some(before) = self.state.jobs().get(id).cloned() else {
            return Ok(());
        };
        let token = before.attempt.as_ref().map_or(0, |attempt| attempt.token);
        let token = if old_token {
            token.wrapping_sub(1)
        } else {
            token
        };
        let at_ms = self.oracle.at_ms;
        let answer = self.apply(&Command::Move {
            job: id,
            token,
            step: step.clone(),
            at_ms,
        });
        let Answer::Moved(after) = answer else {
            let now = self.state.jobs().get(id).cloned();
            prop_assert_eq!(Some(before), now, "a refused step changed the job");
            return Ok(());
        };
        prop_assert!(
            !old_token,
            "a step with an old token took effect: {:?}",
            step
        );
        prop_assert!(!before.state.is_end(), "a job left its end");
        use Stage::*;
        let allowed = match (before.state, after.state) {
            (Queued, Placed | Done) | (Placed, Queued | Starting) => true,
            (Starting, Running | Stopping | Done) | (Running, Stopping | Done) => true,
            (Stopping, Queued) => after.spec.repeatable && !after.cancelled,
            (Stopping, Unknown) => !after.spec.repeatable,
            (Stopping, Cancelled) => after.cancelled,
            (Stopping, Failed | Done) => !after.cancelled,
            _ => false,
        };
        prop_assert!(allowed, "{:?} to {:?}", before.state, after.state);
        if after.state == Starting {
            let starts = self.oracle.starts.entry(id).or_default();
            *starts += 1;
            prop_assert!(after.spec.repeatable || *starts == 1, "a second start");
        }
        if after.state == Placed {
            let new = after.attempt.as_ref().unwrap().token;
            prop_assert!(new > token, "tokens only grow");
        }
        Ok(())
    }

    fn cancel(&mut self, id: u64) -> Result<(), TestCaseError> {
        let before = self.state.jobs().get(id).cloned();
        let answer = self.apply(&Command::Cancel {
            job: id,
            at_ms: self.oracle.at_ms,
        });
        let Some(before) = before else {
            prop_assert_eq!(answer, Answer::Missing);
            return Ok(());
        };
        let started = self.oracle.starts.get(&id).copied().unwrap_or(0) > 0;
        let expected = match before.state {
            state if state.is_end() => Cancellation::AlreadyEnded,
            Stage::Queued | Stage::Placed if !started => Cancellation::NotRun,
            _ => Cancellation::WhileRunning,
        };
        let Answer::Cancelled(outcome, after) = answer else {
            return Err(TestCaseError::fail(format!("{answer:?}")));
        };
        prop_assert_eq!(outcome, expected);
        match before.state {
            state if state.is_end() => prop_assert_eq!(*after, before),
            Stage::Queued | Stage::Placed => prop_assert_eq!(after.state, Stage::Cancelled),
            _ => prop_assert!(after.state == Stage::Stopping && after.cancelled),
        }
        Ok(())
    }

    /// At most one open claim per key, and none after an end other than a release.
    fn claim(&mut self, key: u8, holder: u8, resend: bool) -> Result<(), TestCaseError> {
        let entry = self.oracle.keys.entry(key).or_default();
        let at_ms = match entry.last_claim.get(&holder) {
            Some(at) if resend => *at,
            _ => self.oracle.at_ms,
        };
        entry.last_claim.insert(holder, at_ms);
        let command = Command::Claim {
            account: "firm-a".into(),
            key: format!("key-{key}"),
            digest: 7,
            instance: u64::from(holder),
            incarnation: 1,
            at_ms,
        };
        let answer = self.state.apply(&command.encode());
        let old = at_ms < self.oracle.at_ms;
        match answer {
            Answer::Granted => {
                prop_assert!(entry.ended.is_none(), "granted after {:?}", entry.ended);
                if let Some(open) = entry.open {
                    prop_assert_eq!(open, (holder, at_ms), "granted twice");
                }
                let settled = entry.last_settle.get(&holder);
                prop_assert!(
                    settled.is_none_or(|(at, end)| *end != Stored::Released || *at < at_ms),
                    "a copy of a released claim was granted"
                );
                entry.open = Some((holder, at_ms));
                entry.changed_ms = entry.changed_ms.max(at_ms);
            }
            Answer::Claimed(Claim { phase, .. }) => match phase {
                Phase::Held { instance, .. } => {
                    prop_assert_eq!(
                        Some(instance),
                        entry.open.map(|(holder, _)| u64::from(holder))
                    );
                }
                Phase::Ended(Stored::Released) => prop_assert!(old, "a new claim was refused"),
                Phase::Ended(end) => prop_assert_eq!(Some(end), entry.ended.clone()),
            },
            other => prop_assert!(false, "{:?}", other),
        }
        Ok(())
    }

    fn settle(&mut self, key: u8, holder: u8, end: u8, resend: bool) -> Result<(), TestCaseError> {
        let entry = self.oracle.keys.entry(key).or_default();
        let end = match end {
            0 => Stored::Released,
            1 => Stored::Unknown,
            _ => Stored::Answered {
                status: 200,
                headers: Vec::new(),
                body: Some(vec![holder]),
            },
        };
        let (at_ms, end) = match entry.last_settle.get(&holder) {
            Some(last) if resend => last.clone(),
            _ => (self.oracle.at_ms, end),
        };
        entry.last_settle.insert(holder, (at_ms, end.clone()));
        let command = Command::Settle {
            account: "firm-a".into(),
            key: format!("key-{key}"),
            instance: u64::from(holder),
            incarnation: 1,
            end: end.clone(),
            at_ms,
        };
        let answer = self.state.apply(&command.encode());
        match (answer, entry.open) {
            (Answer::Done, Some((owner, since))) => {
                prop_assert!(
                    owner == holder && at_ms >= since,
                    "ended a claim of another request"
                );
                entry.open = None;
                entry.ended = (end != Stored::Released).then_some(end);
                entry.changed_ms = at_ms;
            }
            (Answer::Missing, None) => prop_assert!(entry.ended.is_none()),
            (Answer::Claimed(_), open) => {
                let current = open.is_some_and(|(owner, since)| owner == holder && at_ms >= since);
                prop_assert!(!current, "the holder could not end its claim");
            }
            other => prop_assert!(false, "{:?}", other),
        }
        Ok(())
    }

    /// No accelerator is held twice, and only ended jobs have ended.
    fn check(&self) -> Result<(), TestCaseError> {
        let jobs = self.state.jobs();
        let mut held = IndexMap::new();
        for job in jobs.iter().filter(|job| job.state.holds()) {
            for member in &job.attempt.as_ref().unwrap().members {
                for index in &member.accelerators {
                    let before = held.insert((member.worker.clone(), *index), job.id);
                    prop_assert!(before.is_none(), "{:?} held twice", (member, job.id));
                }
            }
        }
        Ok(())
    }
}
