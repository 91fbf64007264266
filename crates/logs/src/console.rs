use {
    super::Budget,
    log::Record,
    log4rs::{
        append::Append,
        encode::{Encode, Write as Encoded, writer::simple::SimpleWriter},
    },
    std::{
        fmt,
        io::{self, Write},
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
            mpsc,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Lines that wait for the reader of standard output beyond which new ones are left out: about 1 MB.
const MAX_WAITING: usize = 4096;

/// Lines a second beyond which lines below a warning are left out. A leader with 350 busy upstreams writes some 900 a
/// second over a minute.
const LINES_PER_SECOND: u32 = 2000;

/// Lines above that rate that a burst may write.
const BURST: u32 = 4000;

/// Bytes that are written to standard output in one call, at most. A pipe takes as many as a whole, so that lines of
/// several processes are not torn.
const MAX_WRITE_BYTES: usize = 4096;

/// Pause after a failed write.
const WRITE_RETRY: Duration = Duration::from_millis(50);

/// Writes lines from a thread of its own, so that a reader that stops reading blocks nothing else.
#[derive(Debug)]
pub struct Console {
    encoder: Box<dyn Encode>,
    lines: mpsc::SyncSender<Vec<u8>>,
    budget: Mutex<Budget>,
    left_out: AtomicU64,
}

impl Console {
    /// Starts the thread that writes to `output`.
    pub fn spawn(encoder: Box<dyn Encode>, output: Box<dyn Write + Send>) -> io::Result<Console> {
        let (lines, receiver) = mpsc::sync_channel(MAX_WAITING);
        thread::Builder::new()
            .name("logs".into())
            .spawn(move || write(&receiver, output))?;
        Ok(Console {
            encoder,
            lines,
            budget: Mutex::new(Budget::new(LINES_PER_SECOND, BURST, Instant::now())),
            left_out: AtomicU64::new(0),
        })
    }

    fn is_admitted(&self, record: &Record<'_>) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(Instant::now()) || record.level() <= log::Level::Warn
    }

    fn send(&self, line: Vec<u8>) {
        if self.lines.try_send(line).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Append for Console {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !self.is_admitted(record) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            self.send(format!("event=log_lines_left_out count={left_out}\n").into_bytes());
        }
        let mut line = Vec::with_capacity(256);
        self.encoder
            .encode(&mut SimpleWriter(&mut line) as &mut dyn Encoded, record)?;
        self.send(line);
        Ok(())
    }

    fn flush(&self) {}
}

impl fmt::Display for Console {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("console")
    }
}

fn write(lines: &mpsc::Receiver<Vec<u8>>, mut output: Box<dyn Write + Send>) {
    let mut next = None;
    while let Some(mut bytes) = next.take().or_else(|| lines.recv().ok()) {
        while let Ok(more) = lines.try_recv() {
            if bytes.len() + more.len() > MAX_WRITE_BYTES {
                next = Some(more);
                break;
            }
            bytes.extend_from_slice(&more);
        }
        match output.write_all(&bytes).and_then(|()| output.flush()) {
            Ok(()) => {}
            // Nobody reads any more, and without standard output there is nowhere to tell of it.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => return,
            Err(_) => thread::sleep(WRITE_RETRY),
        }
    }
}
