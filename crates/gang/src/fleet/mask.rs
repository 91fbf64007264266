/// A set of accelerator indices of one worker, as a bit mask. Indices above 127 are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Mask(pub u128);

impl Mask {
    /// The indices below `count`.
    pub fn full(count: u16) -> Mask {
        match count {
            0 => Mask(0),
            1..=127 => Mask((1 << count) - 1),
            _ => Mask(u128::MAX),
        }
    }

    /// The listed indices; those above 127 are dropped.
    pub fn of(indices: &[u16]) -> Mask {
        let bits = indices.iter().filter(|i| **i < 128);
        Mask(bits.fold(0, |bits, i| bits | 1 << i))
    }

    /// The indices in increasing order.
    pub fn indices(self) -> Vec<u16> {
        (0..128).filter(|i| self.0 >> i & 1 == 1).collect()
    }

    /// Number of indices.
    pub fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Tells whether the sets have an index in common.
    pub fn intersects(self, other: Mask) -> bool {
        self.0 & other.0 != 0
    }

    /// The indices of this set that are not in `other`.
    pub fn difference(self, other: Mask) -> Mask {
        Mask(self.0 & !other.0)
    }

    /// The indices that are in either set.
    pub fn union(self, other: Mask) -> Mask {
        Mask(self.0 | other.0)
    }

    /// Number of disjoint blocks of `len` adjacent indices that fit.
    pub fn count_disjoint(self, len: u16) -> u32 {
        let mut count = 0;
        self.each_run(|_, run| count += run / u32::from(len.max(1)));
        count
    }

    /// The first `len` indices of the shortest run of adjacent indices that is long enough.
    pub fn best_fit(self, len: u16) -> Option<Mask> {
        let len = u32::from(len);
        let mut best: Option<(u32, u32)> = None;
        self.each_run(|start, run| {
            if run >= len && best.is_none_or(|(_, least)| run < least) {
                best = Some((start, run));
            }
        });
        best.map(|(start, _)| Mask(Mask::full(len as u16).0 << start))
    }

    fn each_run(self, mut visit: impl FnMut(u32, u32)) {
        let mut rest = self.0;
        let mut offset = 0;
        while rest != 0 {
            let gap = rest.trailing_zeros();
            rest >>= gap;
            offset += gap;
            let run = rest.trailing_ones();
            visit(offset, run);
            offset += run;
            rest = rest.checked_shr(run).unwrap_or(0);
        }
    }
}
