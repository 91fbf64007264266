use std::time::Duration;

/// Buckets per doubling of the time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets: from 0.1 ms to about 28 minutes.
const BUCKET_COUNT: usize = 96;

/// Lower end of the first bucket, in seconds.
const FIRST_BUCKET_S: f64 = 1e-4;

/// Total weight at which the weights of all samples are halved, so that the estimate follows changes.
const MAX_WEIGHT: f64 = 4096.0;

/// Running distribution of service times in buckets of equal ratio.
#[derive(Clone, Debug)]
pub struct Latency {
    buckets: [f64; BUCKET_COUNT],
    count: f64,
    sum: f64,
}

impl Latency {
    /// Returns a distribution that holds `initial` as its only sample.
    pub fn new(initial: Duration) -> Latency {
        let mut latency = Latency {
            buckets: [0.0; BUCKET_COUNT],
            count: 0.0,
            sum: 0.0,
        };
        latency.add(initial);
        latency
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        if self.count >= MAX_WEIGHT {
            self.buckets.iter_mut().for_each(|bucket| *bucket /= 2.0);
            self.count /= 2.0;
            self.sum /= 2.0;
        }
        let seconds = sample.as_secs_f64();
        let index = ((seconds / FIRST_BUCKET_S).max(1.0).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.buckets[index.min(BUCKET_COUNT - 1)] += 1.0;
        self.count += 1.0;
        self.sum += seconds;
    }

    /// Mean service time of the samples.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.sum / self.count.max(1.0))
    }

    /// Service time that `fraction` (0 to 1) of the samples do not exceed, rounded up to the end of its bucket.
    pub fn quantile(&self, fraction: f64) -> Duration {
        let rank = self.count * fraction;
        let mut seen = 0.0;
        for (index, weight) in self.buckets.iter().enumerate() {
            seen += weight;
            if seen >= rank && *weight > 0.0 {
                return Duration::from_secs_f64(
                    FIRST_BUCKET_S * ((index + 1) as f64 / BUCKETS_PER_DOUBLING).exp2(),
                );
            }
        }
        self.mean()
    }

    /// Number of samples, of which older ones count less.
    pub fn count(&self) -> f64 {
        self.count
    }
}
