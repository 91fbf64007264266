use {
    super::Result,
    fake::{
        client::{Answer, Client},
        deployment::Deployment,
    },
    http::Method,
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

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(60);

/// Pause between two questions while a condition is awaited.
const POLL: Duration = Duration::from_millis(5);

/// Instances as processes of their own; killed when dropped.
pub struct Cluster {
    pub deployment: Deployment,
    pub client: Client,
    folder: TempDir,
    children: Vec<Option<Child>>,
}

impl Cluster {
    /// Starts instances, of which three have disks, and waits until all are ready.
    pub async fn spawn(instances: usize) -> Result<Cluster> {
        let folder = TempDir::new()?;
        let control = 3;
        let deployment = Deployment::new(instances, control, folder.path())?;
        let mut cluster = Cluster {
            client: Client::new(deployment.api()),
            children: (0..instances).map(|_| None).collect(),
            deployment,
            folder,
        };
        for index in 0..instances {
            cluster.start(index, index == 0)?;
        }
        for index in 0..instances {
            cluster.ready(index).await?;
        }
        cluster.voters(0, control).await?;
        Ok(cluster)
    }

    /// Starts one instance.
    pub fn start(&mut self, index: usize, bootstrap: bool) -> Result<()> {
        let path = self.folder.path().join(format!("a{}.jsonc", index + 1));
        let mut text = self.deployment.text(index);
        if self.deployment.len() < 4 {
            // The layout has its first instance of the second region in the fourth place.
            text = text.replace(r#", "south": "north""#, "");
        }
        fs::write(&path, text)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(path.with_extension("log"))?;
        let binary = binary()?;
        let mut command = Command::new(&binary);
        command.arg("--settings").arg(path);
        command.stderr(log).stdin(Stdio::null());
        if bootstrap {
            command.arg("--bootstrap");
        }
        let child = command.spawn().map_err(|error| {
            format!(
                "{}: {error}; build it with `cargo build --release -p daemon`",
                binary.display()
            )
        })?;
        self.children[index] = Some(child);
        Ok(())
    }

    /// Kills one instance without notice.
    pub fn kill(&mut self, index: usize) -> Result<()> {
        if let Some(mut child) = self.children[index].take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Process ids by instance; 0 where none runs.
    pub fn pids(&self) -> Vec<u32> {
        let pid = |child: &Option<Child>| child.as_ref().map_or(0, Child::id);
        self.children.iter().map(pid).collect()
    }

    pub fn api(&self, index: usize) -> SocketAddr {
        let api = self.deployment.api();
        api[index % api.len()]
    }

    pub async fn get(&self, index: usize, path: &str) -> std::result::Result<Answer, String> {
        self.client
            .call(self.api(index), Method::GET, path, &[], "")
            .await
    }

    pub async fn post(
        &self,
        index: usize,
        path: &str,
        body: &Value,
    ) -> std::result::Result<Answer, String> {
        super::client::post(&self.client, self.api(index), path, body).await
    }

    /// Repeats a question to one instance until the answer satisfies.
    pub async fn until(
        &self,
        index: usize,
        path: &str,
        satisfied: impl Fn(&Answer) -> bool,
    ) -> Result<Answer> {
        let start = Instant::now();
        while start.elapsed() < LIMIT {
            if let Ok(answer) = self.get(index, path).await
                && satisfied(&answer)
            {
                return Ok(answer);
            }
            time::sleep(POLL).await;
        }
        Err(format!("a{} {path}: not seen within {LIMIT:?}", index + 1).into())
    }

    /// Waits until an instance would get requests from the balancer.
    pub async fn ready(&self, index: usize) -> Result<()> {
        self.until(index, "/ready", |answer| answer.status == 200)
            .await?;
        Ok(())
    }

    /// Waits until each group of an instance has `count` voters and a leader.
    pub async fn voters(&self, index: usize, count: usize) -> Result<()> {
        self.until(index, "/v1/status", |answer| {
            let status = answer.json();
            let groups = status["groups"].as_array();
            groups.is_some_and(|groups| {
                let whole = |group: &Value| {
                    group["members"]
                        .as_array()
                        .is_some_and(|m| m.len() == count)
                        && !group["leader"].is_null()
                };
                !groups.is_empty() && groups.iter().all(whole)
            })
        })
        .await?;
        Ok(())
    }

    /// Index of the instance that leads a group, as seen by `from`, unless it is `not`.
    pub async fn leader(&self, from: usize, group: &str, not: Option<usize>) -> Result<usize> {
        let find = |answer: &Answer| {
            let status = answer.json();
            let groups = status["groups"].as_array()?;
            let found = groups.iter().find(|view| view["name"] == group)?;
            let name = found["leader"].as_str()?;
            let id = name.trim_start_matches('a').parse::<usize>().ok()?;
            Some(id - 1).filter(|leader| Some(*leader) != not)
        };
        let answer = self
            .until(from, "/v1/status", |answer| find(answer).is_some())
            .await?;
        find(&answer).ok_or_else(|| "no leader".into())
    }

    /// Submits a note until its outcome is known.
    pub async fn submit(&self, key: &str, expected: u64, note: &Value) -> Result<Value> {
        let body = json!({ "key": key, "expected": expected, "note": note });
        let start = Instant::now();
        let mut last = String::new();
        let mut index = 0;
        while start.elapsed() < LIMIT {
            match self.post(index, "/v1/notes", &body).await {
                Ok(answer) if !answer.json()["outcome"].is_null() => return Ok(answer.json()),
                Ok(answer) => last = answer.json().to_string(),
                Err(error) => last = error,
            }
            index += 1;
            time::sleep(POLL).await;
        }
        Err(format!("note {key}: no outcome; last: {last}").into())
    }

    /// Adds `count` accounts `firm-0`, `firm-1`, ... and waits until every instance uses them.
    pub async fn accounts(&self, count: usize) -> Result<()> {
        let add: serde_json::Map<String, Value> = (0..count)
            .map(|n| {
                (
                    format!("firm-{n}"),
                    json!({ "places": ["north"], "quota": 500 }),
                )
            })
            .collect();
        let note = json!({ "summary": "accounts", "add": add });
        let outcome = self.submit("accounts", 0, &note).await?;
        if outcome["outcome"] != "accepted" {
            return Err(outcome.to_string().into());
        }
        for index in 0..self.deployment.len() {
            self.until(index, "/v1/config", |answer| answer.json()["number"] == 1)
                .await?;
        }
        Ok(())
    }

    /// Waits until the region leader knows `count` workers.
    pub async fn workers(&self, count: usize) -> Result<()> {
        self.until(0, "/v1/workers", |answer| {
            answer
                .json()
                .as_array()
                .is_some_and(|all| all.len() == count)
        })
        .await?;
        Ok(())
    }

    /// Bytes in the data folder of an instance.
    pub fn disk_bytes(&self, index: usize) -> u64 {
        self.deployment.data(index).map_or(0, size)
    }
}

fn size(path: PathBuf) -> u64 {
    let Ok(entries) = fs::read_dir(&path) else {
        return fs::metadata(&path).map_or(0, |meta| meta.len());
    };
    entries.flatten().map(|entry| size(entry.path())).sum()
}

/// The daemon stands two folders above the examples.
fn binary() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let profile = own.parent().and_then(|folder| folder.parent());
    let profile = profile.ok_or("the program is not in a target folder")?;
    Ok(profile.join("trefoilvalved"))
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            drop(child.kill());
            drop(child.wait());
        }
    }
}
