use {
    super::{
        exchange,
        judge::Judge,
        upstream::{LASTING, LONG},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde_json::json,
    std::{
        net::SocketAddr,
        ops::Range,
        sync::Arc,
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Wait of a caller for an answer.
const LIMIT: Duration = Duration::from_secs(3);

/// Tries of a caller with the same id.
const TRIES: usize = 5;

/// Headers of all calls.
pub const HEADERS: &str =
    "Host: jobs.example\r\nAuthorization: Bearer key\r\nDeadline-Ms: 3000\r\n";

/// What callers hand in.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// Many short jobs of two steps.
    Short,
    /// Jobs of tasks that take longer than a lease.
    Long,
    /// The same and jobs that last until they are cancelled, with room left for the tasks that an upstream loses: they can
    /// start elsewhere at once.
    Sparse,
}

impl Work {
    fn draw(self, rng: &mut StdRng) -> serde_json::Value {
        match self {
            Work::Short => json!({
                "spec": "work",
                "steps": [
                    {"count": rng.random_range(1..4), "cpu": 500, "memMb": 10, "gpu": 1, "estimateMs": 400},
                    {"count": 1, "cpu": 500, "memMb": 10, "gpu": 1, "estimateMs": 400, "after": [0]},
                ],
            }),
            Work::Sparse if rng.random_bool(0.5) => json!({
                "spec": LASTING,
                "steps": [{
                    "count": rng.random_range(1..3), "cpu": 500, "memMb": 10, "gpu": 1, "estimateMs": 8000,
                    "longRunning": true,
                }],
            }),
            Work::Long | Work::Sparse => json!({
                "spec": LONG,
                "steps": [
                    {"count": rng.random_range(1..3), "cpu": 500, "memMb": 10, "gpu": 1, "estimateMs": 8000},
                ],
            }),
        }
    }

    /// Pause between two jobs of a caller, in milliseconds.
    fn pause_ms(self) -> Range<u64> {
        match self {
            Work::Short => 20..300,
            Work::Long => 1000..5000,
            Work::Sparse => 4000..8000,
        }
    }
}

/// Callers that hand in jobs.
pub struct Callers {
    threads: Vec<JoinHandle<Vec<String>>>,
}

impl Callers {
    /// Starts callers that each use one entry instance, and another one for tries after the first.
    pub fn spawn(
        fronts: &[SocketAddr],
        judge: &Arc<Judge>,
        length: Duration,
        work: Work,
        rng: &mut StdRng,
    ) -> Callers {
        let threads = (0..4).map(|number| {
            let (fronts, judge) = (fronts.to_vec(), judge.clone());
            let mut rng = StdRng::seed_from_u64(rng.random());
            thread::spawn(move || call(number, &fronts, &judge, length, work, &mut rng))
        });
        Callers {
            threads: threads.collect(),
        }
    }

    /// Waits for all callers; returns the accepted jobs.
    pub fn finish(self) -> Vec<String> {
        let threads = self.threads.into_iter();
        threads.flat_map(|thread| thread.join().unwrap()).collect()
    }
}

fn call(
    number: usize,
    fronts: &[SocketAddr],
    judge: &Judge,
    length: Duration,
    work: Work,
    rng: &mut StdRng,
) -> Vec<String> {
    let end = Instant::now() + length;
    let mut accepted = Vec::new();
    while Instant::now() < end {
        let job = format!("{:016x}", rng.random::<u64>());
        let body = work.draw(rng);
        let lasts = body["spec"] == LASTING;
        judge.submitted(&job);
        for attempt in 0..TRIES {
            let front = fronts[(number + attempt) % fronts.len()];
            let request = format!("POST /jobs/{job}");
            let answer = exchange::call(front, &request, HEADERS, &body.to_string(), LIMIT);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                if !lasts {
                    accepted.push(job.clone());
                }
                break;
            }
            thread::sleep(Duration::from_millis(rng.random_range(50..400)));
        }
        thread::sleep(Duration::from_millis(rng.random_range(work.pause_ms())));
        if lasts {
            cancel(&job, fronts);
        }
    }
    accepted
}

/// Cancels a job; tries a few times until that is acknowledged.
fn cancel(job: &str, fronts: &[SocketAddr]) {
    let request = format!("DELETE /jobs/{job}");
    let is_cancelled = |front: &SocketAddr| {
        let answer = exchange::call(*front, &request, HEADERS, "", LIMIT);
        answer.is_ok_and(|answer| matches!(answer.status(), 200 | 410))
    };
    // A job that is not cancelled works on to the end of the soak.
    let _ = fronts.iter().cycle().take(TRIES).any(is_cancelled);
}
