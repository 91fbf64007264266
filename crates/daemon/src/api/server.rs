use {
    super::{
        Context, data_centres,
        front::{self, Front},
        instances, jobs, notes, place, report, status, upstreams, workers,
    },
    dropshot::{ApiDescription, ConfigDropshot, HttpServer, ServerBuilder},
    intake::{Intake, Meter, http},
    slog::{Drain, Logger, o},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Largest accepted body: a job's payload of 64 KiB in JSON escapes, or a note.
pub(super) const MAX_BODY_BYTES: usize = 1 << 20;

/// Longest wait for calls in progress at the end; a call waits a few seconds for a leader.
const CLOSE_TIME: Duration = Duration::from_secs(10);

/// Time between two looks at the open connections at the end.
const CLOSE_POLL: Duration = Duration::from_millis(10);

/// The running API listener.
pub struct Server {
    front: http::Server,
    endpoints: HttpServer<Context>,
}

impl Server {
    /// Listens on `address`.
    pub async fn bind(
        address: SocketAddr,
        settings: &settings::Api,
        meter: Arc<Meter>,
        context: Context,
    ) -> io::Result<Server> {
        let api = description().map_err(io::Error::other)?;
        let config = ConfigDropshot {
            bind_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            default_request_body_max_bytes: MAX_BODY_BYTES,
            ..ConfigDropshot::default()
        };
        let logger = Logger::root(slog_stdlog::StdLog.fuse(), o!());
        let endpoints = ServerBuilder::new(api, context, logger)
            .config(config)
            .start()
            .map_err(io::Error::other)?;
        let limits = front::limits(settings);
        let connections = limits.connections;
        let handler = Arc::new(Front::new(endpoints.local_addr()));
        let intake = Arc::new(Intake::new(limits, meter));
        let front = http::Server::bind(address, handler, intake, connections).await?;
        Ok(Server { front, endpoints })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// What the endpoints work on.
    pub fn context(&self) -> &Context {
        self.endpoints.app_private()
    }

    /// Finishes requests in flight and ends.
    pub async fn close(self) -> Result<(), String> {
        self.front.stop_listening();
        self.front.close_connections();
        let start = Instant::now();
        while self.front.connections() > 0 && start.elapsed() < CLOSE_TIME {
            time::sleep(CLOSE_POLL).await;
        }
        self.endpoints.close().await
    }
}

/// Every endpoint.
fn description() -> Result<ApiDescription<Context>, dropshot::ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(notes::submit_note)?;
    api.register(notes::list_notes)?;
    api.register(notes::show_note)?;
    api.register(notes::show_force)?;
    api.register(notes::show_config)?;
    api.register(jobs::submit_job)?;
    api.register(jobs::list_jobs)?;
    api.register(jobs::show_job)?;
    api.register(jobs::explain_job)?;
    api.register(jobs::cancel_job)?;
    api.register(place::place_job)?;
    api.register(place::place_request)?;
    api.register(workers::announce_worker)?;
    api.register(workers::list_workers)?;
    api.register(workers::drain_worker)?;
    api.register(workers::return_worker)?;
    api.register(upstreams::announce_upstream)?;
    api.register(upstreams::depart_upstream)?;
    api.register(upstreams::list_upstreams)?;
    api.register(instances::list_instances)?;
    api.register(instances::drain_instance)?;
    api.register(instances::return_instance)?;
    api.register(data_centres::list_data_centres)?;
    api.register(data_centres::evacuate_data_centre)?;
    api.register(data_centres::readmit_data_centre)?;
    api.register(report::show_report)?;
    api.register(status::show_status)?;
    api.register(status::show_ready)?;
    api.register(status::show_metrics)?;
    Ok(api)
}
