/// Takes bounds-checked fields from the front of a byte slice.
pub struct Reader<'a> {
    rest: &'a [u8],
}

impl<'a> Reader<'a> {
    /// Starts at the front of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { rest: bytes }
    }

    /// Tells whether every byte was taken.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Takes `len` bytes; none if fewer are left.
    pub fn bytes(&mut self, len: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.rest.split_at_checked(len)?;
        self.rest = rest;
        Some(taken)
    }

    /// Takes one byte.
    pub fn u8(&mut self) -> Option<u8> {
        Some(self.bytes(1)?[0])
    }

    /// Takes four bytes.
    pub fn u32(&mut self) -> Option<u32> {
        Some(u32::from_le_bytes(self.bytes(4)?.try_into().ok()?))
    }

    /// Takes eight bytes.
    pub fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.bytes(8)?.try_into().ok()?))
    }

    /// Takes a four-byte length and that many bytes.
    pub fn block(&mut self) -> Option<&'a [u8]> {
        let len = self.u32()?;
        self.bytes(len as usize)
    }
}
