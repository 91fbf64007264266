mod full_disk;

use {
    super::{Error, Setup, StateMachine, Transport, View, codec, input::Input},
    indexmap::IndexMap,
    model::clock::Clock,
    quorum::{
        Effect, Entry, Event, Members, Message, Node, Outcome, Payload, PersistentState, Refusal,
        Settings,
    },
    std::{
        collections::VecDeque,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
            mpsc,
        },
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
    wire::Verdict,
};

/// Limit of inputs that share one sync of the disk with the first.
const MAX_BATCH: usize = 256;

/// Largest accepted command. A store accepts entries of up to 4 MiB, and the other replicas must be able to receive
/// the command.
const MAX_COMMAND_BYTES: usize = 2 * 1024 * 1024;

/// Applied entries since the last snapshot after which the next one is taken.
const SNAPSHOT_ENTRIES: u64 = 4096;

/// Bytes of commands applied since the last snapshot after which the next one is taken.
const SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;

/// Receiver of the outcome of a request. The outcome of a membership change is only logged.
enum Waiter {
    Propose(oneshot::Sender<Verdict>),
    Read(oneshot::Sender<Option<Verdict>>),
    Change,
}

/// Feeds inputs to a consensus node and performs its effects.
pub(super) struct Driver {
    name: String,
    node: Node,
    store: disk::Store,
    state_machine: Arc<dyn StateMachine>,
    view: Arc<Mutex<View>>,
    clock: Arc<dyn Clock>,
    transport: Arc<dyn Transport>,
    settings: Settings,
    /// Time of the node's last step.
    last_step_at: Instant,
    /// Longest wait for an input before the node is stepped.
    tick_interval: Duration,
    last_request_id: u64,
    /// Time of the last transfer of leadership because of a full disk.
    left_leadership_at: Option<Instant>,
    waiters: IndexMap<u64, Waiter>,
    /// Answers of the state machine by the index of the applied entry.
    answers: IndexMap<u64, Vec<u8>>,
    /// Encoded messages by receiver, sent after the sync.
    outbox: IndexMap<u64, Vec<Vec<u8>>>,
    /// Bytes of the commands accepted in the current batch.
    batch_bytes: u64,
    /// Set by [`Group::stop`](super::Group::stop); also checked while the replica waits for disk space.
    stop_requested: Arc<AtomicBool>,
    /// Index and term of the last applied entry.
    applied: (u64, u64),
    entries_since_snapshot: u64,
    bytes_since_snapshot: usize,
}

impl Drop for Driver {
    /// Clears leader and lease in the view, however the thread ends.
    fn drop(&mut self) {
        let mut view = self.view();
        view.leader = None;
        view.leading_since = None;
        view.lease_confirmed_at = None;
        view.has_ended = true;
        view.stop_reason
            .get_or_insert_with(|| "the replica's thread has ended".into());
    }
}

impl Driver {
    pub(super) fn new(
        setup: Setup,
        state: PersistentState,
        store: disk::Store,
        view: Arc<Mutex<View>>,
        stop_requested: Arc<AtomicBool>,
    ) -> Driver {
        let now = setup.clock.now();
        let seed = state.incarnation ^ setup.id;
        let applied = state
            .snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let tick_interval = setup.settings.heartbeat_interval / 3;
        Driver {
            name: setup.name,
            node: Node::new(setup.id, setup.settings.clone(), state, seed, now),
            settings: setup.settings,
            last_step_at: now,
            store,
            state_machine: setup.state_machine,
            view,
            clock: setup.clock,
            transport: setup.transport,
            tick_interval,
            last_request_id: 0,
            left_leadership_at: None,
            waiters: IndexMap::new(),
            answers: IndexMap::new(),
            outbox: IndexMap::new(),
            batch_bytes: 0,
            stop_requested,
            applied,
            entries_since_snapshot: 0,
            bytes_since_snapshot: 0,
        }
    }

