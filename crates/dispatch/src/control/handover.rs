use {
    super::Control,
    crate::leader::{SpeedMemory, StartMemory},
    futures::future,
    gate::call::{Reply, Request, SERVICE},
    std::{
        sync::{MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    wire::Verdict,
    work::upstream::{NumberedReport, Speed, StartReport},
};

/// Interval at which the leader tells the followers the speeds that it has learned. Those of busy upstreams are measured
/// about as often; a message has 25 bytes for each upstream.
const SPEEDS_INTERVAL: Duration = Duration::from_secs(3);

/// Interval at which the leader tells the followers which starts are open. If it is lost, what it has assigned since may wait
/// for longer.
const STARTS_INTERVAL: Duration = Duration::from_secs(1);

/// When the other members were told what the next leader has to know.
#[derive(Debug, Default)]
pub(super) struct Telling {
    speeds_told: Option<Instant>,
    was_uneven: bool,
    starts_told: Option<Instant>,
    last_starts: NumberedReport,
}

impl Telling {
    /// Tells the other members what is due, while this instance leads. Does not wait for answers.
    pub fn tell_if_due(&mut self, control: &Control) {
        self.tell_speeds(control);
        self.tell_starts(control);
    }

    /// Tells the speeds at an interval while the fleet is uneven, and once when it is not any more.
    fn tell_speeds(&mut self, control: &Control) {
        let now = control.shared.clock.now();
        if is_recent(self.speeds_told, SPEEDS_INTERVAL, now) {
            return;
        }
        let speeds = control.speed_memory().speeds().to_vec();
        let is_uneven = !speeds.is_empty();
        if is_uneven || self.was_uneven {
            self.speeds_told = Some(now);
            tokio::spawn(tell(control.clone(), Request::Speeds(speeds), None));
        }
        self.was_uneven = is_uneven;
    }

    /// Tells the open starts at an interval, if anything was assigned since.
    fn tell_starts(&mut self, control: &Control) {
        let now = control.shared.clock.now();
        if is_recent(self.starts_told, STARTS_INTERVAL, now) {
            return;
        }
        let latest = control.start_memory().latest().clone();
        let last = &self.last_starts;
        if latest.term != last.term || latest.report != last.report {
            self.starts_told = Some(now);
            self.last_starts = latest.clone();
            let unnumbered = Request::Starts(latest.report.clone());
            let request = Request::NumberedStarts(latest);
            tokio::spawn(tell(control.clone(), request, Some(unnumbered)));
        }
    }
}

fn is_recent(at: Option<Instant>, interval: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now < at + interval)
}

/// Tells each follower once: the next time will do as well. One of an earlier build that does not know the request is told the
/// earlier form of it.
async fn tell(control: Control, request: Request, earlier: Option<Request>) {
    let forms = [Some(request), earlier].into_iter().flatten();
    let forms: Vec<Vec<u8>> = forms.filter_map(|request| encode(&request)).collect();
    let members = control.shared.replica.view().members.all().into_iter();
    let ids = members.map(|member| member.id);
    let others = ids.filter(|id| *id != control.shared.id);
    let calls = others.map(async |id| {
        for form in &forms {
            match control.shared.peers.propose(id, SERVICE, form).await {
                Ok(Verdict::Answer(_)) => return,
                // An earlier build does not know the request.
                Ok(verdict) => {
                    log::debug!("event=handover_not_told instance={id} error=\"{verdict:?}\"")
                }
                Err(error) => {
                    log::debug!("event=handover_not_told instance={id} error=\"{error}\"");
                    return;
                }
            }
        }
    });
    future::join_all(calls).await;
}

fn encode(request: &Request) -> Option<Vec<u8>> {
    let bytes = postcard::to_stdvec(request);
    let log = |error: &postcard::Error| {
        log::warn!("event=handover_not_encoded error=\"{error}\"");
    };
    bytes.inspect_err(log).ok()
}

impl Control {
    /// Keeps the speeds that the leader has told, in case this instance leads next.
    pub(super) fn remember_speeds(&self, speeds: Vec<Speed>) -> Verdict {
        self.speed_memory().replace(speeds, self.shared.clock.now());
        done()
    }

    /// Keeps the open starts that the leader has told, in case this instance leads next.
    pub(super) fn remember_starts(&self, report: NumberedReport) -> Verdict {
        let now = self.shared.clock.now();
        self.start_memory().replace(report, now);
        done()
    }

    /// Keeps the open starts that a leader of an earlier build has told.
    pub(super) fn remember_unnumbered_starts(&self, report: StartReport) -> Verdict {
        let now = self.shared.clock.now();
        self.start_memory().replace_by_unnumbered(report, now);
        done()
    }

    fn speed_memory(&self) -> MutexGuard<'_, SpeedMemory> {
        let memory = self.shared.speed_memory.lock();
        memory.unwrap_or_else(PoisonError::into_inner)
    }

    fn start_memory(&self) -> MutexGuard<'_, StartMemory> {
        let memory = self.shared.start_memory.lock();
        memory.unwrap_or_else(PoisonError::into_inner)
    }
}

fn done() -> Verdict {
    match postcard::to_stdvec(&Reply::Done) {
        Ok(bytes) => Verdict::Answer(bytes),
        Err(error) => Verdict::Unknown(format!("cannot encode the reply: {error}")),
    }
}
