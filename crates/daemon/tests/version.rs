//! What the programs tell about their build.

use std::{path::Path, process::Command};

/// Commit of the checkout; none without git or a checkout.
fn checked_out() -> Option<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new("git")
        .args(["rev-parse", "HEAD"])
        .current_dir(root)
        .output()
        .ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}

/// Guards against a program whose build cannot be told from that of another commit.
#[test]
fn tells_the_commit_of_its_build() {
    let output = Command::new(env!("CARGO_BIN_EXE_trefoilvalved"))
        .arg("--version")
        .output()
        .unwrap();
    assert!(output.status.success());
    let commit = checked_out().unwrap_or_else(|| "unknown".into());
    assert_eq!(build::CURRENT.commit(), commit);
    let version = env!("CARGO_PKG_VERSION");
    assert_eq!(
        String::from_utf8(output.stdout).unwrap(),
        format!("trefoilvalved {version} (commit {commit})\n")
    );
}

/// Guards against metrics that do not tell the builds in a group apart.
#[test]
fn the_metric_has_version_and_commit() {
    let metric = build::CURRENT.metric().unwrap();
    let families = prometheus::core::Collector::collect(&metric);
    let labels = families[0].get_metric()[0].get_label();
    let value = |name| {
        let label = labels.iter().find(|label| label.name() == name);
        label.map(|label| label.value().to_owned())
    };
    assert_eq!(value("version").as_deref(), Some(build::CURRENT.version()));
    assert_eq!(value("commit").as_deref(), Some(build::CURRENT.commit()));
}