    /// Runs until it is stopped or an error, such as a failed write, occurs.
    pub(super) fn run(mut self, inputs: &mpsc::Receiver<Input>) {
        while !self.stop_requested.load(Ordering::Relaxed) {
            let mut events = VecDeque::new();
            let first = match inputs.recv_timeout(self.tick_interval) {
                Ok(Input::Stop) | Err(mpsc::RecvTimeoutError::Disconnected) => return,
                Ok(input) => Some(input),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
            };
            let mut result = Ok(());
            for input in first.into_iter().chain(inputs.try_iter().take(MAX_BATCH)) {
                if matches!(input, Input::Stop) {
                    return;
                }
                result = result.and_then(|()| self.handle(input, &mut events));
            }
            self.batch_bytes = 0;
            events.push_back(Event::Tick);
            if let Err(error) = result.and_then(|()| self.step(events)) {
                // A failed write or sync may have lost entries that other replicas rely on, so nothing more is
                // sent or answered.
                log::error!(
                    "event=replica_stopped group={} error=\"{error}\"",
                    self.name
                );
                self.view().stop_reason = Some(error.to_string());
                return;
            }
            self.publish();
        }
    }

    fn view(&self) -> std::sync::MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&mut self, waiter: Waiter) -> u64 {
        self.last_request_id += 1;
        self.waiters.insert(self.last_request_id, waiter);
        self.last_request_id
    }

    fn handle(&mut self, input: Input, events: &mut VecDeque<Event>) -> Result<(), Error> {
        match input {
            Input::Deliver { sender, messages } => {
                for bytes in messages {
                    match postcard::from_bytes::<Message>(&bytes) {
                        Ok(message) => events.push_back(Event::Message {
                            from: sender,
                            message,
                        }),
                        Err(error) => log::warn!(
                            "event=message_malformed group={} sender={sender} error=\"{error}\"",
                            self.name
                        ),
                    }
                }
            }
            Input::Propose { command, reply } => {
                if command.len() > MAX_COMMAND_BYTES {
                    let reason = format!(
                        "the command has {} bytes; at most {MAX_COMMAND_BYTES} are accepted",
                        command.len()
                    );
                    drop(reply.send(Verdict::NotRun(reason)));
                    return Ok(());
                }
                // All commands of a batch are written together.
                let bytes = self.batch_bytes + command.len() as u64;
                if let Err(error) = self.store.check_space(bytes) {
                    drop(reply.send(Verdict::NotRun(error.to_string())));
                    return self.leave_leadership(events);
                }
                self.batch_bytes = bytes;
                let request_id = self.register(Waiter::Propose(reply));
                events.push_back(Event::Propose {
                    request_id,
                    command,
                });
            }
            Input::Read { reply } => {
                let request_id = self.register(Waiter::Read(reply));
                events.push_back(Event::Read { request_id });
            }
            Input::Change(change) => {
                let request_id = self.register(Waiter::Change);
                events.push_back(Event::ChangeMembers { request_id, change });
            }
            Input::TransferLeadership => self.transfer_leadership(events)?,
            Input::Bootstrap => self.bootstrap()?,
            Input::Stop => {}
        }
        Ok(())
    }

    fn transfer_leadership(&mut self, events: &mut VecDeque<Event>) -> Result<(), Error> {
        let now = self.clock.now();
        let effects = self.node.transfer_leadership(None, now);
        self.perform(effects, events)
    }

    /// Forms the group with this replica as its only voter, unless it has state of a group or has heard of one.
    fn bootstrap(&mut self) -> Result<(), Error> {
        if self.node.last_index() > 0 || self.node.term() > 0 {
            return Ok(());
        }
        let member = self.node.member();
        let state = PersistentState::bootstrap(member.incarnation, Members::new([member]));
        self.retry_while_full(|store| codec::append_entries(store, &state.entries))?;
        self.retry_while_full(|store| Ok(store.sync()?))?;
        let seed = member.incarnation ^ member.id;
        let now = self.clock.now();
        self.node = Node::new(member.id, self.settings.clone(), state, seed, now);
        log::info!("event=group_formed group={}", self.name);
        Ok(())
    }

    /// Steps the node with all events and with those that its effects cause. Syncs the disk once for each round of
    /// effects.
    fn step(&mut self, mut events: VecDeque<Event>) -> Result<(), Error> {
        while !events.is_empty() {
            let mut effects = Vec::new();
            for event in events.drain(..) {
                self.last_step_at = self.clock.now();
                effects.extend(self.node.step(event, self.last_step_at));
            }
            self.perform(effects, &mut events)?;
            if events.is_empty() {
                events.extend(self.compact()?);
            }
        }
        Ok(())
    }

    /// Performs effects in order. An `InstallSnapshot` replaces the state, so those before it are performed first.
    fn perform(
        &mut self,
        mut effects: Vec<Effect>,
        events: &mut VecDeque<Event>,
    ) -> Result<(), Error> {
        let is_install = |effect: &Effect| matches!(effect, Effect::InstallSnapshot { .. });
        while let Some(at) = effects.iter().skip(1).position(is_install) {
            let rest = effects.split_off(at + 1);
            self.perform_part(std::mem::replace(&mut effects, rest), events)?;
        }
        self.perform_part(effects, events)
    }

    /// Performs the effects that write to disk and syncs once, then performs the others in order.
    fn perform_part(
        &mut self,
        effects: Vec<Effect>,
        events: &mut VecDeque<Event>,
    ) -> Result<(), Error> {
        let mut needs_sync = false;
        for effect in &effects {
            needs_sync |= self.persist(effect, events)?;
        }
        if needs_sync {
            self.retry_while_full(|store| Ok(store.sync()?))?;
        }
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let bytes = postcard::to_stdvec(&message)?;
                    self.outbox.entry(to).or_default().push(bytes);
                }
                Effect::Apply { entry } => self.apply(entry),
                Effect::Respond {
                    request_id,
                    outcome,
                } => self.respond(request_id, outcome),
                Effect::Persist { .. }
                | Effect::InstallSnapshot { .. }
                | Effect::SaveSnapshot { .. } => {}
            }
        }
        self.answers.clear();
        for (to, messages) in self.outbox.drain(..) {
            self.transport.deliver(to, &self.name, messages);
        }
        Ok(())
    }

    /// Writes one effect to the store; returns whether the store must be synced.
    fn persist(&mut self, effect: &Effect, events: &mut VecDeque<Event>) -> Result<bool, Error> {
        match effect {
            Effect::Persist {
                hard_state,
                truncate,
                entries,
            } => {
                if let Some(hard_state) = hard_state {
                    self.store
                        .set_hard(&codec::encode_hard_state(hard_state)?)?;
                }
                if let Some(index) = truncate {
                    self.store.truncate_from(*index)?;
                }
                if let Some(last) = entries.last() {
                    self.retry_while_full(|store| codec::append_entries(store, entries))?;
                    events.push_back(Event::Synced { index: last.index });
                }
                Ok(true)
            }
            Effect::InstallSnapshot { snapshot } => {
                let bytes = codec::encode_snapshot(snapshot)?;
                let save = |store: &mut disk::Store| {
                    Ok(store.save_snapshot(snapshot.index, snapshot.term, &bytes)?)
                };
                self.retry_while_full(save)?;
                // Entries after the snapshot may conflict with it. They are removed only after the snapshot is
                // synced, because a crash in between must not lose acknowledged entries.
                self.store.truncate_from(snapshot.index + 1)?;
                self.state_machine
                    .restore(&snapshot.data)
                    .map_err(Error::State)?;
                self.applied = (snapshot.index, snapshot.term);
                events.push_back(Event::Synced {
                    index: snapshot.index,
                });
                Ok(true)
            }
            Effect::SaveSnapshot { snapshot } => {
                let bytes = codec::encode_snapshot(snapshot)?;
                let saved = self
                    .store
                    .save_snapshot(snapshot.index, snapshot.term, &bytes);
                // The previous snapshot and the log since then are still on disk, so it is enough if a later
                // snapshot succeeds.
                match saved {
                    Err(error @ (disk::Error::Full { .. } | disk::Error::TooLarge { .. })) => {
                        log::error!(
                            "event=snapshot_failed group={} error=\"{error}\"",
                            self.name
                        );
                    }
                    saved => saved?,
                }
                Ok(false)
            }
            _ => Ok(false),
        }
    }

    fn apply(&mut self, entry: Entry) {
        self.applied = (entry.index, entry.term);
        self.entries_since_snapshot += 1;
        if let Payload::Command(command) = &entry.payload {
            self.bytes_since_snapshot += command.len();
            match self.state_machine.apply(command, !self.waiters.is_empty()) {
                Ok(answer) => drop(self.answers.insert(entry.index, answer)),
                Err(error) => log::error!(
                    "event=command_not_applied group={} index={} error=\"{error}\"",
                    self.name,
                    entry.index
                ),
            }
        }
    }

    fn respond(&mut self, request_id: u64, outcome: Outcome) {
        match self.waiters.swap_remove(&request_id) {
            Some(Waiter::Propose(reply)) => drop(reply.send(self.verdict(outcome))),
            Some(Waiter::Read(reply)) => {
                let refusal = match outcome {
                    Outcome::ReadReady { .. } => None,
                    other => Some(self.verdict(other)),
                };
                drop(reply.send(refusal));
            }
            Some(Waiter::Change) => log::debug!(
                "event=membership_change group={} outcome=\"{outcome:?}\"",
                self.name
            ),
            None => {}
        }
    }

    fn verdict(&mut self, outcome: Outcome) -> Verdict {
        match outcome {
            Outcome::Committed { index } => match self.answers.swap_remove(&index) {
                Some(answer) => Verdict::Answer(answer),
                None => Verdict::Unknown("the answer of the command was lost".into()),
            },
            Outcome::ReadReady { .. } => Verdict::Answer(Vec::new()),
            Outcome::NotLeader { leader } => Verdict::NotLeader(leader),
            Outcome::Lost => {
                Verdict::Unknown("the leader changed; resend with the same key".into())
            }
            Outcome::Refused { reason } => Verdict::NotRun(refusal(reason)),
        }
    }

    /// Takes a snapshot if enough entries or bytes were applied since the last one.
    fn compact(&mut self) -> Result<Option<Event>, Error> {
        if self.entries_since_snapshot < SNAPSHOT_ENTRIES
            && self.bytes_since_snapshot < SNAPSHOT_BYTES
        {
            return Ok(None);
        }
        self.entries_since_snapshot = 0;
        self.bytes_since_snapshot = 0;
        let data = self.state_machine.save().map_err(Error::State)?;
        let (index, term) = self.applied;
        Ok(Some(Event::SnapshotTaken { index, term, data }))
    }

    fn publish(&self) {
        let leads = self.node.is_leader();
        let mut view = self.view();
        view.lease_confirmed_at = leads.then_some(self.last_step_at);
        view.last_index = self.node.last_index();
        let leader = self.node.leader();
        if view.leader != leader {
            log::info!(
                "event=leader_changed group={} term={} leader={}",
                self.name,
                self.node.term(),
                leader.unwrap_or(0)
            );
        }
        view.leader = leader;
        view.leading_since = match (leads, view.leading_since) {
            (true, Some(since)) if view.term == self.node.term() => Some(since),
            (true, _) => Some(self.clock.now()),
            (false, _) => None,
        };
        view.term = self.node.term();
        view.commit_index = self.node.commit_index();
        view.applied_index = self.applied.0;
        view.members = self.node.members().clone();
    }
}

fn refusal(reason: Refusal) -> String {
    format!("the leader refused the request: {reason:?}")
}
