/// Extra sends as a fraction of the requests.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    fraction: f64,
    burst: f64,
}

impl Budget {
    /// Returns a budget that earns `fraction` of a send per request and saves up to `burst`.
    pub fn new(fraction: f64, burst: f64) -> Budget {
        Budget {
            tokens: burst,
            fraction,
            burst,
        }
    }

    /// Counts a first send.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(self.burst);
    }

    /// Pays for one extra send, if affordable.
    pub fn spend(&mut self) -> bool {
        let affordable = self.tokens >= 1.0;
        if affordable {
            self.tokens -= 1.0;
        }
        affordable
    }
}
