//! Answers of the HTTP API.

use {
    model::{
        job::{Job, Member},
        note::Note,
        place::Site,
        upstream::Upstream,
        worker::Worker,
    },
    serde::{Deserialize, Serialize},
};

/// An accepted note in the history.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct History {
    /// Number of the configuration that it made.
    pub number: u64,
    /// Key of its submission.
    pub key: String,
    /// Its summary.
    pub summary: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The note, if a single one was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<Note>,
}

/// Whether a configuration is in force everywhere.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Force {
    /// Number of the configuration.
    pub number: u64,
    /// Whether every instance has it or cannot admit work.
    pub in_force: bool,
    /// Instances that do not have it yet.
    pub missing: Vec<String>,
}

/// A job with its id in the deployment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobEntry {
    /// `{group}-{number}`.
    pub id: String,
    /// The job.
    pub job: Job,
}

/// Why a job waits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Why {
    /// One line with the blocking rule and what would unblock the job.
    pub line: String,
}

/// What would become of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobPlace {
    /// Group that would keep the job.
    pub group: String,
    /// Number of the configuration that it was checked against.
    pub configuration: u64,
    /// `starts`, `waits` or `fails`.
    pub outcome: String,
    /// Worker and accelerators of every task, if it would start.
    pub members: Vec<Member>,
    /// Whether it would count against none of the guarantees of its account.
    pub borrowed: bool,
    /// Jobs that would be stopped for it.
    pub stopped: Vec<String>,
    /// Why it would wait or fail.
    pub reason: Option<String>,
}

/// What would become of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestPlace {
    /// Name of the instance that answered.
    pub instance: String,
    /// `sent`, `queued` or `refused`.
    pub outcome: String,
    /// Upstream that it would be sent to.
    pub upstream: Option<String>,
    /// Site of the upstream.
    pub site: Option<Site>,
    /// Whether the upstream is in another region.
    pub cross_region: bool,
    /// Requests of its queue that would be served before it.
    pub ahead: u64,
    /// Expected wait in milliseconds, or the time after which a refused request may be sent again.
    pub wait_ms: Option<u64>,
    /// Why it would wait or be refused.
    pub reason: Option<String>,
}

/// What a cancellation met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cancellation {
    /// The job had not started.
    NotRun,
    /// The job ran.
    WhileRunning,
    /// The job had ended.
    AlreadyEnded,
}

/// The answer to a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancelled {
    /// What the cancellation met.
    pub outcome: Cancellation,
    /// The job afterwards.
    pub job: Job,
}

/// A worker as an instance sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: Worker,
    /// Time since its last announcement.
    pub silent_ms: u64,
    /// Whether an operator drains it.
    pub draining: bool,
    /// Whether it is quarantined for failing jobs.
    #[serde(default)]
    pub quarantined: bool,
    /// Number of tasks that it holds.
    pub tasks: u64,
}

/// An upstream as an instance sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The upstream.
    pub upstream: Upstream,
    /// Time since its last announcement.
    pub silent_ms: u64,
    /// Whether it departs.
    pub departing: bool,
}

/// A data centre with workers or upstreams, or one that is evacuated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DataCentreEntry {
    /// Its name.
    pub name: String,
    /// Time since it was evacuated; none if it is not.
    pub evacuated_for_ms: Option<u64>,
    /// Number of its workers or upstreams.
    pub machines: u64,
    /// Number of tasks that they run.
    pub runs: u64,
}

/// An instance of the deployment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub site: model::place::Site,
    /// Whether it holds replicas.
    pub control: bool,
    /// Number of the configuration that it applied, if it reported one.
    pub applied: Option<u64>,
    /// Whether it is heard of.
    pub live: bool,
    /// Whether an operator drains it.
    pub draining: bool,
}

/// A group of control instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Name of its leader, if one is known.
    pub leader: Option<String>,
    /// Term of the leader.
    pub term: u64,
    /// Last committed index.
    pub commit: u64,
    /// Why the replica stopped, if it did.
    #[serde(default)]
    pub stopped: Option<String>,
}

/// The state of one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Number of the configuration that it applied.
    pub number: u64,
    /// What is left of its configuration lease.
    pub lease_ms: u64,
    /// Whether it accepts work.
    pub ready: bool,
    /// Groups that it knows.
    pub groups: Vec<Group>,
}
