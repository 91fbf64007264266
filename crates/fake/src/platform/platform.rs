use {
    crate::{client::Client, upstream::Upstream, worker::Worker},
    http::Method,
    model::place::Site,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{task::JoinHandle, time},
};

/// Interval of the upstreams' announcements.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(1);

/// Accelerators of each worker.
const ACCELERATORS: u16 = 8;

/// Slots of each upstream.
const SLOTS: u16 = 8;

/// Stand-in workers and upstreams.
pub struct Platform {
    /// The workers.
    pub workers: Vec<Worker>,
    /// The upstreams.
    pub upstreams: Vec<Arc<Upstream>>,
    loops: Vec<JoinHandle<()>>,
}

impl Platform {
    /// Starts `racks` racks of four workers and `upstreams` upstreams at `site`, announced to the API
    /// addresses.
    pub async fn spawn(
        site: &Site,
        racks: usize,
        upstreams: usize,
        instances: &[SocketAddr],
    ) -> io::Result<Platform> {
        let client = Client::new(instances);
        let mut platform = Platform {
            workers: Vec::new(),
            upstreams: Vec::new(),
            loops: Vec::new(),
        };
        for rack in 1..=racks {
            for number in 1..=4 {
                let name = format!("{}-r{rack}-w{number}", site.data_centre);
                let rack = format!("r{rack}");
                let worker =
                    Worker::spawn(&name, site, &rack, ACCELERATORS, client.clone()).await?;
                platform.workers.push(worker);
            }
        }
        for number in 1..=upstreams {
            let name = format!("{}-u{number}", site.data_centre);
            let upstream = Upstream::spawn(&name, "fit", site.clone(), SLOTS).await?;
            let upstream = Arc::new(upstream);
            let task = announce(upstream.clone(), client.clone(), number);
            platform.loops.push(tokio::spawn(task));
            platform.upstreams.push(upstream);
        }
        Ok(platform)
    }

    /// Ends the announcements of one upstream; none is under way afterwards.
    pub async fn quiet(&mut self, index: usize) {
        self.loops[index].abort();
        // The task ended by the abort, which is its only end.
        drop((&mut self.loops[index]).await);
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for task in &self.loops {
            task.abort();
        }
    }
}

async fn announce(upstream: Arc<Upstream>, client: Client, first: usize) {
    loop {
        let announcement = upstream.announcement();
        client
            .send(Method::POST, "/v1/upstreams", &announcement, first)
            .await;
        time::sleep(ANNOUNCE_EVERY).await;
    }
}
