//! Logs never block and are bounded.

use {
    log::{Level, Record},
    log4rs::{append::Append, encode::pattern::PatternEncoder},
    logs::{Budget, Console},
    std::{
        io::{self, Write},
        sync::{Arc, Mutex, mpsc},
        time::{Duration, Instant},
    },
};

/// Blocks until told to go on, like a reader that has stopped reading.
struct Stuck {
    go_on: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.go_on.recv().unwrap_or_default();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that stands still because nobody reads its logs, and against lines that vanish without
/// a word.
#[test]
fn a_stuck_reader_blocks_nothing_and_left_out_lines_are_counted() {
    let (go_on, receiver) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = Stuck {
        go_on: receiver,
        written: written.clone(),
    };
    let encoder = Box::new(PatternEncoder::new("{m}{n}"));
    let console = Console::spawn(encoder, Box::new(output)).unwrap();
    let line = |text: &str, level| {
        console.append(
            &Record::builder()
                .args(format_args!("{text}"))
                .level(level)
                .build(),
        )
    };
    for _ in 0..20_000 {
        line("event=busy", Level::Warn).unwrap();
    }
    drop(go_on);
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        line("event=later", Level::Warn).unwrap();
        let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
        if text.contains("event=log_lines_left_out count=") {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the left-out lines were not counted");
}

/// Guards against a volume that grows with the load.
#[test]
fn the_budget_bounds_the_rate() {
    let start = Instant::now();
    let mut budget = Budget::new(100, 50, start);
    let taken = |budget: &mut Budget, at_ms| {
        let now = start + Duration::from_millis(at_ms);
        (0..1000).filter(|_| budget.take(now)).count()
    };
    assert_eq!(taken(&mut budget, 0), 50);
    assert_eq!(taken(&mut budget, 100), 10);
    assert_eq!(taken(&mut budget, 60_000), 50);
}
