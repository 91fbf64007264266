use {
    super::Error,
    daemon::{Daemon, Options},
    settings::Settings,
    std::{
        fs, io,
        net::{SocketAddr, TcpListener},
        path::{Path, PathBuf},
    },
};

/// Site of each instance; the first three have disks.
const SITES: [(&str, &str); 7] = [
    ("north", "north-a"),
    ("north", "north-a"),
    ("north", "north-b"),
    ("north", "north-b"),
    ("south", "south-a"),
    ("south", "south-a"),
    ("south", "south-a"),
];

/// Instances with disks.
const CONTROL: usize = 3;

/// Seven instances in this process.
pub struct Cluster {
    folder: PathBuf,
    settings: Vec<Settings>,
    daemons: Vec<Option<Daemon>>,
}

/// Returns free loopback addresses.
fn free(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

impl Cluster {
    /// Starts the instances; their disks are below `folder`, which is removed when the cluster is dropped.
    pub async fn spawn(folder: impl Into<PathBuf>) -> Result<Cluster, Error> {
        let folder = folder.into();
        fs::create_dir_all(&folder)?;
        let addresses = free(SITES.len() * 3)?;
        let settings = (0..SITES.len())
            .map(|index| {
                let text = text(index, &addresses, &folder);
                Settings::parse(format!("a{}.jsonc", index + 1), &text)
            })
            .collect::<Result<Vec<_>, _>>()?;
        let mut cluster = Cluster {
            folder,
            daemons: settings.iter().map(|_| None).collect(),
            settings,
        };
        for index in 0..cluster.settings.len() {
            cluster.start(index).await?;
        }
        Ok(cluster)
    }

    /// Starts one instance that does not run.
    pub async fn start(&mut self, index: usize) -> Result<(), Error> {
        let options = Options {
            bootstrap: true,
            ..Options::default()
        };
        self.daemons[index] = Some(Daemon::spawn(&self.settings[index], options).await?);
        Ok(())
    }

    /// API addresses of all instances.
    pub fn api(&self) -> Vec<SocketAddr> {
        self.settings
            .iter()
            .map(|settings| settings.listen.api)
            .collect()
    }

    /// Addresses on which the instances accept requests.
    pub fn requests(&self) -> Vec<SocketAddr> {
        self.settings
            .iter()
            .map(|settings| settings.listen.requests)
            .collect()
    }

    /// Shuts all instances down, those without disks first.
    pub async fn shutdown(&mut self) {
        for daemon in self.daemons.iter_mut().rev() {
            if let Some(daemon) = daemon.take() {
                daemon.shutdown().await;
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.folder));
    }
}

fn text(index: usize, addresses: &[SocketAddr], folder: &Path) -> String {
    let instances: Vec<String> = SITES
        .iter()
        .enumerate()
        .map(|(other, (region, data_centre))| {
            let id = other + 1;
            let peers = addresses[other * 3 + 2];
            format!(
                r#"{{ "name": "a{id}", "id": {id}, "region": "{region}",
                    "data_centre": "{data_centre}", "peers": "{peers}" }}"#
            )
        })
        .collect();
    let (region, data_centre) = SITES[index];
    let id = index + 1;
    let data = if index < CONTROL {
        let path = folder.join(format!("a{id}"));
        format!(
            r#""data": {{ "folder": {:?} }},"#,
            path.display().to_string()
        )
    } else {
        String::new()
    };
    let [api, requests, peers] = [0, 1, 2].map(|offset| addresses[index * 3 + offset]);
    format!(
        r#"{{
            "instance": {{ "name": "a{id}", "id": {id}, "region": "{region}",
                "data_centre": "{data_centre}" }},
            "listen": {{ "api": "{api}", "requests": "{requests}", "peers": "{peers}" }},
            "instances": [{}],
            "groups": {{ "config": [1, 2, 3], "north": [1, 2, 3] }},
            "homes": {{ "north": "north", "south": "north" }},
            {data}
            "requests": {{ "drain_settle": "100ms" }},
        }}"#,
        instances.join(", ")
    )
}
