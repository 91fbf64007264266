use {
    super::{Step, Stored},
    model::{job::Spec, note::Submission},
    serde::{Deserialize, Serialize},
};

/// A change of a group's state. The wall time of the proposing leader is part of the command, so that every
/// replica computes the same state.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "command")]
pub enum Command {
    /// Applies a release note.
    Note {
        /// The submitted note.
        submission: Box<Submission>,
        /// Milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Accepts a job.
    Submit {
        /// What the caller submitted.
        spec: Box<Spec>,
        /// Milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Moves a job to its next state, if it is still in the state that the step starts from.
    Move {
        /// The job.
        job: u64,
        /// Fencing token of the attempt; 0 for a job that has none.
        token: u64,
        /// The transition.
        step: Step,
        /// Milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: u64,
        /// Milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Claims a non-idempotent request before it is sent.
    Claim {
        /// Client account and the caller's key.
        account: String,
        /// The caller's key.
        key: String,
        /// Digest of the request; a resend must have the same.
        digest: u64,
        /// The instance that will send it.
        instance: u64,
        /// Incarnation of that instance.
        incarnation: u64,
        /// Milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Records the end of a claimed request.
    Settle {
        /// Client account.
        account: String,
        /// The caller's key.
        key: String,
        /// The instance that held the claim.
        instance: u64,
        /// Incarnation of that instance.
        incarnation: u64,
        /// How the request ended.
        end: Stored,
        /// Milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Takes a worker out of service or returns it.
    DrainWorker {
        /// Name of the worker.
        worker: String,
        /// Whether it is drained.
        drained: bool,
    },
    /// Takes an instance out of service or returns it.
    DrainInstance {
        /// Name of the instance.
        instance: String,
        /// Whether it is drained.
        drained: bool,
    },
    /// Evacuates a data centre or takes it back.
    EvacuateDataCentre {
        /// Name of the data centre, without its region.
        data_centre: String,
        /// Whether it is evacuated.
        evacuated: bool,
        /// Milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Removes records whose time has passed.
    Expire {
        /// Milliseconds since the Unix epoch.
        at_ms: u64,
    },
}

impl Command {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a command of the log.
    pub fn decode(bytes: &[u8]) -> Result<Command, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
