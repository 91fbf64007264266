use {
    super::cluster::Cluster,
    fake::client::Client,
    http::Method,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinHandle, time},
};

/// Operators that race, and observers that read the number of each instance, until told to stop.
pub struct Operators {
    stop: Arc<AtomicBool>,
    writers: Vec<JoinHandle<Vec<(u64, String)>>>,
    observers: Vec<JoinHandle<Result<u64, String>>>,
}

impl Operators {
    /// Starts `count` operators and an observer of each instance.
    pub fn spawn(cluster: &Cluster, count: usize) -> Operators {
        let stop = Arc::new(AtomicBool::new(false));
        let api = cluster.deployment.api();
        let writers = (0..count).map(|operator| {
            tokio::spawn(write(
                operator,
                api.clone(),
                cluster.client.clone(),
                stop.clone(),
            ))
        });
        let observers = api
            .iter()
            .map(|address| tokio::spawn(observe(*address, cluster.client.clone(), stop.clone())));
        Operators {
            writers: writers.collect(),
            observers: observers.collect(),
            stop,
        }
    }

    /// Stops and checks: every acknowledged note is in the history under its number, numbers have no gap and
    /// no two holders, and no instance was seen to go back. Returns the number of acknowledged notes.
    pub async fn check(self, cluster: &Cluster, through: usize) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        let mut acknowledged = Vec::new();
        for writer in self.writers {
            acknowledged.extend(writer.await.unwrap());
        }
        for observer in self.observers {
            observer.await.unwrap().unwrap();
        }
        let history = history(cluster, through).await;
        for (index, (number, _)) in history.iter().enumerate() {
            assert_eq!(*number, index as u64 + 1, "numbers have a gap: {history:?}");
        }
        for (number, key) in &acknowledged {
            let found = history.iter().find(|(_, other)| other == key);
            assert_eq!(
                found.map(|(n, _)| n),
                Some(number),
                "note {key} was acknowledged and lost"
            );
        }
        acknowledged.len()
    }
}

/// Number and key of every accepted note.
async fn history(cluster: &Cluster, through: usize) -> Vec<(u64, String)> {
    let mut history: Vec<(u64, String)> = Vec::new();
    loop {
        let after = history.last().map_or(0, |(number, _)| *number);
        let path = format!("/v1/notes?limit=1000&after={after}");
        let answer = cluster
            .until(through, &path, |answer| answer.status == 200)
            .await;
        let notes = answer.json().as_array().cloned().unwrap();
        if notes.is_empty() {
            return history;
        }
        history.extend(notes.iter().map(|note| {
            let key = note["key"].as_str().unwrap().to_owned();
            (note["number"].as_u64().unwrap(), key)
        }));
    }
}

/// Submits notes against the number last seen; resends with the same key until the outcome is known.
async fn write(
    operator: usize,
    api: Vec<SocketAddr>,
    client: Client,
    stop: Arc<AtomicBool>,
) -> Vec<(u64, String)> {
    let headers = [("content-type", "application/json")];
    let mut acknowledged = Vec::new();
    let mut expected = 1;
    let mut through = operator;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let key = format!("operator-{operator}-{count}");
        let note = json!({
            "summary": key,
            "change": { "firm-a": { "weight": count % 9 + 1 } },
        });
        let body = json!({ "key": key, "expected": expected, "note": note }).to_string();
        loop {
            let address = api[through % api.len()];
            let answer = client
                .call(address, Method::POST, "/v1/notes", &headers, body.clone())
                .await
                .map_or(Value::Null, |answer| answer.json());
            match answer["outcome"].as_str() {
                Some("accepted") => {
                    expected = answer["number"].as_u64().unwrap();
                    acknowledged.push((expected, key));
                    break;
                }
                Some("conflict") => {
                    expected = answer["number"].as_u64().unwrap();
                    break;
                }
                Some(other) => panic!("unexpected outcome {other}: {answer}"),
                None => {
                    through += 1;
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }
    acknowledged
}

/// Fails if an instance shows an older number after a newer one.
async fn observe(
    address: SocketAddr,
    client: Client,
    stop: Arc<AtomicBool>,
) -> Result<u64, String> {
    let mut highest = 0;
    while !stop.load(Ordering::Relaxed) {
        if let Ok(answer) = client
            .call(address, Method::GET, "/v1/config", &[], "")
            .await
            && let Some(number) = answer.json()["number"].as_u64()
        {
            if number < highest {
                return Err(format!("{address} went back from {highest} to {number}"));
            }
            highest = number;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    Ok(highest)
}
