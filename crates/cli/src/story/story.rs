use {super::Line, indexmap::IndexSet};

/// Events that change what the leader can do, whatever the job.
const GENERAL: [&str; 9] = [
    "lead_began",
    "lead_ended",
    "leader_changed",
    "leadership_left",
    "disk_full",
    "members_change",
    "config_stored",
    "evacuation_ordered",
    "fenced",
];

/// The lines about an id and what happened around them, in order of time.
pub(crate) struct Story {
    pub lines: Vec<Line>,
}

impl Story {
    /// Selects the lines that mention the id, those of upstreams that its runs were on, and changes of the leader or
    /// the configuration meanwhile.
    pub fn new(id: &str, mut lines: Vec<Line>) -> Story {
        lines.sort_by(|a, b| a.get("time").cmp(b.get("time")));
        let own: Vec<&Line> = lines.iter().filter(|line| line.mentions(id)).collect();
        let upstreams: IndexSet<&str> = own.iter().map(|line| line.get("upstream")).collect();
        let first = own.first().map_or("", |line| line.get("time"));
        let last = own.last().map_or("", |line| line.get("time"));
        let is_meanwhile = |line: &Line| (first..=last).contains(&line.get("time"));
        let is_part = |line: &&Line| {
            let event = line.get("event");
            let of_upstream =
                event.starts_with("upstream_") && upstreams.contains(line.get("upstream"));
            line.mentions(id) || (is_meanwhile(line) && (of_upstream || GENERAL.contains(&event)))
        };
        let has_own = !own.is_empty();
        let lines = lines.iter().filter(|line| has_own && is_part(line));
        Story {
            lines: lines.cloned().collect(),
        }
    }
}
