use {
    super::{
        World,
        happening::{Happening, Order, Waiting},
    },
    plan::engine::{Event, Failure, Listing, Target},
    rand::RngExt,
    work::id,
};

/// Time that upstreams take to stop a run, in milliseconds.
const STOP_MS: f64 = 250.0;

/// One way between the leader and an upstream, in milliseconds.
const TRAVEL_MS: f64 = 4.0;

/// Time after which an unanswered order is given up, in milliseconds.
const TIMEOUT_MS: f64 = 500.0;

/// Orders and answers on their way.
impl World {
    /// Sends an order, which may be lost, late or unanswered.
    pub(super) fn send(&mut self, term: u64, call: u64, target: Target, order: Order) {
        let faults = self.setup.faults;
        let draw: f64 = self.rng.random();
        let travel = TRAVEL_MS * self.rng.random_range(0.5..1.5);
        let wait = match &order {
            Order::Hold(hold) => hold.wait.as_secs_f64() * 1000.0,
            _ => 0.0,
        };
        let cut = self.is_cut(&target.upstream, term);
        let lost = cut || draw < faults.lost;
        let late = !cut && draw > 1.0 - faults.late;
        let unanswered = !lost && !late && draw < faults.lost + faults.unanswered;
        if lost || late || unanswered {
            let event = failed(call, &order);
            self.at(
                self.now_ms + wait + TIMEOUT_MS,
                Happening::Answer { term, event },
            );
        }
        if lost {
            return;
        }
        let delay = if late {
            self.rng.random_range(2000.0..12_000.0)
        } else {
            travel
        };
        let answered = !late && !unanswered;
        self.at(
            self.now_ms + delay,
            Happening::Reach {
                term,
                call,
                target,
                order,
                answered,
                late,
            },
        );
    }

    pub(super) fn reach(
        &mut self,
        term: u64,
        call: u64,
        target: &Target,
        order: Order,
        answered: bool,
        late: bool,
    ) {
        let id = target.upstream.clone();
        // A late order may have been under way to an earlier incarnation.
        if (self.is_cut(&id, term) && !late) || self.departed.contains(&id) {
            return;
        }
        let token = (term << 32) + target.token_offset;
        self.note_lapse(&id);
        let event = match order {
            Order::Start(start) => {
                let answer = self.start(&id, &start, token, late);
                let answer = answer.map_err(Failure::Refused);
                Event::StartAnswered { call, answer }
            }
            Order::Stop(stop) => {
                let now_ms = self.now_ms;
                let Some(upstream) = self.upstreams.get_mut(&id) else {
                    return;
                };
                let key = (stop.task, stop.run);
                if late
                    && upstream
                        .runs
                        .get(&key)
                        .is_some_and(|run| run.stops_at.is_none())
                {
                    self.late_stops.insert(key);
                }
                let answer = upstream.stop(stop, token, now_ms, STOP_MS);
                let answer = answer.map(|()| None).map_err(Failure::Refused);
                Event::StopAnswered { call, answer }
            }
            Order::Hold(hold) => {
                let now_ms = self.now_ms;
                let Some(upstream) = self.upstreams.get_mut(&id) else {
                    return;
                };
                match upstream.hold(&hold, token, now_ms) {
                    Err(refusal) => Event::HoldAnswered {
                        call,
                        answer: Err(Failure::Refused(refusal)),
                    },
                    Ok(()) if !answered => return,
                    Ok(()) => {
                        let has_ends = upstream.ends.iter().any(|end| end.number > hold.last_end);
                        let wait_ms = hold.wait.as_secs_f64() * 1000.0;
                        // A hold of an earlier leader, which goes on.
                        let other = self.waiting.get(&id).map(|waiting| waiting.term);
                        if other.is_some_and(|other| self.is_deposed(other)) {
                            self.answer_hold(&id);
                        }
                        self.waiting.insert(id.clone(), Waiting { term, call });
                        if has_ends || wait_ms == 0.0 {
                            self.answer_hold(&id);
                        } else {
                            self.at(now_ms + wait_ms, Happening::HoldDue { upstream: id, call });
                        }
                        return;
                    }
                }
            }
        };
        if answered {
            self.at(self.now_ms + TRAVEL_MS, Happening::Answer { term, event });
        }
    }

    /// Whether a leader can't reach an upstream.
    fn is_cut(&self, id: &id::Upstream, term: u64) -> bool {
        let first_cut = self.cut_from_term.get(id);
        self.cut.contains_key(id) || first_cut.is_some_and(|first| term >= *first)
    }

    pub(super) fn answer_hold(&mut self, id: &id::Upstream) {
        let Some(Waiting { term, call }) = self.waiting.shift_remove(id) else {
            return;
        };
        let Some(upstream) = self.upstreams.get(id) else {
            return;
        };
        let held: Listing = upstream.list(self.now_ms);
        let answer = match self.is_cut(id, term) {
            true => Err(Failure::NoAnswer("cut".into())),
            false => Ok(held),
        };
        let delay = if answer.is_ok() {
            TRAVEL_MS
        } else {
            TIMEOUT_MS
        };
        let event = Event::HoldAnswered { call, answer };
        self.at(self.now_ms + delay, Happening::Answer { term, event });
    }
}

fn failed(call: u64, order: &Order) -> Event {
    let failure = Failure::NoAnswer("lost".into());
    match order {
        Order::Start(_) => Event::StartAnswered {
            call,
            answer: Err(failure),
        },
        Order::Stop(_) => Event::StopAnswered {
            call,
            answer: Err(failure),
        },
        Order::Hold(_) => Event::HoldAnswered {
            call,
            answer: Err(failure),
        },
    }
}
