//! The pages for operators against what an instance really registers and logs.

use {
    daemon::{Daemon, Options},
    fake::{client::Client, deployment::Deployment},
    http::Method,
    settings::Settings,
    std::{
        collections::BTreeSet,
        fs,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time,
};

/// Longest wait for a condition; far above every bound, so that a slow machine does not change the verdict.
const LIMIT: Duration = Duration::from_secs(60);

/// Largest number of lines of an instance without accounts and with two groups. Buckets of histograms need
/// requests, of which there is one.
const MAX_LINES: usize = 300;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Names in backquotes at the begin of the rows of tables.
fn rows(page: &str) -> BTreeSet<String> {
    let page = fs::read_to_string(root().join("docs/operators").join(page)).unwrap();
    let lines = page.lines().filter_map(|line| line.strip_prefix("| `"));
    lines
        .map(|line| line.split('`').next().unwrap().to_owned())
        .collect()
}

async fn start(folder: &TempDir) -> (Daemon, Deployment) {
    // The others are listed, but do not run.
    let deployment = Deployment::new(4, 1, folder.path()).unwrap();
    let settings = Settings::parse("settings.jsonc", &deployment.text(0)).unwrap();
    let options = Options {
        bootstrap: true,
        ..Options::default()
    };
    (Daemon::spawn(&settings, options).await.unwrap(), deployment)
}

/// Guards against metrics that the page does not explain and explained ones that do not exist.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explains_every_metric() {
    let folder = TempDir::new().unwrap();
    let (daemon, _) = start(&folder).await;
    let names: BTreeSet<String> = daemon.metrics().names().iter().cloned().collect();
    assert!(names.len() > 20, "{names:?}");
    assert_eq!(rows("metrics.md"), names);
    daemon.abort();
}

/// Guards against values that are missing and against names from callers that become labels.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bounds_the_labels() {
    let folder = TempDir::new().unwrap();
    let (daemon, deployment) = start(&folder).await;
    let client = Client::new(deployment.api());
    let headers = [("x-client-account", "made-up"), ("x-service", "fit")];
    let call = client.call(deployment.requests()[0], Method::GET, "/", &headers, "");
    assert_ne!(call.await.unwrap().status, 200);
    let start = Instant::now();
    let text = loop {
        let call = client.call(deployment.api()[0], Method::GET, "/metrics", &[], "");
        let text = String::from_utf8(call.await.unwrap().body.to_vec()).unwrap();
        if text.contains("trefoilvalve_group_leading{group=\"north\"} 1\n") {
            break text;
        }
        assert!(start.elapsed() < LIMIT, "{text}");
        time::sleep(Duration::from_millis(50)).await;
    };
    for line in [
        "trefoilvalve_configuration_number 0",
        "trefoilvalve_jobs{group=\"north\",state=\"running\"} 0",
        "trefoilvalve_guarantees_owed{group=\"north\"} 0",
        "trefoilvalve_requests_total{account=\"unknown\",class=\"short\",outcome=\"not-run\"} 1",
    ] {
        assert!(
            text.lines().any(|other| other == line),
            "{line} not in {text}"
        );
    }
    assert!(text.contains("process_resident_memory_bytes"), "{text}");
    assert!(!text.contains("made-up"), "{text}");
    let values = text.lines().filter(|line| !line.starts_with('#')).count();
    assert!(values < MAX_LINES, "{values} values");
    daemon.abort();
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Longest considered part of a statement; its event stands in the first of them.
const MAX_STATEMENT_CHARS: usize = 600;

/// Name of the event, and its level and keys as the page gives them, of a statement that begins after `log::`.
fn event(statement: &str) -> Option<(String, String)> {
    let level = statement.split('!').next()?.to_owned();
    let format = statement.split("event=").nth(1)?;
    // The format ends at the first quotation mark that is not escaped.
    let mut end = 0;
    while let Some(at) = format[end..].find('"') {
        end += at;
        if !format[..end].ends_with('\\') {
            break;
        }
        end += 1;
    }
    let format = format[..end].replace("\\\"", "").replace("\\\n", " ");
    let mut words = format.split_whitespace();
    let name = words.next()?.to_owned();
    let keys: Vec<&str> = words
        .filter_map(|word| word.split_once('='))
        .map(|(key, _)| key)
        .collect();
    let keys = if keys.is_empty() {
        "-".to_owned()
    } else {
        keys.join(", ")
    };
    Some((name, format!("{level} | {keys}")))
}

/// Guards against log events whose level or keys the page does not give.
#[test]
fn explains_every_log_event() {
    let mut files = Vec::new();
    for entry in fs::read_dir(root().join("crates")).unwrap() {
        sources(&entry.unwrap().path().join("src"), &mut files);
    }
    sources(&root().join("platform/src"), &mut files);
    let mut events = BTreeSet::new();
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        for statement in text.split("log::").skip(1) {
            let statement: String = statement.chars().take(MAX_STATEMENT_CHARS).collect();
            if ["error!", "warn!", "info!", "debug!", "trace!"]
                .iter()
                .any(|m| statement.starts_with(m))
            {
                let (name, rest) = event(&statement).unwrap_or_else(|| panic!("{statement}"));
                events.insert(format!("| `{name}` | {rest} |"));
            }
        }
    }
    assert!(events.len() > 20, "{events:?}");
    let page = fs::read_to_string(root().join("docs/operators/logs.md")).unwrap();
    let missing: Vec<_> = events
        .iter()
        .filter(|row| !page.contains(row.as_str()))
        .collect();
    assert!(missing.is_empty(), "{missing:#?}");
    let names: BTreeSet<_> = events
        .iter()
        .map(|row| row.split('`').nth(1).unwrap().to_owned())
        .collect();
    assert_eq!(rows("logs.md"), names);
}
