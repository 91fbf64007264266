//! What callers of the API are told.

use {
    daemon::{Daemon, Options},
    fake::{client::Client, deployment::Deployment},
    http::Method,
    serde_json::json,
    settings::Settings,
    tempfile::TempDir,
};

/// Guards against an instance without a current configuration that does not say so, or that leaves open
/// whether it changed something.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tells_that_the_configuration_is_not_current() {
    let folder = TempDir::new().unwrap();
    // The control instances do not run, so the last one never gets a configuration.
    let deployment = Deployment::new(4, 3, folder.path()).unwrap();
    let settings = Settings::parse("settings.jsonc", &deployment.text(3)).unwrap();
    let daemon = Daemon::spawn(&settings, Options::default()).await.unwrap();
    let client = Client::new(deployment.api());
    let spec =
        json!({ "account": "reed", "key": "one", "shape": { "tasks": 1, "accelerators": 1 } });
    let json = [("content-type", "application/json")];
    for (method, path, body) in [
        (Method::GET, "/v1/config", String::new()),
        (Method::POST, "/v1/jobs", spec.to_string()),
    ] {
        let call = client.call(deployment.api()[3], method, path, &json, body);
        let answer = call.await.unwrap();
        let text = answer.json();
        assert_eq!(answer.status, 503, "{path}: {text}");
        assert_eq!(text["error_code"], "NotRun", "{path}: {text}");
        let message = text["message"].as_str().unwrap();
        assert!(
            message.contains("whether its configuration is current"),
            "{path}: {text}"
        );
        assert!(message.contains("nothing was changed"), "{path}: {text}");
    }
    daemon.abort();
}
