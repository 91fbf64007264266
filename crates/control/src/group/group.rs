use {
    super::Error,
    crate::{
        peers::Peers,
        state::{Answer, State},
    },
    model::clock::Clock,
    quorum::Settings,
    replica::StateMachine,
    std::{ops::Deref, sync::Arc},
};

/// What a replica needs to start.
pub struct Setup {
    /// Name of the group.
    pub name: String,
    /// Id of this instance.
    pub id: u64,
    /// Timing and sizes.
    pub settings: Settings,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Connections to the other instances.
    pub peers: Peers,
}

/// A running replica and its replicated state.
#[derive(Clone)]
pub struct Group {
    replica: replica::Group,
    state: Arc<State>,
}

impl Group {
    /// Loads what the disk holds and starts the replica's thread.
    pub fn spawn(folder: &disk::Folder, setup: Setup) -> Result<Group, Error> {
        let state = Arc::new(State::default());
        let setup = replica::Setup {
            name: setup.name,
            id: setup.id,
            settings: setup.settings,
            clock: setup.clock,
            transport: Arc::new(setup.peers),
            state_machine: state.clone(),
            initial_members: None,
        };
        let replica = replica::Group::spawn(folder, setup)?;
        Ok(Group { replica, state })
    }

    /// The replicated state as of the last applied entry.
    pub fn state(&self) -> &State {
        &self.state
    }
}

impl Deref for Group {
    type Target = replica::Group;

    fn deref(&self) -> &replica::Group {
        &self.replica
    }
}

impl StateMachine for State {
    fn apply(&self, command: &[u8], awaited: bool) -> Result<Vec<u8>, String> {
        let answer = State::apply(self, command);
        if let Answer::Malformed(error) = &answer {
            log::error!("event=command_malformed error=\"{error}\"");
        }
        if !awaited {
            return Ok(Vec::new());
        }
        serde_json::to_vec(&answer).map_err(|error| error.to_string())
    }

    fn save(&self) -> Result<Vec<u8>, String> {
        State::save(self).map_err(|error| error.to_string())
    }

    fn restore(&self, bytes: &[u8]) -> Result<(), String> {
        State::restore(self, bytes).map_err(|error| error.to_string())
    }
}
