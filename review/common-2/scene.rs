//! A deployment with its minions, clients and operator.

use {
    crate::{
        http::call,
        json,
        judge::World,
        minion::{Minion, small_thread},
        record::Record,
        system::{Site, System, ZONES},
    },
    std::{
        collections::HashMap,
        fs, io,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
        process,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

pub struct Scene {
    pub system: System,
    pub world: Arc<World>,
    pub minions: Mutex<Vec<Arc<Minion>>>,
    pub trouble: bool,
}

/// Queue of priority 1.
pub const PLAIN: &str = "/lohu930/";

/// Queue of priority 0.
pub const URGENT: &str = "/pufi791/";

/// Key of a client without a guarantee.
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";

/// Key of a client to which 72 accelerators are guaranteed.
pub const GUARANTEED_KEY: &str = "3hh2b9wu3fexd9dnn2ct";

pub fn caller(key: &str) -> String {
    format!("Host: nony24.example\r\nAuthorization: Bearer {key}\r\nDeadline-Ms: 3000\r\n")
}

impl Scene {
    pub fn open(case: &str, binary: &str, site: &'static Site) -> Result<Scene, String> {
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let seed = seed.subsec_nanos() ^ process::id().wrapping_mul(2_654_435_761);
        let folder = std::env::temp_dir().join(format!("review-2-{case}-{}", process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let base = [127, 16 + (seed % 200) as u8, 1 + (seed / 200 % 250) as u8];
        let system = System {
            base,
            binary: binary.to_owned(),
            folder,
            control_port: 8526,
            front_port: 8521,
            site,
            controls: 5,
            entries: 2,
            children: Mutex::default(),
        };
        for number in 0..system.controls {
            for port in [system.control_port, 7000] {
                let address = SocketAddrV4::new(system.control_ip(number), port);
                drop(TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?);
            }
        }
        let world = Arc::new(World {
            record: Record {
                start: Instant::now(),
                lines: Mutex::default(),
            },
            controls: (0..system.controls)
                .map(|number| system.control(number))
                .collect(),
            hold_max_ms: site.hold_max_ms,
            heartbeat: Duration::from_millis(1500),
            over: AtomicBool::new(false),
            book: Mutex::default(),
            starts: AtomicUsize::new(0),
        });
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        world.record.add(format!(
            "case {case}, {} the disruption",
            if trouble { "with" } else { "without" }
        ));
        let scene = Scene {
            system,
            world,
            minions: Mutex::default(),
            trouble,
        };
        scene.start_all().map_err(|e| e.to_string())?;
        scene.configure()?;
        Ok(scene)
    }

    pub fn start_all(&self) -> io::Result<()> {
        for number in 0..self.system.controls {
            self.system.start("control", number, true)?;
        }
        for number in 0..self.system.entries {
            self.system.start("entry", number, true)?;
        }
        Ok(())
    }

    /// Sends the first configuration until it is acknowledged.
    pub fn configure(&self) -> Result<(), String> {
        let route = |name: &str, prefix: &str, priority: u32| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"nony24.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"sloMs\":1200,\"priority\":{priority},\"service\":\"pool\",\"maxAttempts\":4,\"stretch\":3.0,\"public\":false}}"
            )
        };
        let tenant = |name: &str, key: &str, guaranteed: u32| {
            format!(
                "{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1,\"guaranteed\":{{\"gpu\":{guaranteed}}}}}"
            )
        };
        let body = format!(
            "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"pool\",\"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":false,\"spare\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{},{}]}}",
            route("r-1", PLAIN, 1),
            route("r-2", URGENT, 0),
            tenant("kaje80", KEY, 0),
            tenant("sovo14", GUARANTEED_KEY, 72)
        );
        self.world.record.add(format!("configuration: {body}"));
        let until = Instant::now() + Duration::from_secs(15);
        let mut turn = 0;
        while Instant::now() < until {
            let target = self.world.controls[turn % self.world.controls.len()];
            turn += 1;
            let answer = call(
                target,
                "POST /Config.Replace",
                "Host: c\r\n",
                &body,
                Duration::from_secs(1),
            );
            if matches!(answer, Ok((200, _))) {
                self.world.record.add("the configuration is acknowledged");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("the first configuration was not acknowledged within 15 s".into())
    }

    pub fn add_minion(&self, number: usize, rate: f64, cpu: u64) -> Result<Arc<Minion>, String> {
        self.add_minion_of_kind(number, rate, cpu, "a")
    }

    pub fn add_minion_of_kind(
        &self,
        number: usize,
        rate: f64,
        cpu: u64,
        kind: &str,
    ) -> Result<Arc<Minion>, String> {
        let base = self.system.base;
        let ip = Ipv4Addr::new(
            base[0],
            base[1],
            base[2].wrapping_add(1 + (number / 200) as u8),
            1 + (number % 200) as u8,
        );
        let minion = Minion::spawn(
            &self.world,
            format!("i-{number:08x}"),
            ip,
            rate,
            format!("r1-{}", number / 8),
            ZONES[number % 3],
            kind.into(),
            cpu,
        )
        .map_err(|e| e.to_string())?;
        self.minions.lock().unwrap().push(minion.clone());
        Ok(minion)
    }

    pub fn tick_forever(&self) {
        let world = self.world.clone();
        let minions = self.minions.lock().unwrap().clone();
        small_thread(move || {
            while !world.over.load(Ordering::Relaxed) {
                for minion in &minions {
                    minion.tick();
                }
                thread::sleep(Duration::from_millis(4));
            }
        });
    }

    /// Submits a job until it is accepted.
    pub fn submit(&self, id: &str, body: &str) -> Result<(), String> {
        self.submit_to(PLAIN, KEY, id, body)
    }

    pub fn submit_to(&self, queue: &str, key: &str, id: &str, body: &str) -> Result<(), String> {
        self.world.record.add(format!("job {id}: {body}"));
        let until = Instant::now() + Duration::from_secs(12);
        let mut turn = 0;
        while Instant::now() < until {
            let front = self.system.front(turn % self.system.entries);
            turn += 1;
            let request = format!("POST {queue}{id}");
            let answer = call(front, &request, &caller(key), body, Duration::from_secs(3));
            self.world.record.add(format!("{request}: {answer:?}"));
            if matches!(answer, Ok((200, _))) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(300));
        }
        Err(format!("job {id} was not accepted"))
    }

    pub fn show(&self, id: &str) -> String {
        self.show_in(PLAIN, KEY, id)
    }

    pub fn show_in(&self, queue: &str, key: &str, id: &str) -> String {
        for turn in 0..6 {
            let front = self.system.front(turn % self.system.entries);
            let request = format!("GET {queue}{id}");
            let answer = call(front, &request, &caller(key), "", Duration::from_secs(3));
            if let Ok((200, body)) = answer {
                return json::parse(&body).get("state").text().to_owned();
            }
            thread::sleep(Duration::from_millis(300));
        }
        "unknown".into()
    }

    pub fn wait_for(
        &self,
        what: &str,
        limit: Duration,
        is_done: impl Fn() -> bool,
    ) -> Result<(), String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if is_done() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err(format!("{what}: not within {} s", limit.as_secs()))
    }

    /// Waits until all minions have been acknowledged and time has passed for the leader to meet them.
    pub fn settle(&self) -> Result<(), String> {
        let minions = self.minions.lock().unwrap().clone();
        self.wait_for("heartbeats", Duration::from_secs(20), || {
            minions.iter().all(|minion| minion.state().token > 0)
        })?;
        thread::sleep(Duration::from_secs(2));
        Ok(())
    }

    /// The control instance to which most minions are told to send their heartbeats.
    pub fn leader(&self) -> Option<usize> {
        let minions = self.minions.lock().unwrap().clone();
        let targets = minions.iter().filter_map(|minion| minion.state().target);
        let mut counts: HashMap<SocketAddr, usize> = HashMap::new();
        for target in targets {
            *counts.entry(target).or_default() += 1;
        }
        let (target, _) = counts.into_iter().max_by_key(|(_, count)| *count)?;
        self.system.number_of(target)
    }

    pub fn finish(self, record: &str, outcome: Result<(), String>) -> i32 {
        self.world.over.store(true, Ordering::Relaxed);
        self.system.stop_all();
        let broken = self.world.book().broken.len();
        let status = match &outcome {
            Err(reason) => {
                self.world.record.add(format!("cannot run: {reason}"));
                2
            }
            Ok(()) if broken > 0 => 1,
            Ok(()) => 0,
        };
        self.world.record.add(format!(
            "{} starts; rule broken {broken} times; exit status {status}",
            self.world.starts.load(Ordering::Relaxed)
        ));
        let lines = self.world.record.lines.lock().unwrap().clone();
        let _ = fs::write(record, lines);
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.system.folder);
        } else {
            eprintln!("{}", self.system.folder.display());
        }
        status
    }
}
