use {
    super::Error,
    daemon::{Daemon, Options},
    fake::deployment::Deployment,
    settings::Settings,
    std::{fs, net::SocketAddr, path::PathBuf},
};

/// Instances of the demonstration.
const INSTANCES: usize = 7;

/// Instances with disks.
const CONTROL: usize = 3;

/// Seven instances in this process.
pub struct Cluster {
    folder: PathBuf,
    deployment: Deployment,
    daemons: Vec<Daemon>,
}

impl Cluster {
    /// Starts the instances; their disks are below `folder`, which is removed when the cluster is dropped.
    pub async fn spawn(folder: impl Into<PathBuf>) -> Result<Cluster, Error> {
        let folder = folder.into();
        fs::create_dir_all(&folder)?;
        let deployment = Deployment::new(INSTANCES, CONTROL, &folder)?;
        let mut cluster = Cluster {
            folder,
            deployment,
            daemons: Vec::new(),
        };
        for index in 0..INSTANCES {
            let path = format!("a{}.jsonc", index + 1);
            let settings = Settings::parse(path, &cluster.deployment.text(index))?;
            let options = Options {
                bootstrap: true,
                ..Options::default()
            };
            cluster
                .daemons
                .push(Daemon::spawn(&settings, options).await?);
        }
        Ok(cluster)
    }

    /// API addresses of all instances.
    pub fn api(&self) -> Vec<SocketAddr> {
        self.deployment.api()
    }

    /// Addresses on which the instances accept requests.
    pub fn requests(&self) -> Vec<SocketAddr> {
        self.deployment.requests()
    }

    /// Shuts all instances down, those without disks first.
    pub async fn shutdown(&mut self) {
        while let Some(daemon) = self.daemons.pop() {
            daemon.shutdown().await;
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.folder));
    }
}
