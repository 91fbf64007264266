use std::{
    io,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    time::Duration,
};

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
        // All listeners are held until every address is chosen, so that none is chosen twice.
        let listeners: Vec<TcpListener> = (0..instances.min(SITES.len()) * 3)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()?;
        let all: Vec<SocketAddr> = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<_>>()?;
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
