use {
    crate::{
        api::{InstanceEntry, WorkerEntry},
        context::Context,
        error::Error,
    },
    argh::FromArgs,
    fake::{client::Client, platform::Platform, worker::Worker},
    indexmap::IndexSet,
    model::place::Site,
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        time,
    },
};

/// Most stand-ins of one command. All of them run in this process, on one thread.
const MAX_STAND_INS: usize = 2048;

/// Interval of the questions whether the workers are known.
const POLL: Duration = Duration::from_millis(500);

/// Run stand-in workers and upstreams in this process until interrupted.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "stand-in",
    example = "trefoilvalve stand-in",
    example = "trefoilvalve stand-in --site north/north-a --racks 1 --workers 4 --upstreams 0"
)]
pub(crate) struct StandIn {
    /// region/data-centre of the stand-ins, may be repeated; default: where the instances stand
    #[argh(option, from_str_fn(site))]
    site: Vec<Site>,
    /// racks in each data centre; default 2
    #[argh(option, default = "2")]
    racks: usize,
    /// workers in each rack; default 8
    #[argh(option, default = "8")]
    workers: usize,
    /// accelerators of each worker; default 8
    #[argh(option, default = "8")]
    accelerators: u16,
    /// upstreams of the service `fit` in each data centre, with 8 slots each; default 4
    #[argh(option, default = "4")]
    upstreams: usize,
}

impl StandIn {
    pub(crate) async fn run(&self, context: &mut Context<'_>) -> Result<(), Error> {
        let sites = self.sites(context).await?;
        let workers = self.racks.saturating_mul(self.workers);
        let all = workers
            .saturating_add(self.upstreams)
            .saturating_mul(sites.len());
        if all == 0 || all > MAX_STAND_INS {
            return Err(Error::Usage(format!(
                "these options ask for {all} stand-ins; ask for 1 to {MAX_STAND_INS}"
            )));
        }
        let instances = context.addresses().await?;
        let failed =
            |error| Error::Refused(format!("a stand-in could not listen on loopback: {error}"));
        // Installed first, so that an early signal ends the stand-ins in the ordinary way.
        let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
        let mut running = Vec::new();
        for site in &sites {
            running.push(self.start(site, &instances).await.map_err(failed)?);
        }
        for (site, (workers, platform)) in sites.iter().zip(&running) {
            context.console.line(format!(
                "{site}: {} workers in {} racks, {} upstreams",
                workers.len(),
                self.racks,
                platform.upstreams.len()
            ))?;
        }
        let known = async {
            known(&running, context).await;
            context
                .console
                .line("all workers are known; running until interrupted")?;
            context.console.out.flush()?;
            std::future::pending().await
        };
        tokio::select! {
            result = known => result,
            _ = terminate.recv() => Ok(()),
            _ = interrupt.recv() => Ok(()),
        }
    }

    /// The sites asked for, or those of the instances.
    async fn sites(&self, context: &mut Context<'_>) -> Result<IndexSet<Site>, Error> {
        if !self.site.is_empty() {
            return Ok(self.site.iter().cloned().collect());
        }
        let (_, list): (Value, Vec<InstanceEntry>) =
            context.read("/v1/instances", "list instances").await?;
        Ok(list.into_iter().map(|entry| entry.site).collect())
    }

    async fn start(
        &self,
        site: &Site,
        instances: &[SocketAddr],
    ) -> std::io::Result<(Vec<Worker>, Platform)> {
        let client = Client::new(instances);
        let mut workers = Vec::new();
        for rack in 1..=self.racks {
            for number in 1..=self.workers {
                let name = format!("{}-r{rack}-w{number}", site.data_centre);
                let rack = format!("r{rack}");
                let worker =
                    Worker::spawn(&name, site, &rack, self.accelerators, client.clone()).await?;
                workers.push(worker);
            }
        }
        let platform = Platform::spawn(site, 0, self.upstreams, instances).await?;
        Ok((workers, platform))
    }
}

/// Waits until the instances list every worker, so that guarantees can be proved on them.
async fn known(running: &[(Vec<Worker>, Platform)], context: &mut Context<'_>) {
    let ours: IndexSet<String> = running
        .iter()
        .flat_map(|(workers, _)| workers)
        .map(|worker| worker.address().to_string())
        .collect();
    loop {
        // While no instance answers, the call itself tries on and reports it.
        if let Ok((_, list)) = context
            .read::<Vec<WorkerEntry>>("/v1/workers", "list workers")
            .await
        {
            let listed = list
                .iter()
                .filter(|entry| ours.contains(&entry.worker.address));
            if listed.count() == ours.len() {
                return;
            }
        }
        time::sleep(POLL).await;
    }
}

fn site(text: &str) -> Result<Site, String> {
    match text.split_once('/') {
        Some((region, data_centre)) if !region.is_empty() && !data_centre.is_empty() => Ok(Site {
            region: region.to_owned(),
            data_centre: data_centre.to_owned(),
        }),
        _ => Err(format!("`{text}` is no site; give region/data-centre")),
    }
}
