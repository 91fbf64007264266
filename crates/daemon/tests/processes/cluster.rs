use {
    fake::{
        client::{Answer, Client},
        deployment::Deployment,
        platform::Platform,
    },
    http::Method,
    model::place::Site,
    serde_json::{Value, json},
    std::{
        fs,
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time,
};

/// Longest wait for a condition. Far above every bound that is checked, so that a slow machine does not
/// change the verdict.
pub const LIMIT: Duration = Duration::from_secs(60);

const POLL: Duration = Duration::from_millis(50);

/// One cluster at a time: several at once would make elections depend on the machine's load.
static RUNNING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Instances as processes of their own.
pub struct Cluster {
    pub deployment: Deployment,
    pub client: Client,
    folder: TempDir,
    children: Vec<Option<Child>>,
    _turn: tokio::sync::MutexGuard<'static, ()>,
}

impl Cluster {
    /// Starts all instances and waits until each is ready and the groups have all their voters.
    pub async fn spawn(instances: usize, control: usize) -> Cluster {
        Cluster::spawn_settling(instances, control, Duration::from_millis(100)).await
    }

    /// As [`Cluster::spawn`], with this time from the end of readiness to the end of the request listener.
    pub async fn spawn_settling(instances: usize, control: usize, settle: Duration) -> Cluster {
        let turn = RUNNING.lock().await;
        let folder = TempDir::new().unwrap();
        let mut deployment = Deployment::new(instances, control, folder.path()).unwrap();
        deployment.drain_settle = settle;
        let mut cluster = Cluster {
            client: Client::new(deployment.api()),
            children: (0..instances).map(|_| None).collect(),
            deployment,
            folder,
            _turn: turn,
        };
        for index in 0..instances {
            cluster.start(index, index == 0);
        }
        for index in 0..instances {
            cluster
                .until(index, "/ready", |answer| answer.status == 200)
                .await;
        }
        cluster.voters(0, control).await;
        cluster
    }

    /// Starts one instance.
    pub fn start(&mut self, index: usize, bootstrap: bool) {
        let path = self.folder.path().join(format!("a{}.jsonc", index + 1));
        fs::write(&path, self.deployment.text(index)).unwrap();
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.log(index))
            .unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_trefoilvalved"));
        command
            .arg("--settings")
            .arg(path)
            .stderr(log)
            .stdin(Stdio::null());
        if bootstrap {
            command.arg("--bootstrap");
        }
        self.children[index] = Some(command.spawn().unwrap());
    }

    pub fn log(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("a{}.log", index + 1))
    }

    /// Kills one instance without notice.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Removes the disk of an instance that does not run.
    pub fn wipe(&self, index: usize) {
        fs::remove_dir_all(self.deployment.data(index).unwrap()).unwrap();
    }

    /// Waits for the end of an instance that was told to end, and returns its exit code.
    pub async fn ended(&mut self, index: usize) -> Option<i32> {
        let mut child = self.children[index].take().unwrap();
        let start = Instant::now();
        while start.elapsed() < LIMIT {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            time::sleep(POLL).await;
        }
        self.children[index] = Some(child);
        panic!("a{} did not end within {LIMIT:?}", index + 1);
    }

    /// Stops or continues an instance without ending it.
    pub fn signal(&self, index: usize, signal: rustix::process::Signal) {
        let child = self.children[index].as_ref().unwrap();
        let pid = rustix::process::Pid::from_child(child);
        rustix::process::kill_process(pid, signal).unwrap();
    }

    pub fn api(&self, index: usize) -> SocketAddr {
        self.deployment.api()[index]
    }

    pub async fn get(&self, index: usize, path: &str) -> Result<Answer, String> {
        self.client
            .call(self.api(index), Method::GET, path, &[], "")
            .await
    }

    pub async fn post(&self, index: usize, path: &str, body: &Value) -> Result<Answer, String> {
        let headers = [("content-type", "application/json")];
        let body = body.to_string();
        self.client
            .call(self.api(index), Method::POST, path, &headers, body)
            .await
    }

    /// Repeats a question to one instance until the answer satisfies.
    pub async fn until(
        &self,
        index: usize,
        path: &str,
        satisfied: impl Fn(&Answer) -> bool,
    ) -> Answer {
        let start = Instant::now();
        let mut last = String::new();
        while start.elapsed() < LIMIT {
            match self.get(index, path).await {
                Ok(answer) if satisfied(&answer) => return answer,
                Ok(answer) => last = String::from_utf8_lossy(&answer.body).into_owned(),
                Err(error) => last = error,
            }
            time::sleep(POLL).await;
        }
        panic!(
            "a{} {path}: not seen within {LIMIT:?}; last: {last}",
            index + 1
        );
    }

    /// Waits until each group of an instance has `count` voters and a leader.
    pub async fn voters(&self, index: usize, count: usize) {
        self.until(index, "/v1/status", |answer| {
            let groups = answer.json()["groups"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            !groups.is_empty()
                && groups.iter().all(|group| {
                    let members = group["members"].as_array().map_or(0, Vec::len);
                    let learners = group["learners"].as_array().map_or(0, Vec::len);
                    members == count && learners == 0 && !group["leader"].is_null()
                })
        })
        .await;
    }

    /// Index of the instance that leads a group, as seen by `from`.
    pub async fn leader(&self, from: usize, group: &str) -> usize {
        let leader = |answer: &Answer| {
            let groups = answer.json()["groups"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let found = groups.iter().find(|view| view["name"] == group)?;
            let name = found["leader"].as_str()?;
            name.trim_start_matches('a').parse::<usize>().ok()
        };
        let answer = self
            .until(from, "/v1/status", |answer| leader(answer).is_some())
            .await;
        leader(&answer).unwrap() - 1
    }

    /// Starts stand-in workers and upstreams in this process and waits until they are known.
    pub async fn platform(&self, racks: usize, upstreams: usize) -> Platform {
        let site = Site {
            region: "north".into(),
            data_centre: "north-a".into(),
        };
        let platform = Platform::spawn(&site, racks, upstreams, &self.deployment.api())
            .await
            .unwrap();
        let last = self.deployment.len() - 1;
        self.until(last, "/v1/workers", |answer| {
            answer
                .json()
                .as_array()
                .is_some_and(|all| all.len() == racks * 4)
        })
        .await;
        platform
    }

    /// Submits a note through one instance after the other until its outcome is known.
    pub async fn submit(&self, key: &str, expected: u64, note: &Value) -> Value {
        let body = json!({ "key": key, "expected": expected, "note": note });
        let start = Instant::now();
        let mut index = expected as usize;
        while start.elapsed() < LIMIT {
            index = (index + 1) % self.deployment.len();
            if let Ok(answer) = self.post(index, "/v1/notes", &body).await
                && !answer.json()["outcome"].is_null()
            {
                return answer.json();
            }
        }
        panic!("note {key}: no outcome within {LIMIT:?}");
    }

    /// Submits a job through one instance after the other, from `first` on, until it is accepted.
    pub async fn submit_job(&self, spec: &Value, first: usize) -> String {
        let start = Instant::now();
        let mut through = first;
        loop {
            match self
                .post(through % self.deployment.len(), "/v1/jobs", spec)
                .await
            {
                Ok(answer) if answer.status == 201 => {
                    return answer.json()["id"].as_str().unwrap().to_owned();
                }
                Ok(answer) => assert_eq!(answer.status, 503, "{}", answer.json()),
                Err(_) => {}
            }
            assert!(start.elapsed() < LIMIT, "job {spec} was never accepted");
            through += 1;
            time::sleep(POLL).await;
        }
    }

    /// Applies a first note with one account.
    pub async fn first_note(&self) {
        let note = json!({
            "summary": "first",
            "add": { "firm-a": { "places": ["north"] } },
        });
        let outcome = self.submit("first", 0, &note).await;
        assert_eq!(outcome["outcome"], "accepted", "{outcome}");
        for index in 0..self.deployment.len() {
            self.until(index, "/v1/config", |answer| answer.json()["number"] == 1)
                .await;
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for index in 0..self.children.len() {
            if let Some(child) = &mut self.children[index] {
                drop(child.kill());
                drop(child.wait());
            }
        }
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            eprintln!("logs are kept in {}", self.folder.path().display());
            for index in 0..self.children.len() {
                let log = fs::read_to_string(self.log(index)).unwrap_or_default();
                let tail: Vec<&str> = log.lines().rev().take(15).collect();
                eprintln!("last lines of a{}:", index + 1);
                for line in tail.iter().rev() {
                    eprintln!("  {line}");
                }
            }
        }
    }
}
