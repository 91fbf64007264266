//! A server with stand-in upstreams, in-memory claims and a recording observer.
#![allow(dead_code)]

use {
    async_trait::async_trait,
    entry::{
        Answer, Begin, Claims, Configuration, Deps, Desk, Finished, Observer, Server, Settings,
    },
    fake::upstream::Upstream,
    model::{
        clock::{Clock, System},
        config::Config,
        place::Site,
    },
    route::{
        Event, Router,
        claim::Table,
        share::{Grant, Share},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinHandle,
        time::timeout,
    },
};

pub const REGION: &str = "north";

pub fn site(data_centre: &str) -> Site {
    Site {
        region: REGION.into(),
        data_centre: data_centre.into(),
    }
}

/// A configuration with the accounts `acme` (everywhere in the region) and `far` (elsewhere).
pub fn config() -> Arc<Config> {
    let text = r#"{"number":1,"accounts":{
        "acme":{"places":["north"]},
        "far":{"places":["south"]}}}"#;
    Arc::new(serde_json::from_str(text).unwrap())
}

pub struct Held(pub Mutex<Option<Arc<Config>>>);

impl Configuration for Held {
    fn current(&self) -> Option<Arc<Config>> {
        self.0.lock().unwrap().clone()
    }
}

#[derive(Default)]
pub struct Memory {
    pub claims: Mutex<Table>,
    pub unavailable: AtomicBool,
    /// Commits claims, but says that it could not.
    pub loses_answers: AtomicBool,
    pub boot: u64,
}

#[async_trait]
impl Claims for Memory {
    async fn begin(&self, account: &str, key: &str, digest: u64) -> Begin {
        if self.unavailable.load(Ordering::SeqCst) {
            return Begin::Unavailable;
        }
        let lost = self.loses_answers.load(Ordering::SeqCst);
        match self
            .claims
            .lock()
            .unwrap()
            .claim(account, key, digest, (1, self.boot), 0)
        {
            route::claim::Reply::Granted if lost => Begin::Unavailable,
            route::claim::Reply::Granted => Begin::Granted,
            route::claim::Reply::Answered(answer) => Begin::Answered(answer),
            route::claim::Reply::Running => Begin::Running,
            route::claim::Reply::Unknown => Begin::Unknown,
            route::claim::Reply::Mismatch => Begin::Mismatch,
        }
    }

    async fn sent(&self, account: &str, key: &str) {
        self.claims
            .lock()
            .unwrap()
            .mark_sent(account, key, (1, self.boot), 0);
    }

    async fn answer(&self, account: &str, key: &str, answer: Answer) -> bool {
        self.claims
            .lock()
            .unwrap()
            .record_answer(account, key, (1, self.boot), answer, 0)
    }

    async fn release(&self, account: &str, key: &str) -> bool {
        self.claims
            .lock()
            .unwrap()
            .release(account, key, (1, self.boot), 0)
    }

    async fn lost(&self, account: &str, key: &str) -> bool {
        self.claims
            .lock()
            .unwrap()
            .mark_unknown(account, key, (1, self.boot), 0)
    }
}

#[derive(Default)]
pub struct Records(pub Mutex<Vec<Finished>>);

impl Observer for Records {
    fn finished(&self, record: Finished) {
        self.0.lock().unwrap().push(record);
    }
}

pub struct Stage {
    pub server: Option<Server>,
    pub address: SocketAddr,
    pub upstreams: Arc<Vec<Upstream>>,
    pub desk: Arc<Desk>,
    pub claims: Arc<Memory>,
    pub records: Arc<Records>,
    pub held: Arc<Held>,
    pump: JoinHandle<()>,
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.pump.abort();
    }
}

/// Settings with short bounds.
pub fn settings() -> Settings {
    Settings {
        drain_settle: Duration::from_millis(50),
        caller_stall: Duration::from_millis(500),
        connect_timeout: Duration::from_millis(500),
        ..Settings::default()
    }
}

impl Stage {
    pub async fn new(upstreams: usize, slots: u16) -> Stage {
        Stage::with(upstreams, slots, settings()).await
    }

    pub async fn with(upstreams: usize, slots: u16, settings: Settings) -> Stage {
        let mut spawned = Vec::new();
        for index in 0..upstreams {
            let name = format!("u{index}");
            spawned.push(
                Upstream::spawn(&name, "fit", site("a"), slots)
                    .await
                    .unwrap(),
            );
        }
        let upstreams = Arc::new(spawned);
        let clock: Arc<dyn Clock> = Arc::new(System);
        let held = Arc::new(Held(Mutex::new(Some(config()))));
        let router = Router::new(route::Settings::new(1, 1, site("a")));
        let desk = Desk::new(router, clock, held.clone());
        let claims = Arc::new(Memory::default());
        let records = Arc::new(Records::default());
        // The first grant of a term raises no share.
        feed(&desk, &upstreams, 1);
        feed(&desk, &upstreams, 2);
        let pump = tokio::spawn({
            let (desk, upstreams) = (desk.clone(), upstreams.clone());
            async move {
                for sequence in 3.. {
                    tokio::time::sleep(Duration::from_millis(200)).await;
                    feed(&desk, &upstreams, sequence);
                }
            }
        });
        let deps = Deps {
            desk: desk.clone(),
            claims: claims.clone(),
            observer: records.clone(),
            settings,
        };
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), deps)
            .await
            .unwrap();
        let address = server.address();
        Stage {
            server: Some(server),
            address,
            upstreams,
            desk,
            claims,
            records,
            held,
            pump,
        }
    }

    /// Sends raw bytes and reads until the server closes or stays quiet.
    pub async fn raw(&self, bytes: &str) -> Vec<u8> {
        raw(self.address, bytes).await
    }

    /// Sends one request with `connection: close` and returns the whole answer as text.
    pub async fn request(&self, method: &str, headers: &str, body: &str) -> String {
        let text = format!(
            "{method} /work HTTP/1.1\r\nhost: test\r\nconnection: close\r\nx-client-account: acme\r\n\
             x-service: fit\r\n{headers}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        String::from_utf8_lossy(&self.raw(&text).await).into_owned()
    }

    pub fn total(&self) -> u64 {
        self.upstreams.iter().map(Upstream::total).sum()
    }
}

pub async fn raw(address: SocketAddr, bytes: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let read = async {
        let mut part = [0; 4096];
        while let Ok(read) = stream.read(&mut part).await {
            if read == 0 {
                break;
            }
            answer.extend_from_slice(&part[..read]);
        }
    };
    timeout(Duration::from_secs(10), read)
        .await
        .expect("the server never ended the connection");
    answer
}

/// Announces the upstreams and grants all their slots.
fn feed(desk: &Arc<Desk>, upstreams: &[Upstream], sequence: u64) {
    for upstream in upstreams {
        desk.observe(Event::Announced(upstream.announcement()));
    }
    let (report, slots) = desk.with(|router, now| {
        let report = router.report(REGION, now);
        let slots: Vec<Share> = router
            .capacities(REGION, now)
            .into_iter()
            .map(|capacity| Share {
                upstream: capacity.upstream,
                slots: capacity.slots,
            })
            .collect();
        (report, slots)
    });
    desk.observe(Event::Granted(Grant {
        region: REGION.into(),
        instance: report.instance,
        boot: report.boot,
        term: 1,
        sequence,
        report: report.number,
        lease_ms: 3000,
        shares: slots,
    }));
}

pub fn status(answer: &str) -> u16 {
    answer
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0)
}
