use {crate::peer_capnp, capnp::Result};

/// What became of a proposal, query or report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The encoded answer of the group's state machine.
    Answer(Vec<u8>),
    /// Not executed; the id of the instance that leads the group, if known.
    NotLeader(Option<u64>),
    /// Not executed, with the reason.
    NotRun(String),
    /// It is not known whether the command is executed, with the reason.
    Unknown(String),
}

impl Verdict {
    /// Writes the verdict into a message.
    pub fn write(&self, mut builder: peer_capnp::verdict::Builder<'_>) {
        match self {
            Verdict::Answer(data) => builder.set_answer(data),
            Verdict::NotLeader(leader) => builder.set_not_leader(leader.unwrap_or(0)),
            Verdict::NotRun(reason) => builder.set_not_run(reason.as_str()),
            Verdict::Unknown(reason) => builder.set_unknown(reason.as_str()),
        }
    }

    /// Reads a verdict from a message.
    pub fn read(reader: peer_capnp::verdict::Reader<'_>) -> Result<Verdict> {
        use peer_capnp::verdict::Which;
        Ok(match reader.which()? {
            Which::Answer(data) => Verdict::Answer(data?.to_vec()),
            Which::NotLeader(0) => Verdict::NotLeader(None),
            Which::NotLeader(id) => Verdict::NotLeader(Some(id)),
            Which::NotRun(reason) => Verdict::NotRun(reason?.to_string()?),
            Which::Unknown(reason) => Verdict::Unknown(reason?.to_string()?),
        })
    }
}
