use {
    super::cluster::Cluster,
    serde_json::{Value, json},
    std::{
        fs,
        process::{Command, Output},
        time::Duration,
    },
    tokio::time,
};

/// Exit code of a recovery that was refused.
const REFUSED: i32 = 4;

/// Notes written before the loss, besides the first.
const NOTES: u64 = 5;

/// Runs `trefoilvalved recover` on the disk of an instance.
fn recover(cluster: &Cluster, index: usize, group: &str, accept: bool) -> Output {
    let settings = cluster.log(index).with_extension("jsonc");
    let mut command = Command::new(env!("CARGO_BIN_EXE_trefoilvalved"));
    command.args(["recover", "--group", group, "--settings"]);
    command.arg(settings);
    if accept {
        command.arg("--accept-loss");
    }
    command.output().unwrap()
}

fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    format!("{out}{}", String::from_utf8_lossy(&output.stderr))
}

/// Value of a line of the report.
fn line(output: &Output, name: &str) -> String {
    let text = text(output);
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{name}: ")));
    value
        .unwrap_or_else(|| panic!("no `{name}` in {text}"))
        .to_owned()
}

/// Names of the voters in the report, sorted.
fn voters(output: &Output) -> Vec<String> {
    let line = line(output, "voters");
    let names = line.split(", ").filter_map(|voter| voter.split(' ').next());
    let mut names: Vec<String> = names.map(str::to_owned).collect();
    names.sort();
    names
}

async fn notes(cluster: &Cluster, from: u64, count: u64) {
    for number in from..from + count {
        let note = json!({
            "summary": format!("note {number}"),
            "change": { "firm-a": { "weight": number + 1 } },
        });
        let outcome = cluster
            .submit(&format!("key-{number}"), number, &note)
            .await;
        assert_eq!(outcome["number"], number + 1, "{outcome}");
    }
}

/// Keys of all notes, oldest first, as one instance reads them from the leader.
async fn keys(cluster: &Cluster, index: usize, count: usize) -> Vec<String> {
    let answer = cluster
        .until(index, "/v1/notes?after=0&limit=100", |answer| {
            answer
                .json()
                .as_array()
                .is_some_and(|all| all.len() >= count)
        })
        .await;
    let key = |note: &Value| note["key"].as_str().unwrap().to_owned();
    answer.json().as_array().unwrap().iter().map(key).collect()
}

async fn commit(cluster: &Cluster, index: usize, group: &str) -> Option<u64> {
    let answer = cluster.get(index, "/v1/status").await.ok()?.json();
    let groups = answer["groups"].as_array()?;
    groups.iter().find(|view| view["name"] == group)?["commit"].as_u64()
}

/// Waits until the replica of `index` has committed what the others have.
async fn caught_up(cluster: &Cluster, index: usize) {
    for _ in 0..600 {
        let mut equal = true;
        for group in ["config", "north"] {
            let own = commit(cluster, index, group).await;
            for other in 0..3 {
                equal &= own.is_some() && own == commit(cluster, other, group).await;
            }
        }
        if equal {
            return;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    panic!("a{} did not catch up", index + 1);
}

/// Guards against a recovery that is done by mistake, that loses what the survivor holds, or after which
/// the group does not grow back.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_quorum_is_recovered_on_the_survivor() {
    let mut cluster = Cluster::spawn(4, 3).await;
    cluster.first_note().await;
    notes(&cluster, 1, NOTES).await;
    caught_up(&cluster, 2).await;
    let before = keys(&cluster, 2, NOTES as usize + 1).await;

    let running = recover(&cluster, 2, "config", true);
    assert_eq!(running.status.code(), Some(REFUSED), "{}", text(&running));

    for index in [0, 1] {
        cluster.kill(index);
        cluster.wipe(index);
    }
    cluster.kill(2);
    let first = recover(&cluster, 2, "config", false);
    assert_eq!(first.status.code(), Some(REFUSED), "{}", text(&first));
    assert_eq!(line(&first, "notes number"), (NOTES + 1).to_string());
    assert_eq!(voters(&first), ["a1", "a2", "a3"]);
    let again = recover(&cluster, 2, "config", false);
    assert_eq!(
        text(&first),
        text(&again),
        "a refused recovery changed the disk"
    );
    let unknown = recover(&cluster, 2, "south", true);
    assert_eq!(unknown.status.code(), Some(REFUSED), "{}", text(&unknown));
    for group in ["config", "north"] {
        let done = recover(&cluster, 2, group, true);
        assert_eq!(done.status.code(), Some(0), "{}", text(&done));
    }
    let after = recover(&cluster, 2, "config", false);
    assert_eq!(voters(&after), ["a3"]);

    cluster.start(2, false);
    cluster.voters(2, 1).await;
    cluster
        .until(2, "/ready", |answer| answer.status == 200)
        .await;
    assert_eq!(keys(&cluster, 2, before.len()).await, before);

    // The first member is started as on the first day, by mistake.
    cluster.start(0, true);
    cluster.start(1, false);
    for index in [2, 0, 1] {
        cluster.voters(index, 3).await;
    }
    notes(&cluster, NOTES + 1, 1).await;
    for index in 0..3 {
        assert_eq!(
            keys(&cluster, index, before.len() + 1).await[..before.len()],
            before
        );
    }
    let log = fs::read_to_string(cluster.log(0)).unwrap();
    assert!(
        log.contains("event=bootstrap_refused group=config"),
        "{log}"
    );
}

/// Guards against a second group: an instance whose disk was replaced is started with `--bootstrap`.
#[tokio::test(flavor = "multi_thread")]
async fn bootstrap_on_a_replaced_disk_joins_the_group() {
    let mut cluster = Cluster::spawn(4, 3).await;
    cluster.first_note().await;
    let formed = |cluster: &Cluster| {
        let log = fs::read_to_string(cluster.log(0)).unwrap();
        log.matches("event=group_formed").count()
    };
    assert_eq!(formed(&cluster), 2);
    cluster.kill(0);
    cluster.wipe(0);
    cluster.start(0, true);
    cluster.voters(0, 3).await;
    cluster.voters(1, 3).await;
    notes(&cluster, 1, 1).await;
    assert_eq!(keys(&cluster, 0, 2).await, ["first", "key-1"]);
    assert_eq!(formed(&cluster), 2, "a second group was formed");
}

/// Guards against a group formed by an instance that reaches no other member and so can't know whether the
/// group exists.
#[tokio::test(flavor = "multi_thread")]
async fn bootstrap_without_the_other_members_waits() {
    let mut cluster = Cluster::spawn(4, 3).await;
    cluster.first_note().await;
    for index in 0..3 {
        cluster.kill(index);
    }
    cluster.wipe(0);
    cluster.start(0, true);
    let log = cluster.log(0);
    for _ in 0..600 {
        if fs::read_to_string(&log)
            .unwrap()
            .contains("event=bootstrap_waits")
        {
            break;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    // Longer than several rounds of questions and an election.
    time::sleep(Duration::from_secs(4)).await;
    let text = fs::read_to_string(&log).unwrap();
    assert!(text.contains("event=bootstrap_waits"), "{text}");
    assert_eq!(text.matches("event=group_formed").count(), 2, "{text}");
    cluster.start(1, false);
    cluster.start(2, false);
    cluster.voters(0, 3).await;
    assert_eq!(keys(&cluster, 0, 1).await, ["first"]);
}
