use {
    crate::Truth,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    work::{
        id,
        job::{Definition, Resources, Step},
    },
};

/// One kind of job, after the users' sheets.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Queue that takes it.
    pub queue: &'static str,
    /// Jobs a second.
    pub rate: f64,
    /// Mean number of tasks.
    pub width: f64,
    /// Mean work of a task in milliseconds.
    pub work_ms: f64,
    /// Room of a task, less its accelerators.
    pub room: Resources,
    /// Numbers of accelerators of a task, one of which is drawn.
    pub accelerators: &'static [i64],
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Share of gangs that want one rack.
    pub same_rack: f64,
    /// Share of jobs whose tasks save checkpoints.
    pub saves: f64,
    /// How far estimates are off: by a factor of up to one and this, either way.
    pub estimate_off: f64,
    /// Share of first runs that fail by the job's own fault.
    pub failing: f64,
    /// Worth within the objective and when late.
    pub worth: (f64, f64),
    /// Objective: a multiple of the work, and a number of milliseconds more.
    pub objective: (f64, u64),
}

/// A load: kinds of jobs, and times at which more of one of them come.
#[derive(Clone, Debug)]
pub struct Load {
    /// The kinds.
    pub kinds: Vec<Kind>,
    /// Multiplies all rates.
    pub scale: f64,
    /// Index of a kind, start and end in milliseconds, factor of its rate.
    pub burst: Option<(usize, u64, u64, f64)>,
    /// Length in milliseconds.
    pub length_ms: u64,
    /// Share of jobs whose first task crashes each upstream that starts it.
    pub deadly: f64,
}

/// A job that arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// Its id.
    pub job: id::Job,
    /// Its kind.
    pub kind: usize,
    /// Account of the caller.
    pub account: String,
    /// What is asked for.
    pub form: Definition,
    /// What it really is.
    pub truth: Truth,
}

impl Load {
    /// The planning platform's load: short gangs of priority 0, long gangs of priority 1, sweeps of priority 2.
    pub fn planning() -> Load {
        let short = Kind {
            rate: 1.68,
            width: 3.0,
            work_ms: 2100.0,
            room: room(3700, 9800),
            same_rack: 0.8,
            estimate_off: 0.2,
            worth: (4.0, 0.8),
            objective: (1.5, 300),
            ..Kind::gang("short")
        };
        let long = Kind {
            rate: 0.55,
            width: 5.0,
            work_ms: 7200.0,
            room: room(13000, 26000),
            same_rack: 0.6,
            saves: 0.45,
            estimate_off: 0.9,
            worth: (3.0, 0.9),
            objective: (3.0, 1200),
            ..Kind::gang("long")
        };
        let sweep = Kind {
            rate: 0.42,
            width: 16.0,
            work_ms: 8100.0,
            room: room(2800, 5700),
            estimate_off: 0.2,
            ..Kind::sweep("sweep")
        };
        Load {
            kinds: vec![short, long, sweep],
            scale: 1.0,
            burst: None,
            length_ms: 40_000,
            deadly: 0.0,
        }
    }

    /// The grown ringing service's load, with the same kinds on 350 upstreams.
    pub fn grown_ringing() -> Load {
        let short = Kind {
            rate: 12.1,
            width: 4.7,
            work_ms: 2100.0,
            room: room(3700, 11000),
            same_rack: 0.8,
            estimate_off: 0.5,
            worth: (4.0, 0.8),
            objective: (1.5, 400),
            ..Kind::gang("short")
        };
        let long = Kind {
            rate: 2.09,
            width: 10.0,
            work_ms: 9400.0,
            room: room(13000, 53000),
            same_rack: 0.6,
            saves: 0.45,
            estimate_off: 0.5,
            worth: (3.0, 0.9),
            objective: (3.0, 1200),
            ..Kind::gang("long")
        };
        let sweep = Kind {
            rate: 4.2,
            width: 30.0,
            work_ms: 5200.0,
            room: room(2800, 8200),
            estimate_off: 0.5,
            ..Kind::sweep("sweep")
        };
        Load {
            kinds: vec![short, long, sweep],
            scale: 1.0,
            burst: None,
            length_ms: 35_000,
            deadly: 0.0,
        }
    }

    /// The supply desk's load: wide gangs, each task of which fills half of an upstream's memory, and short gangs and
    /// sweeps beside them, on 350 upstreams of 64 cores.
    pub fn supply() -> Load {
        let short = Kind {
            rate: 9.46,
            width: 5.4,
            work_ms: 2500.0,
            room: room(7500, 15_000),
            same_rack: 0.8,
            estimate_off: 0.5,
            worth: (4.0, 0.8),
            objective: (1.5, 400),
            ..Kind::gang("short")
        };
        let long = Kind {
            rate: 1.42,
            width: 13.0,
            work_ms: 11_000.0,
            room: room(26_000, 68_000),
            same_rack: 0.6,
            saves: 0.45,
            estimate_off: 0.2,
            worth: (3.0, 0.3),
            objective: (3.0, 1200),
            ..Kind::gang("long")
        };
        let sweep = Kind {
            rate: 2.18,
            width: 39.0,
            work_ms: 6100.0,
            room: room(5600, 15_000),
            estimate_off: 0.5,
            worth: (1.0, 0.1),
            ..Kind::sweep("sweep")
        };
        Load {
            kinds: vec![short, long, sweep],
            scale: 1.0,
            burst: None,
            length_ms: 34_000,
            deadly: 0.0,
        }
    }

