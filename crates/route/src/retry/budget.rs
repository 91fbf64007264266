/// Token bucket that limits extra sends (retries and hedges) to a fraction of the requests.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    fraction: f64,
    burst: f64,
}

impl Budget {
    /// Returns a full budget: each request adds `fraction` of a token, up to `burst` tokens.
    pub fn new(fraction: f64, burst: f64) -> Budget {
        Budget {
            tokens: burst,
            fraction,
            burst,
        }
    }

    /// Adds the tokens of one first send.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(self.burst);
    }

    /// Takes one token for an extra send; returns false if there is none.
    pub fn spend(&mut self) -> bool {
        let affordable = self.tokens >= 1.0;
        if affordable {
            self.tokens -= 1.0;
        }
        affordable
    }
}
