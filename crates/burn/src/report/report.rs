use {
    super::{Line, Source, page, text},
    crate::ledger::{Counts, Snapshot},
    indexmap::IndexMap,
    model::{account::Objective, config::Config},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// Service levels of every account at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Report {
    /// When the report was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Number of the configuration that holds the objectives.
    pub number: u64,
    /// Instances whose counts are in the report.
    pub sources: Vec<Source>,
    /// What limits the figures, for people.
    pub remarks: Vec<String>,
    /// One entry for each objective, in the order of the configuration.
    pub lines: Vec<Line>,
}

impl Report {
    /// Merges `snapshots` and compares them with the objectives of `config`. `now_ms` is the wall time
    /// of the reporter in milliseconds since the Unix epoch.
    ///
    /// Of several snapshots of one instance, only the one that has counted longest is used.
    pub fn new(snapshots: &[Snapshot], config: &Config, now_ms: u64) -> Report {
        let mut used: IndexMap<&str, &Snapshot> = IndexMap::new();
        for snapshot in snapshots {
            let held = used.entry(&snapshot.source).or_insert(snapshot);
            if snapshot.uptime_ms > held.uptime_ms {
                *held = snapshot;
            }
        }
        let sources: Vec<Source> = used.values().map(|s| Source::new(s, now_ms)).collect();
        let mut lines = Vec::new();
        for (name, account) in &config.accounts {
            for objective in &account.objectives {
                let counts: Vec<&Counts> = used
                    .values()
                    .flat_map(|snapshot| &snapshot.series)
                    .filter(|counts| counts.account == *name && matches(counts, objective))
                    .collect();
                lines.push(Line::new(name, objective, &counts, now_ms));
            }
        }
        let remarks = remarks(&sources, &lines, snapshots.len());
        Report {
            at_ms: now_ms,
            number: config.number,
            sources,
            remarks,
            lines,
        }
    }

    /// Adds a remark for each instance whose counts could not be obtained.
    pub fn without(mut self, missing: impl IntoIterator<Item = impl AsRef<str>>) -> Report {
        for name in missing {
            let name = name.as_ref();
            self.remarks.push(format!(
                "no counts from {name}: it did not answer; its events are not in this report"
            ));
        }
        self
    }

    /// Returns the report as a text table.
    pub fn text(&self) -> String {
        text::render(self)
    }

    /// Returns the report as JSON.
    pub fn json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }

    /// Returns the report as an HTML page that refers to no other file.
    pub fn page(&self) -> String {
        page::render(self)
    }
}

fn matches(counts: &Counts, objective: &Objective) -> bool {
    counts.class == objective.class
        && counts.measure == objective.measure
        && counts.within_ms == objective.within_ms
}

fn remarks(sources: &[Source], lines: &[Line], snapshots: usize) -> Vec<String> {
    let mut remarks = Vec::new();
    if sources.is_empty() {
        remarks.push("no instance delivered counts".to_owned());
    } else {
        remarks.push(
            "counters live in the memory of each instance; the events before a restart of an \
             instance are not in this report"
                .to_owned(),
        );
    }
    if snapshots > sources.len() {
        remarks.push(format!(
            "{} further snapshots of the same instances were left out",
            snapshots - sources.len()
        ));
    }
    if lines.is_empty() {
        remarks.push(
            "the configuration has no objectives; add `objectives` to an account in a note"
                .to_owned(),
        );
    }
    for source in sources {
        source.remarks(&mut remarks);
    }
    remarks
}
