use {
    crate::state::ControlState,
    model::clock::Clock,
    peers::Peers,
    plan::engine::MAX_TOKEN_OFFSET,
    quorum::{Change, Member, Members, Settings},
    replica::{Group, View},
    std::{
        fs, io,
        path::{Path, PathBuf},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    wire::Verdict,
    work::registry::{Answer, Command},
};

/// Name of the control group.
pub(crate) const GROUP: &str = "work";

/// Disk incarnation of the initial members of a group. It is fixed, because they must know each other's incarnations
/// before they communicate. A replacement disk gets a random one.
const INITIAL_INCARNATION: u64 = 1;

/// Minimum election timeout. It tolerates the loss of a few packets between regions.
const ELECTION_MIN: Duration = Duration::from_millis(500);

/// Maximum election timeout.
const ELECTION_MAX: Duration = Duration::from_millis(900);

/// Lease duration as a percentage of the minimum election timeout. The rest covers clock drift and the time between two
/// checks of the lease on a busy processor.
const LEASE_PERCENT: u32 = 75;

/// The replica of this instance. It is reopened after a disk failure.
#[derive(Clone)]
pub struct Replica {
    shared: Arc<Shared>,
}

struct Shared {
    id: u64,
    folder: PathBuf,
    /// Ids of the initial members on the first start of the deployment, otherwise empty.
    initial_members: Vec<u64>,
    peers: Peers,
    clock: Arc<dyn Clock>,
    opened: Mutex<Option<Opened>>,
}

#[derive(Clone)]
struct Opened {
    group: Group,
    state: Arc<ControlState>,
    /// Keeps the folder locked.
    _folder: Arc<disk::Folder>,
}

impl Replica {
    pub(super) fn new(
        id: u64,
        folder: PathBuf,
        initial_members: Vec<u64>,
        peers: Peers,
        clock: Arc<dyn Clock>,
    ) -> Replica {
        Replica {
            shared: Arc::new(Shared {
                id,
                folder,
                initial_members,
                peers,
                clock,
                opened: Mutex::default(),
            }),
        }
    }

    /// Opens the replica if it is not open or has stopped. A damaged disk is cleared and opened at the next call.
    pub(super) fn ensure_open(&self) {
        let stopped = match self.opened().as_ref() {
            Some(opened) => opened.group.has_ended(),
            None => true,
        };
        if !stopped {
            return;
        }
        *self.opened() = None;
        match self.open() {
            Ok(opened) => {
                log::info!(
                    "event=replica_opened incarnation={} holds={}",
                    opened.group.member().incarnation,
                    opened.group.is_initialized()
                );
                *self.opened() = Some(opened);
            }
            Err(error) if is_unrecoverable(&error) => {
                log::error!(
                    "event=disk_damaged folder={} error=\"{error}\" action=rejoin_empty",
                    self.shared.folder.display()
                );
                if let Err(error) = clear(&self.shared.folder) {
                    log::error!("event=disk_clear_failed error=\"{error}\"");
                }
            }
            Err(error) => log::error!(
                "event=replica_open_failed folder={} error=\"{error}\"",
                self.shared.folder.display()
            ),
        }
    }

    fn open(&self) -> Result<Opened, replica::Error> {
        let shared = &self.shared;
        let is_initial = shared.initial_members.contains(&shared.id);
        let folder = match is_initial {
            true => disk::Folder::open_as(&shared.folder, INITIAL_INCARNATION)?,
            false => disk::Folder::open(&shared.folder)?,
        };
        let members = Members::new(shared.initial_members.iter().map(|id| Member {
            id: *id,
            incarnation: INITIAL_INCARNATION,
        }));
        let state = Arc::new(ControlState::default());
        let setup = replica::Setup {
            name: GROUP.to_owned(),
            id: shared.id,
            settings: Settings {
                election_timeout_min: ELECTION_MIN,
                election_timeout_max: ELECTION_MAX,
                lease_percent: LEASE_PERCENT,
                term_interval: MAX_TOKEN_OFFSET + 1,
                ..Settings::default()
            },
            clock: shared.clock.clone(),
            transport: Arc::new(shared.peers.clone()),
            state_machine: state.clone(),
            initial_members: (is_initial && folder.incarnation() == INITIAL_INCARNATION)
                .then_some(members),
        };
        let group = Group::spawn(&folder, setup)?;
        Ok(Opened {
            group,
            state,
            _folder: Arc::new(folder),
        })
    }

    fn opened(&self) -> MutexGuard<'_, Option<Opened>> {
        let opened = self.shared.opened.lock();
        opened.unwrap_or_else(PoisonError::into_inner)
    }

    fn group(&self) -> Option<Group> {
        self.opened().as_ref().map(|opened| opened.group.clone())
    }

    /// The replicated state; `None` while the replica is not open.
    pub fn state(&self) -> Option<Arc<ControlState>> {
        self.opened().as_ref().map(|opened| opened.state.clone())
    }

    /// Id and disk incarnation of this instance; `None` while the replica is not open.
    pub fn member(&self) -> Option<Member> {
        self.group().map(|group| group.member())
    }

    /// State of the replica as of its last step; empty while the replica is not open.
    pub fn view(&self) -> View {
        self.group().map(|group| group.view()).unwrap_or_default()
    }

    /// The term in which this instance currently leads; `None` if it does not lead.
    pub fn leading_term(&self) -> Option<u64> {
        let group = self.group()?;
        let term = group.view().term;
        group.leads().then_some(term)
    }

    /// The leader's id, if known.
    pub fn leader(&self) -> Option<u64> {
        self.view().leader
    }

    /// Commits a command and returns the answer of the state machine.
    pub async fn propose(&self, command: &Command) -> Result<Answer, Verdict> {
        let bytes = postcard::to_stdvec(command)
            .map_err(|error| Verdict::NotRun(format!("cannot encode the command: {error}")))?;
        let Some(group) = self.group() else {
            return Err(Verdict::NotLeader(None));
        };
        match group.propose(bytes).await {
            Verdict::Answer(bytes) => postcard::from_bytes(&bytes)
                .map_err(|error| Verdict::Unknown(format!("cannot decode the answer: {error}"))),
            other => Err(other),
        }
    }

    /// Waits until reads of the replicated state are linearizable. The error says why they are not.
    pub async fn read(&self) -> Result<(), Verdict> {
        match self.group() {
            Some(group) => group.read().await,
            None => Err(Verdict::NotLeader(None)),
        }
    }

    pub(super) fn deliver(&self, sender: u64, messages: Vec<Vec<u8>>) {
        if let Some(group) = self.group() {
            group.deliver(sender, messages);
        }
    }

    pub(super) fn propose_change(&self, change: Change) {
        if let Some(group) = self.group() {
            group.propose_change(change);
        }
    }

    /// Hands leadership over to another member, if this instance leads.
    pub(crate) fn transfer_leadership(&self) {
        if let Some(group) = self.group() {
            group.transfer_leadership();
        }
    }

    pub(super) fn stop(&self) {
        if let Some(group) = self.group() {
            group.stop();
        }
    }
}

/// Whether the disk has contents that can never be read again. The other members still have the state, so this one
/// rejoins empty with a new incarnation.
fn is_unrecoverable(error: &replica::Error) -> bool {
    matches!(
        error,
        replica::Error::Disk(disk::Error::Damaged { .. })
            | replica::Error::Codec(_)
            | replica::Error::State(_)
    )
}

/// Removes all contents of the data folder.
fn clear(folder: &Path) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            clear(&path)?;
            fs::remove_dir(&path)?;
        } else {
            fs::remove_file(&path)?;
        }
    }
    fs::File::open(folder)?.sync_all()
}
