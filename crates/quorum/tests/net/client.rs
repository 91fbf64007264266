use {
    super::{
        MS, ScheduledEvent, Simulation,
        linearizability::{Action, Operation},
        state_machine,
    },
    quorum::{Event, Outcome},
    rand::RngExt,
};

/// Time after which a client treats the outcome of an operation as unknown.
const CLIENT_TIMEOUT: u64 = 1_500 * MS;

/// Virtual time after which the share of writes may change; it is low in every third period.
const WRITE_RATE_PERIOD: u64 = 3_000 * MS;

/// Client with at most one operation at a time.
#[derive(Default)]
pub struct Client {
    /// Position of the replica that gets the next request.
    next_replica: usize,
    /// Latest value seen; the expected value of the next write.
    value: u64,
    pub current: Option<Request>,
}

#[derive(Clone, Copy)]
pub struct Request {
    pub request_id: u64,
    start: u64,
    /// The expected value of a compare-and-set; `None` for a read.
    expected: Option<u64>,
    /// Highest index that any answer had shown when the operation started.
    shown_index: u64,
}

impl Simulation {
    /// Sends a read or a compare-and-set to a replica.
    pub fn start_operation(&mut self, client: usize) {
        if self.time >= self.operations_end {
            return;
        }
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let (time, shown_index) = (self.time, self.oracle.shown_index);
        let mut to = self.clients[client].next_replica;
        if self.rng.random_bool(0.3) {
            to = self.rng.random_range(0..self.replicas.len());
        }
        let value = self.clients[client].value;
        // While there are few writes, a replica that misses messages keeps a log that can win an
        // election.
        let write_probability = if (time / WRITE_RATE_PERIOD).is_multiple_of(3) {
            0.02
        } else {
            0.6
        };
        let expected = self.rng.random_bool(write_probability).then_some(value);
        self.clients[client].next_replica = to;
        self.clients[client].current = Some(Request {
            request_id,
            start: time,
            expected,
            shown_index,
        });
        self.request_owners.insert(request_id, client);
        let event = match expected {
            Some(expected) => Event::Propose {
                request_id,
                command: state_machine::command(request_id, expected),
            },
            None => Event::Read { request_id },
        };
        let delay = self.rng.random_range(0..2 * MS);
        self.schedule(delay, ScheduledEvent::Request { to, event });
        self.schedule(
            CLIENT_TIMEOUT,
            ScheduledEvent::ClientTimeout { client, request_id },
        );
    }

    /// Ends an operation without an outcome, which may still take effect, and schedules the next
    /// one.
    pub fn expire(&mut self, client: usize, request_id: u64) {
        let Some(request) = self.clients[client]
            .current
            .take_if(|it| it.request_id == request_id)
        else {
            return;
        };
        if let Some(expected) = request.expected {
            let action = Action::Write {
                expected,
                new: request_id,
            };
            self.oracle.history.push(Operation {
                start: request.start,
                end: u64::MAX,
                action,
            });
        }
        self.clients[client].next_replica = self.rng.random_range(0..self.replicas.len());
        self.schedule(MS, ScheduledEvent::StartOperation { client });
    }

    /// Checks the outcome that a replica reports, and adds the operation to the history.
    pub fn answer(&mut self, at: usize, request_id: u64, outcome: Outcome) -> Result<(), String> {
        let machine = &self.replicas[at].state_machine;
        let (value, applied) = (machine.value, machine.applied);
        let found = machine.found_values.get(&request_id).copied();
        if let Outcome::NotLeader { .. } | Outcome::Refused { .. } = outcome {
            if self.oracle.commands.contains_key(&request_id) {
                return Err(format!(
                    "command {request_id} was applied and reported as not run"
                ));
            }
            self.oracle.refused.insert(request_id);
        }
        if !self.ended_requests.insert(request_id) {
            return Err(format!("request {request_id} ended twice"));
        }
        let Some(client) = self.request_owners.get(&request_id).copied() else {
            return Ok(());
        };
        if outcome == Outcome::Lost {
            self.expire(client, request_id);
            return Ok(());
        }
        let Some(request) = self.clients[client]
            .current
            .take_if(|it| it.request_id == request_id)
        else {
            return Ok(());
        };
        let (start, end) = (request.start, self.time);
        let mut action = None;
        let mut delay = self.rng.random_range(MS..40 * MS);
        match outcome {
            Outcome::Committed { index } => {
                let found = found.ok_or_else(|| {
                    format!("command {request_id} was reported as committed before it was applied")
                })?;
                if self.oracle.commands.get(&request_id) != Some(&index) {
                    return Err(format!("command {request_id} is not at index {index}"));
                }
                self.stats.writes += 1;
                self.oracle.shown_index = self.oracle.shown_index.max(index);
                let (expected, new) = (request.expected.unwrap_or(0), request_id);
                let changed = found == expected;
                self.clients[client].value = if changed { new } else { found };
                action = Some(if changed {
                    Action::Write { expected, new }
                } else {
                    Action::Found { value: found }
                });
            }
            Outcome::ReadReady { .. } => {
                if applied < request.shown_index && self.stale_read.is_none() {
                    // The run continues, so that the linearizability check must detect it too.
                    let shown_index = request.shown_index;
                    self.stale_read = Some(format!(
                        "stale read: index {applied} after index {shown_index} was shown"
                    ));
                }
                self.stats.reads += 1;
                self.oracle.shown_index = self.oracle.shown_index.max(applied);
                self.clients[client].value = value;
                action = Some(Action::Found { value });
            }
            Outcome::NotLeader { leader } => {
                let random = self.rng.random_range(0..self.replicas.len());
                self.clients[client].next_replica = leader.map_or(random, |id| id as usize - 1);
            }
            _ => delay = 100 * MS,
        }
        if let Some(action) = action {
            self.oracle.history.push(Operation { start, end, action });
        }
        self.schedule(delay, ScheduledEvent::StartOperation { client });
        Ok(())
    }
}
