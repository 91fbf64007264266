/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Stage {
    /// Waits for a request.
    Idle,
    /// Some bytes of a head have arrived.
    Head,
    /// The head is complete and the body is not.
    Body,
    /// The request is being worked on.
    Working,
    /// The answer is ready, and the client has not taken all of it.
    Answering,
}

impl Stage {
    pub(super) fn from_u8(value: u8) -> Stage {
        let stages = [
            Stage::Idle,
            Stage::Head,
            Stage::Body,
            Stage::Working,
            Stage::Answering,
        ];
        stages[usize::from(value)]
    }
}
