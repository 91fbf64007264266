use std::{fs, process::Command};

fn daemon(text: &str) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bad.jsonc");
    fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_trefoilvalved"))
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();
    let files = fs::read_dir(folder.path()).unwrap().count();
    assert_eq!(files, 1, "a refused start left files behind");
    (
        output.status.code(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

/// Guards against a daemon that starts on settings with faults, or that reports only the first of them.
#[test]
fn every_fault_of_a_settings_file_is_reported_with_its_line() {
    let (code, text) = daemon(
        r#"{
            "instance": { "name": "a1", "id": 0, "region": "north", "data_centre": "north-a" },
            "listen": { "api": "nowhere", "requests": "127.0.0.1:1", "peers": "127.0.0.1:2" },
            "instances": [],
            "groups": {},
            "hoomes": {}
        }"#,
    );
    assert_eq!(code, Some(2), "{text}");
    for expected in ["bad.jsonc:2", "bad.jsonc:3", "hoomes", "homes"] {
        assert!(
            text.contains(expected),
            "`{expected}` is missing in: {text}"
        );
    }
}
