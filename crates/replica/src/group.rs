use {
    super::{Error, StateMachine, Transport, View, codec, driver::Driver, input::Input},
    model::clock::Clock,
    quorum::{Change, Member, Members, PersistentState, Settings},
    std::{
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
            mpsc,
        },
        thread,
        time::Duration,
    },
    tokio::sync::oneshot,
    wire::Verdict,
};

/// Capacity of the input queue of a replica's thread. Further messages are dropped and proposals refused.
const MAX_QUEUED_INPUTS: usize = 4096;

/// What a replica needs to start.
pub struct Setup {
    /// Name of the group.
    pub name: String,
    /// Id of this instance in the group.
    pub id: u64,
    /// Timeouts and size limits of the consensus.
    pub settings: Settings,
    /// Clock for timeouts and leases.
    pub clock: Arc<dyn Clock>,
    /// Connections to the other replicas.
    pub transport: Arc<dyn Transport>,
    /// The replicated state, initially empty.
    pub state_machine: Arc<dyn StateMachine>,
    /// Members of a new group; used only if the disk has no state of the group. All replicas that start this way must
    /// get the same list.
    pub initial_members: Option<Members>,
}

/// A running replica.
#[derive(Clone)]
pub struct Group {
    name: Arc<str>,
    member: Member,
    inputs: mpsc::SyncSender<Input>,
    view: Arc<Mutex<View>>,
    stop_requested: Arc<AtomicBool>,
    clock: Arc<dyn Clock>,
    /// Time between the end of a lease and the earliest election of another leader.
    election_margin: Duration,
    /// Whether the disk had state of the group at the start.
    had_state: bool,
}

impl Group {
    /// Loads the state from disk and starts the replica's thread.
    pub fn spawn(folder: &disk::Folder, setup: Setup) -> Result<Group, Error> {
        let (store, contents) = disk::Store::open(folder, &setup.name)?;
        let mut store = store;
        let mut state = codec::decode_state(folder.incarnation(), contents)?;
        if let Some(members) = setup.initial_members.clone().filter(|_| is_empty(&state)) {
            state = PersistentState::bootstrap(state.incarnation, members);
            codec::append_entries(&mut store, &state.entries)?;
            store.sync()?;
        }
        let member = Member {
            id: setup.id,
            incarnation: state.incarnation,
        };
        if let Some(snapshot) = &state.snapshot {
            setup
                .state_machine
                .restore(&snapshot.data)
                .map_err(Error::State)?;
        }
        let had_state = !is_empty(&state);
        let view = Arc::new(Mutex::new(View::default()));
        let election_margin = setup
            .settings
            .election_timeout_min
            .saturating_sub(setup.settings.lease_duration());
        let clock = setup.clock.clone();
        let (inputs, receiver) = mpsc::sync_channel(MAX_QUEUED_INPUTS);
        let name: Arc<str> = setup.name.as_str().into();
        let stop_requested = Arc::new(AtomicBool::new(false));
        let driver = Driver::new(setup, state, store, view.clone(), stop_requested.clone());
        thread::Builder::new()
            .name(format!("group-{name}"))
            .spawn(move || driver.run(&receiver))
            .map_err(Error::Thread)?;
        Ok(Group {
            name,
            member,
            inputs,
            view,
            stop_requested,
            clock,
            election_margin,
            had_state,
        })
    }

    /// The group's name, as in [`Setup::name`].
    pub fn name(&self) -> &str {
        &self.name
    }

    /// This replica's id and incarnation.
    pub fn member(&self) -> Member {
        self.member
    }

    /// State of the replica as of its last step.
    pub fn view(&self) -> View {
        self.view
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Whether this replica leads now. The view alone may be outdated, because the replica's thread may be waiting for
    /// the disk.
    pub fn leads(&self) -> bool {
        let confirmed_at = self.view().lease_confirmed_at;
        confirmed_at.is_some_and(|at| self.clock.now() < at + self.election_margin)
    }

    /// Whether the replica's thread has ended, on request or because of a failure.
    pub fn has_ended(&self) -> bool {
        self.view().has_ended
    }

    /// Whether this replica has state of its group, or has heard of a leader or candidate.
    pub fn is_initialized(&self) -> bool {
        let view = self.view();
        self.had_state || view.last_index > 0 || view.term > 0
    }

    /// Forms the group with this replica as its only voter, unless it has state of the group or has heard of a leader
    /// or candidate.
    ///
    /// The caller must make sure that no other instance has state of the group.
    pub fn bootstrap(&self) {
        drop(self.inputs.try_send(Input::Bootstrap));
    }

    /// Passes on messages from another replica. Drops them if the input queue is full.
    pub fn deliver(&self, sender: u64, messages: Vec<Vec<u8>>) {
        drop(self.inputs.try_send(Input::Deliver { sender, messages }));
    }

    /// Proposes a command and waits until it is applied or refused, or until its outcome is unknown.
    pub async fn propose(&self, command: Vec<u8>) -> Verdict {
        let (reply, verdict) = oneshot::channel();
        if self
            .inputs
            .try_send(Input::Propose { command, reply })
            .is_err()
        {
            return Verdict::NotRun(format!(
                "the input queue of group {} is full or its replica has stopped",
                self.name
            ));
        }
        verdict
            .await
            .unwrap_or_else(|_| Verdict::Unknown(format!("the replica of {} stopped", self.name)))
    }

    /// Waits until reads of the local state are linearizable. The error says why they are not.
    pub async fn read(&self) -> Result<(), Verdict> {
        let stopped = || {
            Verdict::NotRun(format!(
                "the replica of {} has stopped or its input queue is full",
                self.name
            ))
        };
        let (reply, barrier) = oneshot::channel();
        if self.inputs.try_send(Input::Read { reply }).is_err() {
            return Err(stopped());
        }
        match barrier.await {
            Ok(None) => Ok(()),
            Ok(Some(refusal)) => Err(refusal),
            Err(_) => Err(stopped()),
        }
    }

    /// Proposes a membership change, if this replica leads. The result appears in the view.
    pub fn propose_change(&self, change: Change) {
        drop(self.inputs.try_send(Input::Change(change)));
    }

    /// Transfers leadership to another voter, if this replica leads.
    pub fn transfer_leadership(&self) {
        drop(self.inputs.try_send(Input::TransferLeadership));
    }

    /// Stops the replica's thread without waiting for its end.
    pub fn stop(&self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        // The thread also checks the flag, in case the queue is full.
        drop(self.inputs.try_send(Input::Stop));
    }
}

fn is_empty(state: &PersistentState) -> bool {
    state.entries.is_empty() && state.snapshot.is_none() && state.hard == Default::default()
}