    /// The large planning platform's load, with the same kinds on 1,100 upstreams.
    pub fn large_planning() -> Load {
        let short = Kind {
            rate: 17.2,
            width: 7.6,
            work_ms: 2100.0,
            room: room(3700, 20_000),
            same_rack: 0.8,
            estimate_off: 0.9,
            worth: (4.0, 0.8),
            objective: (1.5, 300),
            ..Kind::gang("short")
        };
        let long = Kind {
            rate: 2.41,
            width: 26.0,
            work_ms: 9400.0,
            room: room(13_000, 53_000),
            same_rack: 0.6,
            saves: 0.45,
            estimate_off: 0.5,
            worth: (3.0, 0.9),
            objective: (3.0, 1200),
            ..Kind::gang("long")
        };
        let sweep = Kind {
            rate: 2.36,
            width: 78.0,
            work_ms: 8100.0,
            room: room(2800, 8200),
            estimate_off: 0.9,
            ..Kind::sweep("sweep")
        };
        Load {
            kinds: vec![short, long, sweep],
            scale: 1.0,
            burst: None,
            length_ms: 34_000,
            deadly: 0.0,
        }
    }

    /// Draws the arrivals of a seed, from a number of accounts.
    pub fn draw(&self, seed: u64, accounts: usize) -> Vec<Arrival> {
        /// Step of the arrival process in milliseconds.
        const STEP_MS: u64 = 10;
        let mut rng = StdRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for at_ms in (0..self.length_ms).step_by(STEP_MS as usize) {
            for (number, kind) in self.kinds.iter().enumerate() {
                let burst = match self.burst {
                    Some((of, from, to, factor)) if of == number && (from..to).contains(&at_ms) => {
                        factor
                    }
                    _ => 1.0,
                };
                let expected = kind.rate * self.scale * burst * STEP_MS as f64 / 1000.0;
                if rng.random_bool(expected.min(1.0)) {
                    let mut arrival = draw(kind, number, at_ms, accounts, &mut rng);
                    // Without such jobs nothing is drawn here, so that the days of fixed seeds stay the same.
                    arrival.truth.deadly = self.deadly > 0.0 && rng.random_bool(self.deadly);
                    arrivals.push(arrival);
                }
            }
        }
        arrivals
    }
}

impl Kind {
    /// A kind of gangs; rate, width, work, room and worth are to be set.
    fn gang(queue: &'static str) -> Kind {
        Kind {
            queue,
            accelerators: &[1, 2, 4, 8, 8],
            gang: true,
            saves: 0.0,
            ..Kind::sweep(queue)
        }
    }

    /// A kind of independent tasks with one accelerator each; rate, width, work and room are to be set.
    fn sweep(queue: &'static str) -> Kind {
        Kind {
            queue,
            rate: 0.0,
            width: 1.0,
            work_ms: 1000.0,
            room: Resources::default(),
            accelerators: &[1],
            gang: false,
            same_rack: 0.0,
            saves: 0.45,
            estimate_off: 0.2,
            failing: 0.04,
            worth: (1.0, 0.3),
            objective: (3.0, 3000),
        }
    }
}

/// Room of a task without accelerators.
fn room(cpu_milli: i64, memory_mb: i64) -> Resources {
    Resources {
        cpu_milli,
        memory_mb,
        accelerators: 0,
    }
}

fn draw(kind: &Kind, number: usize, at_ms: u64, accounts: usize, rng: &mut StdRng) -> Arrival {
    /// Share of tasks that take many times as long, and how many.
    const TAIL: (f64, f64) = (0.03, 7.0);
    let exponential = |rng: &mut StdRng| -rng.random_range(1e-6_f64..1.0).ln();
    let count = (kind.width * (0.4 + 0.6 * exponential(rng)))
        .round()
        .clamp(1.0, kind.width * 6.0) as u16;
    let mut work = kind.work_ms * rng.random_range(0.6..1.4);
    if rng.random_bool(TAIL.0) {
        work *= TAIL.1;
    }
    let works: Vec<u64> = (0..count)
        .map(|_| (work * rng.random_range(0.85..1.15)) as u64)
        .collect();
    let off = 1.0 + rng.random_range(0.0..=kind.estimate_off);
    let estimate = if rng.random_bool(0.5) {
        kind.work_ms * off
    } else {
        kind.work_ms / off
    };
    let step = Step {
        count,
        need: Resources {
            accelerators: kind.accelerators[rng.random_range(0..kind.accelerators.len())],
            ..kind.room
        },
        estimate_ms: estimate as u32,
        checkpoints: rng.random_bool(kind.saves),
        gang: kind.gang,
        same_rack: kind.gang && rng.random_bool(kind.same_rack),
        ..Step::default()
    };
    Arrival {
        at_ms,
        job: id::Job(rng.random()),
        kind: number,
        account: format!("account-{}", rng.random_range(0..accounts)),
        form: Definition {
            spec: "work".into(),
            steps: vec![step],
            repeat: None,
        },
        truth: Truth {
            work_ms: vec![works],
            failures: vec![u32::from(rng.random_bool(kind.failing))],
            hopeless: false,
            deadly: false,
        },
    }
}
