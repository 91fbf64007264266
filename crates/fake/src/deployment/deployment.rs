use std::{
    hash::{BuildHasher, RandomState},
    io,
    net::{SocketAddr, TcpListener},
    ops::Range,
    path::PathBuf,
    process,
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};

/// Ports from which addresses are chosen.
const PORTS: Range<u16> = 10_000..32_000;

/// Ports tried before giving up.
const MAX_TRIES: usize = 100;

/// Sites in the order in which instances are placed; two data centres in `north`, one in `south`.
/// Four instances are enough for both regions.
const SITES: [(&str, &str); 8] = [
    ("north", "north-a"),
    ("north", "north-a"),
    ("north", "north-b"),
    ("south", "south-a"),
    ("north", "north-b"),
    ("south", "south-a"),
    ("south", "south-a"),
    ("north", "north-b"),
];

/// Instances on loopback, of which the first ones have disks.
#[derive(Clone, Debug)]
pub struct Deployment {
    addresses: Vec<[SocketAddr; 3]>,
    control: usize,
    folder: PathBuf,
    /// Time from the end of readiness to the end of the request listener.
    pub drain_settle: Duration,
}

impl Deployment {
    /// Chooses free addresses for up to eight instances; the first `control` have their disks below `folder`.
    pub fn new(
        instances: usize,
        control: usize,
        folder: impl Into<PathBuf>,
    ) -> io::Result<Deployment> {
        let all = (0..instances.min(SITES.len()) * 3)
            .map(|_| free_address())
            .collect::<io::Result<Vec<_>>>()?;
        let (triples, _) = all.as_chunks::<3>();
        Ok(Deployment {
            addresses: triples.to_vec(),
            control,
            folder: folder.into(),
            drain_settle: Duration::from_millis(100),
        })
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Tells whether there is no instance.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// API addresses by instance.
    pub fn api(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|[api, _, _]| *api).collect()
    }

    /// Addresses of the request listeners by instance.
    pub fn requests(&self) -> Vec<SocketAddr> {
        self.addresses
            .iter()
            .map(|[_, requests, _]| *requests)
            .collect()
    }

    /// Data folder of an instance, if it has a disk.
    pub fn data(&self, index: usize) -> Option<PathBuf> {
        (index < self.control).then(|| self.folder.join(name(index)))
    }

    /// Settings file of an instance.
    pub fn text(&self, index: usize) -> String {
        let instances: Vec<String> = (0..self.len()).map(|other| self.instance(other)).collect();
        let (region, data_centre) = SITES[index];
        let id = index + 1;
        let data = self.data(index).map_or(String::new(), |path| {
            format!(
                r#""data": {{ "folder": {:?} }},"#,
                path.display().to_string()
            )
        });
        let ids: Vec<String> = (1..=self.control).map(|id| id.to_string()).collect();
        let settle = self.drain_settle.as_millis();
        let ids = ids.join(", ");
        let [api, requests, peers] = self.addresses[index];
        format!(
            r#"{{
    "instance": {{ "name": "a{id}", "id": {id}, "region": "{region}", "data_centre": "{data_centre}" }},
    "listen": {{ "api": "{api}", "requests": "{requests}", "peers": "{peers}" }},
    "instances": [
        {}
    ],
    "groups": {{ "config": [{ids}], "north": [{ids}] }},
    "homes": {{ "north": "north", "south": "north" }},
    {data}
    "requests": {{ "drain_settle": "{settle}ms" }}
}}
"#,
            instances.join(",\n        ")
        )
    }

    fn instance(&self, index: usize) -> String {
        let (region, data_centre) = SITES[index];
        let id = index + 1;
        let [_, _, peers] = self.addresses[index];
        format!(
            r#"{{ "name": "a{id}", "id": {id}, "region": "{region}", "data_centre": "{data_centre}", "peers": "{peers}" }}"#
        )
    }
}

fn name(index: usize) -> String {
    format!("a{}", index + 1)
}

/// Returns a loopback address that nothing listens on and that was not returned before.
///
/// The ports lie below those that the system gives to outgoing connections: an instance that is restarted
/// must find its port free.
fn free_address() -> io::Result<SocketAddr> {
    static NEXT: OnceLock<AtomicU16> = OnceLock::new();
    // Several test processes may run at once, so each begins elsewhere.
    let next = NEXT.get_or_init(|| {
        let seed = RandomState::new().hash_one(process::id());
        AtomicU16::new((seed % u64::from(PORTS.end - PORTS.start)) as u16)
    });
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..MAX_TRIES {
        let offset = next.fetch_add(1, Ordering::Relaxed) % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + offset));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) => last = error,
        }
    }
    Err(last)
}
