use {
    intake::stream::Inspect,
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// Heads longer than this are refused by hyper before they matter here.
const MAX_HEAD: usize = 1 << 20;

/// Follows the requests of one connection in the bytes as they arrive, and notes for each whether its head
/// states both a content length and a transfer encoding. hyper drops the length in that case, but a balancer
/// in front may have gone by it.
pub(super) struct Framing {
    state: State,
    verdicts: Verdicts,
}

/// For each request in order, whether its length is ambiguous.
#[derive(Clone, Default)]
pub(super) struct Verdicts(Arc<Mutex<VecDeque<bool>>>);

enum State {
    Head(Vec<u8>),
    Body(u64),
    /// The end of the current request is not followed; the connection closes after it.
    Last,
}

impl Verdicts {
    /// The verdict on the next request.
    pub(super) fn next(&self) -> Option<bool> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front()
    }

    fn push(&self, ambiguous: bool) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push_back(ambiguous);
    }
}

impl Inspect for Framing {
    fn read(&mut self, bytes: &[u8]) {
        self.follow(bytes);
    }
}

impl Framing {
    pub(super) fn new(verdicts: Verdicts) -> Framing {
        Framing {
            state: State::Head(Vec::new()),
            verdicts,
        }
    }

    fn follow(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.state {
                State::Last => return,
                State::Body(left) => {
                    let step = (*left).min(bytes.len() as u64);
                    *left -= step;
                    bytes = &bytes[step as usize..];
                    if *left == 0 {
                        self.state = State::Head(Vec::new());
                    }
                }
                State::Head(head) => {
                    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
                        head.extend_from_slice(bytes);
                        if head.len() > MAX_HEAD {
                            self.state = State::Last;
                        }
                        return;
                    };
                    head.extend_from_slice(&bytes[..=end]);
                    bytes = &bytes[end + 1..];
                    self.line();
                }
            }
        }
    }

    /// Looks at the head after a line was completed.
    fn line(&mut self) {
        let State::Head(head) = &mut self.state else {
            return;
        };
        if head.iter().all(|byte| matches!(byte, b'\r' | b'\n')) {
            // Empty lines before a request are skipped.
            head.clear();
            return;
        }
        if !head.ends_with(b"\n\n") && !head.ends_with(b"\n\r\n") {
            return;
        }
        let mut length = None;
        let mut encoded = false;
        for line in head.split(|byte| *byte == b'\n') {
            let Some(colon) = line.iter().position(|byte| *byte == b':') else {
                continue;
            };
            let (name, value) = (line[..colon].trim_ascii(), &line[colon + 1..]);
            if name.eq_ignore_ascii_case(b"content-length") {
                let text = std::str::from_utf8(value.trim_ascii());
                length = Some(text.ok().and_then(|text| text.parse::<u64>().ok()));
            }
            encoded |= name.eq_ignore_ascii_case(b"transfer-encoding");
        }
        self.verdicts.push(encoded && length.is_some());
        self.state = match length {
            _ if encoded => State::Last,
            None => State::Head(Vec::new()),
            Some(Some(0)) => State::Head(Vec::new()),
            Some(Some(length)) => State::Body(length),
            Some(None) => State::Last,
        };
    }
}
