//! Records that an earlier build has stored.

use work::{
    id,
    registry::{Answer, Command, Registry, Update},
};

const JOB: id::Job = id::Job(1);

const TASK: id::Task = id::Task {
    job: JOB,
    occurrence: 0,
    step: 0,
    index: 0,
};

/// Snapshot of the build at commit 80f5319: version 1 has the queue `old`, which has a job with an assigned run on upstream
/// `a`; version 2 has the queue `new` with the same host and prefix.
const SNAPSHOT: &str = concat!(
    "1401020001036e657704686f7374032f782f04706f6f6ce807000000000000000000000300000104706f6f6c00000080801002036f6c6403",
    "6f6c6404686f7374032f782f04706f6f6ce80700000000000000000000030000036e6577036e657704686f7374032f782f04706f6f6ce807",
    "0000000000000000000003000001010100036f6c640001010000000000000000000000000000000000000a00000101000101010000000101",
    "0161011400000000000000000000000000000101610161010b31302e302e302e313a383002646304706f6f6c0000000000000000",
);

/// Snapshot of the build at commit c62a54a, which identified queues by host and prefix without a separator: host `host` and
/// prefix `x/` with a job.
const UNSEPARATED_SNAPSHOT: &str = concat!(
    "0201010001036f646404686f737402782f04706f6f6ce807000000000000000000000000000104706f6f6c0000008080100106686f737478",
    "2f036f646404686f737402782f04706f6f6ce807000000000000000000000000000101010006686f7374782f000101000000000000000000",
    "00000000000000000002000000000000",
);

/// A command of the build at commit 80f5319 which moves run 1 of the task to the incarnation 2 of its upstream.
const MOVED: &str = "051e0103010000000102";

fn bytes(hex: &str) -> Vec<u8> {
    let digits = (0..hex.len()).step_by(2);
    digits
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

/// Guards against a build that refuses the snapshot of the build before, or that loses the jobs of a renamed queue in it.
#[test]
fn a_snapshot_of_an_earlier_build_is_read() {
    let registry = Registry::load(&bytes(SNAPSHOT)).unwrap();
    let job = registry.job(JOB).unwrap();
    assert_eq!(job.queue, "host/x/");
    assert_eq!(
        registry.queue("host/x/").map(|queue| queue.name.as_str()),
        Some("new")
    );
    assert!(registry.queue("new").is_none() && registry.queue("old").is_none());
    assert!(registry.run(&TASK, 1).is_some());
}

/// Guards against jobs that lose their queue when a build with another text for host and prefix reads them.
#[test]
fn jobs_keep_their_queue_whose_prefix_has_no_slash() {
    let registry = Registry::load(&bytes(UNSEPARATED_SNAPSHOT)).unwrap();
    let queue = registry.queue(&registry.job(JOB).unwrap().queue);
    assert_eq!(
        queue.map(|queue| (queue.host.as_str(), queue.prefix.as_str())),
        Some(("host", "x/"))
    );
}

/// Guards against a command that instances of the build before and after understand differently.
#[test]
fn a_command_of_an_earlier_build_is_read() {
    let command: Command = postcard::from_bytes(&bytes(MOVED)).unwrap();
    let running = Update::Running {
        task: TASK,
        run: 1,
        born_ms: 2,
    };
    let expected = Command::Progress {
        at_ms: 30,
        steps: vec![running],
    };
    assert_eq!(command, expected);
    let mut registry = Registry::load(&bytes(SNAPSHOT)).unwrap();
    assert_eq!(registry.apply(command), Answer::Runs(vec![]));
    assert_eq!(registry.run(&TASK, 1).map(|run| run.born_ms), Some(2));
}
