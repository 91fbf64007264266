use {
    super::{Tasks, server},
    crate::client::Client,
    http::Method,
    model::{place::Site, worker},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant, SystemTime},
    },
    tokio::{net::TcpListener, sync::Notify, task::JoinHandle, time},
};

/// Interval of announcements.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(1);

/// A running stand-in worker.
pub struct Worker {
    tasks: Arc<Mutex<Tasks>>,
    address: SocketAddr,
    loops: Vec<JoinHandle<()>>,
}

impl Worker {
    /// Listens on a free loopback port and announces the worker to the instances in turn.
    pub async fn spawn(
        name: &str,
        site: &Site,
        rack: &str,
        accelerators: u16,
        client: Client,
    ) -> io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let tasks = Arc::new(Mutex::new(Tasks::new(name, accelerators, Instant::now())));
        let changed = Arc::new(Notify::new());
        let worker = worker::Worker {
            name: name.to_owned(),
            site: site.clone(),
            rack: rack.to_owned(),
            accelerators,
            cpus: 32,
            memory_mb: 64 * 1024,
            address: address.to_string(),
        };
        let loops = vec![
            tokio::spawn(server::serve(listener, tasks.clone(), changed.clone())),
            tokio::spawn(announce(worker, tasks.clone(), changed, client)),
        ];
        Ok(Worker {
            tasks,
            address,
            loops,
        })
    }

    /// Where the worker accepts orders.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the worker as a crash would: it neither answers nor announces any more.
    pub fn kill(&self) {
        for task in &self.loops {
            task.abort();
        }
    }

    /// Its tasks.
    pub fn tasks(&self) -> MutexGuard<'_, Tasks> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn announce(
    worker: worker::Worker,
    tasks: Arc<Mutex<Tasks>>,
    changed: Arc<Notify>,
    client: Client,
) {
    let start = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64);
    let mut sequence = start;
    let mut first = 0;
    loop {
        let now = Instant::now();
        let announcement = {
            let mut tasks = tasks.lock().unwrap_or_else(PoisonError::into_inner);
            worker::Announcement {
                worker: worker.clone(),
                sequence,
                clock_ms: tasks.clock_ms(now),
                tasks: tasks.list(now),
            }
        };
        if !client
            .send(Method::POST, "/v1/workers", &announcement, first)
            .await
        {
            first += 1;
        }
        sequence += 1;
        wait(&tasks, &changed, now + ANNOUNCE_EVERY).await;
    }
}

/// Waits until `due` or until a task ends. An order may bring the next end forward.
async fn wait(tasks: &Mutex<Tasks>, changed: &Notify, due: Instant) {
    loop {
        let next = tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .next_change()
            .map_or(due, |at| at.min(due));
        let left = next.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        drop(time::timeout(left, changed.notified()).await);
    }
}
