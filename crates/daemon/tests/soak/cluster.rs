use {
    super::{
        caller::{Callers, HEADERS, Work},
        exchange,
        judge::Judge,
        proxy::{Proxy, Weather},
        upstream::{LEASE_MS, Link, Upstream},
    },
    rand::rngs::StdRng,
    rustix::process::{Pid, Signal, kill_process},
    serde_json::json,
    std::{
        fs::{self, File},
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

pub const CONTROLS: usize = 5;
const ENTRIES: usize = 2;
const UPSTREAMS: usize = 4;

/// By how many different times the time of day of the upstreams is behind, depending on the seed, and their distance in
/// seconds.
const CLOCKS: u64 = 3;
const CLOCK_STEP_S: u64 = 6;

/// Ports of all instances; each has an address of its own on loopback.
const CONTROL_PORT: u16 = 18_526;
const FRONT_PORT: u16 = 18_521;
const READY_PORT: u16 = 18_523;
const INTERNAL_PORT: u16 = 17_000;

/// Blocks of loopback addresses from which a cluster takes one.
const BLOCKS: std::ops::Range<u8> = 20..250;

/// Port whose listener keeps other clusters, of this or another process, from the same block.
const CLAIM_PORT: u16 = 17_099;

/// Takes a block of addresses that no other cluster uses as long as the listener lives.
fn claim_block() -> (u8, TcpListener) {
    let mut blocks = BLOCKS.filter_map(|block| {
        let claim = TcpListener::bind(format!("127.77.{block}.254:{CLAIM_PORT}")).ok()?;
        Some((block, claim))
    });
    blocks.next().unwrap()
}

/// A process and how to start it again.
pub struct Node {
    role: &'static str,
    settings: PathBuf,
    pub data: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_trefoilvalved"))
            .arg(self.role)
            .env("TREFOILVALVE_BOOT", &self.settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let pid = Pid::from_raw(child.id() as i32).unwrap();
            // It may have ended by itself; the soak notices that by its connections.
            kill_process(pid, signal).unwrap_or_default();
        }
    }

    /// Ends the process and waits for it.
    pub fn end(&mut self, signal: Signal) {
        self.signal(Signal::CONT);
        self.signal(signal);
        if let Some(mut child) = self.child.take() {
            child.wait().unwrap();
        }
    }

    /// Replaces the disk by an empty one; the deployment does not start for the first time any more.
    pub fn wipe(&self) {
        drop(fs::remove_dir_all(&self.data));
        let settings = fs::read_to_string(&self.settings).unwrap();
        fs::write(
            &self.settings,
            settings.replace("bootstrap=true", "bootstrap=false"),
        )
        .unwrap();
    }
}

/// The programs, upstreams and proxies of one run.
pub struct Cluster {
    pub controls: Vec<Node>,
    pub entries: Vec<Node>,
    pub upstreams: Vec<Link>,
    pub fronts: Vec<Proxy>,
    pub version: u64,
    /// The evacuated zone.
    evacuated: Option<usize>,
    operators: Vec<SocketAddr>,
    judge: Arc<Judge>,
    folder: TempDir,
    seed: u64,
    /// Ends the threads of the upstreams.
    over: Arc<AtomicBool>,
    _claim: TcpListener,
}

impl Cluster {
    pub fn start(seed: u64) -> Cluster {
        let (block, claim) = claim_block();
        let folder = TempDir::new().unwrap();
        let ip = |number: usize| format!("127.77.{block}.{}", number + 1);
        let seeds: Vec<String> = (0..3)
            .map(|number| format!("{}:{CONTROL_PORT}", ip(number)))
            .collect();
        let node = |number: usize, role: &'static str| {
            let path = |name: &str| folder.path().join(format!("{number}{name}"));
            let (ip, data) = (ip(number), path("-data"));
            let text = format!(
                "node=n{number}\nip={ip}\nlisten.control={ip}:{CONTROL_PORT}\nlisten.front={ip}:{FRONT_PORT}\n\
                 listen.ready={ip}:{READY_PORT}\ninternalPorts={INTERNAL_PORT},17015\nseeds={}\nbootstrap=true\n\
                 dataDir={}\nfaultTolerance.machines=2\nheartbeatMs=500\nbounds.holdMaxMs={LEASE_MS}\n\
                 bounds.stopTimeoutMs=400\nbounds.graceS=6\n",
                seeds.join(","),
                data.display()
            );
            fs::write(path(".conf"), text).unwrap();
            let mut node = Node {
                role,
                settings: path(".conf"),
                data,
                log: path(".log"),
                child: None,
            };
            node.start();
            node
        };
        let controls: Vec<Node> = (0..CONTROLS)
            .map(|number| node(number, "control"))
            .collect();
        let entries = (CONTROLS..CONTROLS + ENTRIES)
            .map(|number| node(number, "entry"))
            .collect();
        let address = |number, port| format!("{}:{port}", ip(number)).parse().unwrap();
        let operators: Vec<SocketAddr> = (0..CONTROLS)
            .map(|number| address(number, CONTROL_PORT))
            .collect();
        let judge = Arc::new(Judge::default());
        let over = Arc::new(AtomicBool::new(false));
        let behind = Duration::from_secs(seed % CLOCKS * CLOCK_STEP_S);
        let upstreams =
            (0..UPSTREAMS).map(|number| Upstream::spawn(number, behind, &operators, &judge, &over));
        Cluster {
            upstreams: upstreams.collect::<Vec<_>>(),
            fronts: (CONTROLS..CONTROLS + ENTRIES)
                .map(|number| Proxy::bind(address(number, FRONT_PORT)))
                .collect(),
            controls,
            entries,
            version: 0,
            evacuated: None,
            operators,
            judge,
            folder,
            seed,
            over,
            _claim: claim,
        }
    }

    /// Sends the next configuration until it is acknowledged.
    pub fn configure(&mut self) {
        self.version += 1;
        let body = json!({
            "version": self.version,
            "routes": [{"name": "work", "host": "jobs.example", "pathPrefix": "/jobs/", "kind": "non_idempotent",
                "timeoutMs": 3000 + self.version, "sloMs": 1000, "priority": 0, "service": "pool", "maxAttempts": 4,
                "stretch": 3.0, "public": false}],
            "services": [{"name": "pool"}],
            "tenants": [{"name": "t", "apiKeys": ["key"]}],
        });
        self.order("POST /Config.Replace", &body.to_string());
        self.judge.acknowledged(self.version);
    }

    /// Evacuates a zone, unless one is evacuated; that one is taken back then.
    pub fn evacuate(&mut self, zone: usize) {
        if self.readmit() {
            return;
        }
        self.order(&format!("POST /Evacuations.Start/z{zone}"), "");
        self.evacuated = Some(zone);
        self.judge.evacuated(Some((zone, Instant::now())));
    }

    /// Takes the evacuated zone back. Returns whether there was one.
    pub fn readmit(&mut self) -> bool {
        let Some(zone) = self.evacuated.take() else {
            return false;
        };
        self.judge.evacuated(None);
        self.order(&format!("POST /Evacuations.Finish/z{zone}"), "");
        true
    }

    /// Sends an order of the operator to one instance after the other until it is acknowledged.
    fn order(&self, request: &str, body: &str) {
        let until = Instant::now() + Duration::from_secs(60);
        for turn in 0.. {
            let operator = self.operators[turn % CONTROLS];
            let answer = exchange::call(
                operator,
                request,
                "Host: c\r\n",
                body,
                Duration::from_secs(2),
            );
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
            assert!(Instant::now() < until, "not acknowledged: {request}");
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Reads the configuration at one instance; an older one than was acknowledged before is a breach.
    pub fn read_configuration(&self, number: usize) {
        let known = self.judge.version();
        let limit = Duration::from_secs(2);
        let answer = exchange::call(
            self.operators[number],
            "GET /Config.Read",
            "Host: c\r\n",
            "",
            limit,
        );
        let Ok(answer) = answer else {
            return;
        };
        let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
        if answer.status() == 200 && body["version"].as_u64().unwrap_or(0) < known {
            self.judge.breach(format!(
                "instance {number} read {} after {known}",
                body["version"]
            ));
        }
    }

    pub fn call_for(&self, length: Duration, work: Work, rng: &mut StdRng) -> Callers {
        let fronts: Vec<SocketAddr> = self.fronts.iter().map(|proxy| proxy.address).collect();
        Callers::spawn(&fronts, &self.judge, length, work, rng)
    }

    /// Ends all faults.
    pub fn mend(&mut self) {
        for link in &self.upstreams {
            link.upstream.set_heard(true);
        }
        let upstreams = self.upstreams.iter().map(|link| &link.proxy);
        for proxy in upstreams.chain(&self.fronts) {
            proxy.set(Weather::Clear);
        }
        for node in self.controls.iter_mut().chain(&mut self.entries) {
            node.signal(Signal::CONT);
            if node.child.is_none() {
                node.start();
            }
        }
    }

    /// Waits until every accepted job is shown as completed.
    pub fn await_ends(&self, accepted: &[String], limit: Duration) {
        let until = Instant::now() + limit;
        let mut open: Vec<&String> = accepted.iter().collect();
        while !open.is_empty() && Instant::now() < until {
            open.retain(|job| {
                let request = format!("GET /jobs/{job}");
                let answer = exchange::call(
                    self.fronts[0].address,
                    &request,
                    HEADERS,
                    "",
                    Duration::from_secs(3),
                );
                let Ok(answer) = answer else {
                    return true;
                };
                if answer.status() == 410 {
                    self.judge
                        .breach(format!("accepted job {job} is not known"));
                    return false;
                }
                !answer.body.contains("completed")
            });
            thread::sleep(Duration::from_millis(200));
        }
        for job in open {
            self.judge.breach(format!("accepted job {job} did not end"));
        }
        self.read_configuration(0);
        println!(
            "soak seed={} accepted={} version={}",
            self.seed,
            accepted.len(),
            self.version
        );
    }

    /// Ends all processes; returns the broken promises, and keeps the logs if there are any.
    pub fn stop(mut self) -> Vec<String> {
        self.over.store(true, Ordering::Relaxed);
        for node in self.controls.iter_mut().chain(&mut self.entries) {
            node.end(Signal::KILL);
        }
        let breaches = self.judge.breaches();
        if !breaches.is_empty() {
            let kept = self.folder.keep();
            println!("soak seed={} logs={}", self.seed, kept.display());
        }
        breaches
    }
}
