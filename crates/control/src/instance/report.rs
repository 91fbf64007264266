use {
    model::worker::Announcement,
    serde::{Deserialize, Serialize},
};

/// What an instance tells the leader of a region group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Latest announcement of each worker heard of since the last report.
    pub workers: Vec<Announcement>,
    /// Encoded demand and shares of the request path.
    pub demand: Vec<u8>,
}
