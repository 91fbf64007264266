//! Runs the commands of the tutorial with real processes.

use {
    fake::deployment::Deployment,
    std::{
        fs,
        os::unix::process::CommandExt,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// Longest run of the whole page. The commands have shorter limits of their own.
const LIMIT: Duration = Duration::from_secs(300);

/// Instances that the page starts.
const INSTANCES: usize = 7;

/// Blocks of the page in one language.
fn blocks(page: &str, language: &str) -> Vec<String> {
    let open = format!("```{language}\n");
    let rest = page.split(&open).skip(1);
    rest.map(|rest| rest.split("```").next().unwrap().to_owned())
        .collect()
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Folder of the binaries. The daemon is built there, as the page does, unless the tests built it already.
fn binaries() -> PathBuf {
    let cli = Path::new(env!("CARGO_BIN_EXE_trefoilvalve"));
    let folder = cli.parent().unwrap().to_owned();
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--quiet", "--offline", "--package", "daemon"]);
    build.arg("--target-dir").arg(folder.parent().unwrap());
    if folder.ends_with("release") {
        build.arg("--release");
    }
    let built = build.current_dir(root()).status().unwrap();
    assert!(built.success(), "the daemon cannot be built");
    folder
}

/// Replaces the ports of the page by free ones, so that the test can run beside other processes.
fn with_free_ports(text: &str, deployment: &Deployment) -> String {
    let mut text = text.to_owned();
    for index in 0..INSTANCES {
        let listeners = [deployment.api()[index], deployment.requests()[index]];
        for (hundreds, address) in ["71", "72"].iter().zip(listeners) {
            let old = format!("127.0.0.1:{hundreds}0{}", index + 1);
            text = text.replace(&old, &address.to_string());
        }
    }
    text
}

/// A shell and what it started; all end with it.
struct Shell(Child);

impl Drop for Shell {
    fn drop(&mut self) {
        // The group has only processes of this shell.
        let group = format!("-{}", self.0.id());
        let _ = Command::new("kill")
            .args(["-KILL", "--", &group])
            .stderr(Stdio::null())
            .status();
        let _ = self.0.wait();
    }
}

/// Guards against a tutorial whose commands fail or print something else than the page says.
#[test]
fn runs_the_commands_of_the_tutorial() {
    let folder = tempfile::tempdir().unwrap();
    let page = fs::read_to_string(root().join("docs/tutorial.md")).unwrap();
    // A second set of free ports for the connections between the instances.
    let deployment = Deployment::new(INSTANCES, 0, folder.path()).unwrap();
    let peers = Deployment::new(INSTANCES, 0, folder.path()).unwrap();
    let examples = folder.path().join("examples/planning");
    fs::create_dir_all(&examples).unwrap();
    for entry in fs::read_dir(root().join("examples/planning")).unwrap() {
        let entry = entry.unwrap();
        let mut text = with_free_ports(&fs::read_to_string(entry.path()).unwrap(), &deployment);
        for (index, address) in peers.api().iter().enumerate() {
            let old = format!("127.0.0.1:730{}", index + 1);
            text = text.replace(&old, &address.to_string());
        }
        fs::write(examples.join(entry.file_name()), text).unwrap();
    }
    let shell = blocks(&page, "sh");
    assert!(shell[0].starts_with("cargo build --workspace\nexport PATH="));
    let commands = shell[1..].concat();
    // The page's jobs run for a minute, so that a reader has the time to look at them.
    assert!(commands.contains("run_ms=60000"));
    let commands = with_free_ports(&commands, &deployment).replace("run_ms=60000", "run_ms=15000");
    fs::write(
        folder.path().join("page.sh"),
        format!("set -eu -o pipefail\n{commands}"),
    )
    .unwrap();
    let path = std::env::var("PATH").unwrap();
    let log = fs::File::create(folder.path().join("page.log")).unwrap();
    let child = Command::new("bash")
        .arg("page.sh")
        .current_dir(folder.path())
        .env("PATH", format!("{}:{path}", binaries().display()))
        .env_remove("TREFOILVALVE_INSTANCES")
        .stdin(Stdio::null())
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .process_group(0)
        .spawn()
        .unwrap();
    let mut shell = Shell(child);
    let start = Instant::now();
    let status = loop {
        if let Some(status) = shell.0.try_wait().unwrap() {
            break Some(status);
        }
        if start.elapsed() > LIMIT {
            break None;
        }
        thread::sleep(Duration::from_millis(100));
    };
    let log = fs::read_to_string(folder.path().join("page.log")).unwrap();
    assert!(status.is_some_and(|status| status.success()), "{log}");
    let mut expected = vec![
        "configuration 0: no note was accepted yet",
        "accepted as configuration 1",
        "configuration 1 is in force everywhere",
        "vestland-4 queued",
        "vestland-1: done",
        "worker bergen-a-r1-w1 drains",
        "worker bergen-a-r1-w1 is back in service",
        "harbour   short request answered within 500 ms   99.00%   1      0",
        "wrote levels.html",
    ];
    let printed = blocks(&page, "text");
    expected.extend(printed.iter().flat_map(|block| block.lines()));
    for line in &expected {
        assert!(log.contains(line), "not printed: {line}\n{log}");
    }
    // Two lists of 48 workers, one of them with a drained one, and one of 12 upstreams.
    let listed = |text: &str| log.lines().filter(|line| line.contains(text)).count();
    assert_eq!(
        listed("-r1-w") + listed("-r2-w") - listed("done"),
        2 * 48 + 2,
        "{log}"
    );
    assert_eq!(listed(" fit "), 12, "{log}");
    let left: Vec<_> = fs::read_dir(folder.path())
        .unwrap()
        .map(|entry| entry.unwrap().file_name())
        .filter(|name| {
            !["examples", "page.sh", "page.log"]
                .iter()
                .any(|own| name == own)
        })
        .collect();
    assert!(left.is_empty(), "the page leaves files behind: {left:?}");
}
