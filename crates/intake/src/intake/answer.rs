use {crate::budget::Reservation, bytes::Bytes};

/// An answer that holds its memory until it has been written.
pub(super) struct Answer {
    pub(super) bytes: Bytes,
    pub(super) _reservation: Reservation,
}

impl AsRef<[u8]> for Answer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
