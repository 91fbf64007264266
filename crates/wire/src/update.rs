use {crate::peer_capnp, capnp::Result, std::time::Duration};

/// Answer of the config leader to a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The follower may use its configuration, or the newer one given as JSON, for `lease`.
    Current {
        /// Counted from the moment at which the follower sent its call.
        lease: Duration,
        /// JSON of the configuration if the follower's number is older.
        config: Option<Vec<u8>>,
        /// Whether an operator drains the follower.
        drained: bool,
    },
    /// The instance asked does not lead; the id of the one that does, if known.
    NotLeader(Option<u64>),
}

impl Update {
    /// Writes the update into a message.
    pub fn write(&self, mut builder: peer_capnp::update::Builder<'_>) {
        match self {
            Update::Current {
                lease,
                config,
                drained,
            } => {
                let mut current = builder.init_current();
                current.set_lease_ms(u32::try_from(lease.as_millis()).unwrap_or(u32::MAX));
                current.set_drained(*drained);
                if let Some(config) = config {
                    current.set_config(config);
                }
            }
            Update::NotLeader(leader) => builder.set_not_leader(leader.unwrap_or(0)),
        }
    }

    /// Reads an update from a message.
    pub fn read(reader: peer_capnp::update::Reader<'_>) -> Result<Update> {
        use peer_capnp::update::Which;
        Ok(match reader.which()? {
            Which::Current(current) => {
                let config = current.get_config()?;
                Update::Current {
                    lease: Duration::from_millis(u64::from(current.get_lease_ms())),
                    config: (!config.is_empty()).then(|| config.to_vec()),
                    drained: current.get_drained(),
                }
            }
            Which::NotLeader(0) => Update::NotLeader(None),
            Which::NotLeader(id) => Update::NotLeader(Some(id)),
        })
    }
}
