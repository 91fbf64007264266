/// Token bucket that limits retries or hedges to a fraction of the requests.
///
/// Each request adds a fraction of a token, each retry or hedge takes a whole one.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    fraction: f64,
    burst: f64,
}

impl Budget {
    /// Returns a full bucket of `burst` tokens, to which each request adds `fraction` of a token.
    pub fn new(fraction: f64, burst: f64) -> Budget {
        Budget {
            tokens: burst,
            fraction,
            burst,
        }
    }

    /// Adds the fraction of a token for one request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(self.burst);
    }

    /// Takes one token for a retry or hedge. Returns false, and takes nothing, if there is less than one.
    pub fn spend(&mut self) -> bool {
        let affordable = self.tokens >= 1.0;
        if affordable {
            self.tokens -= 1.0;
        }
        affordable
    }
}
