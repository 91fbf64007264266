//! Helpers of the tests: a stand-in of an instance and a way to run commands in this process.
#![allow(dead_code, reason = "each test file uses a part")]

use {
    cli::Exit,
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::{TcpListener, TcpStream},
        path::PathBuf,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::JoinHandle,
        time::Duration,
    },
};

/// What the stand-in does with one connection.
#[derive(Clone, Debug)]
pub enum Act {
    /// Answers with a status and a body.
    Answer(u16, String),
    /// Reads the request and closes without an answer.
    Lose,
    /// Sends half of the promised body and closes.
    Cut(String),
    /// Reads the request and keeps the connection open without an answer.
    Silent,
    /// Sends these bytes as they are.
    Raw(Vec<u8>),
}

/// A request that the stand-in received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    pub line: String,
    pub body: String,
}

/// A stand-in of one instance on loopback that follows a script; the last act repeats.
pub struct Stand {
    pub address: String,
    seen: Arc<Mutex<Vec<Seen>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Stand {
    pub fn start(script: Vec<Act>) -> Stand {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let thread = {
            let (seen, stop) = (seen.clone(), stop.clone());
            std::thread::spawn(move || {
                let mut held = Vec::new();
                for (index, stream) in listener.incoming().enumerate() {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let act = script[index.min(script.len() - 1)].clone();
                    let _ = serve(stream.unwrap(), act, &seen, &mut held);
                }
            })
        };
        Stand {
            address,
            seen,
            stop,
            thread: Some(thread),
        }
    }

    pub fn answers(status: u16, body: impl Into<String>) -> Stand {
        Stand::start(vec![Act::Answer(status, body.into())])
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

impl Drop for Stand {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(&self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(
    stream: TcpStream,
    act: Act,
    seen: &Mutex<Vec<Seen>>,
    held: &mut Vec<TcpStream>,
) -> std::io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        if let Some(value) = header.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if header.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    seen.lock().unwrap().push(Seen {
        line: line.trim_end().trim_end_matches(" HTTP/1.1").to_owned(),
        body: String::from_utf8(body).unwrap(),
    });
    let mut stream = stream;
    let head = |status: u16, length: usize| {
        format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\nlocation: /elsewhere\r\n\
             content-length: {length}\r\nconnection: close\r\n\r\n"
        )
    };
    match act {
        Act::Answer(status, body) => {
            stream.write_all(format!("{}{body}", head(status, body.len())).as_bytes())
        }
        Act::Lose => Ok(()),
        Act::Cut(body) => {
            let half = &body[..body.len() / 2];
            stream.write_all(format!("{}{half}", head(200, body.len())).as_bytes())
        }
        Act::Silent => {
            held.push(stream);
            Ok(())
        }
        Act::Raw(bytes) => stream.write_all(&bytes),
    }
}

/// Returns an address on which nothing listens.
pub fn down() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

pub fn not_run(message: &str) -> Act {
    let body = serde_json::json!({
        "request_id": "1", "error_code": "NotRun", "message": message
    });
    Act::Answer(503, body.to_string())
}

pub fn error(status: u16, message: &str) -> Act {
    let body = serde_json::json!({ "request_id": "1", "message": message });
    Act::Answer(status, body.to_string())
}

/// Result of one command.
#[derive(Debug)]
pub struct Ran {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

/// Runs a command against instances with short time limits.
pub fn run(instances: &[&str], arguments: &[&str]) -> Ran {
    let limits = ["--try-timeout", "0.4", "--timeout", "1.5"];
    run_raw(Some(instances.join(",")), &[arguments, &limits].concat())
}

pub fn run_raw(instances: Option<String>, arguments: &[&str]) -> Ran {
    let arguments: Vec<String> = arguments.iter().map(|&a| a.to_owned()).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cli::run(&arguments, instances, &mut out, &mut err);
    Ran {
        exit,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

/// A folder with files that is removed at the end of a test.
pub struct Files(tempfile::TempDir);

impl Files {
    pub fn new() -> Files {
        Files(tempfile::tempdir().unwrap())
    }

    pub fn write(&self, name: &str, content: impl AsRef<[u8]>) -> String {
        let path = self.path(name);
        std::fs::write(&path, content).unwrap();
        path.to_str().unwrap().to_owned()
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }
}

/// A note with comments, whose lines the tests know.
pub const NOTE: &str = r#"{
  // The first account.
  "summary": "Add reed",
  "add": {
    "reed": {
      "places": ["vestland"],
      "guarantees": {
        "night": {
          "shape": { "tasks": 2, "accelerators": 4 },
          "place": "vestland/bergen-a",
        },
      },
      "objectives": [
        { "class": "short", "measure": "answer", "within_ms": 100, "target": 0.99 },
      ],
    },
  },
}
"#;
