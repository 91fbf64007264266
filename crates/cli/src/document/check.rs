use {
    super::{Document, Fault, Outline, Severity},
    model::{
        account::{Account, Measure, Objective},
        config::{self, Config},
        note::Note,
        place::Place,
    },
};

/// Largest numbers of entries in one note.
const MAX_ACCOUNTS: usize = 1_000;
const MAX_PER_ACCOUNT: usize = 256;

/// Checks `note`, which was read from `document`, and returns every fault and warning.
///
/// With `base`, the configuration to which the note will be applied, all rules are checked. Without
/// it, accounts, places and guarantees that the note expects to exist are assumed to exist.
pub fn check(document: &Document, note: &Note, base: Option<&Config>) -> Vec<Fault> {
    let outline = &document.outline;
    let mut faults = counts(document, note);
    if faults.is_empty() {
        let assumed;
        let base = match base {
            Some(base) => base,
            None => {
                assumed = assume(note);
                &assumed
            }
        };
        if let Err(found) = base.apply(note) {
            faults.extend(
                found
                    .iter()
                    .map(|fault| document.fault(line_of(outline, fault), fault.to_string())),
            );
        }
    }
    warnings(document, note, &mut faults);
    faults.sort_by_key(|fault| fault.line);
    faults
}

fn counts(document: &Document, note: &Note) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut bound = |path: &[&str], count: usize, limit: usize| {
        if count > limit {
            faults.push(document.fault(
                document.outline.line(path),
                format!(
                    "`{}` has {count} entries; at most {limit} are accepted, so split the note",
                    path.join(".")
                ),
            ));
        }
    };
    bound(&["add"], note.add.len(), MAX_ACCOUNTS);
    bound(&["change"], note.change.len(), MAX_ACCOUNTS);
    for (name, account) in &note.add {
        bound(
            &["add", name, "guarantees"],
            account.guarantees.len(),
            MAX_PER_ACCOUNT,
        );
        bound(
            &["add", name, "objectives"],
            account.objectives.len(),
            MAX_PER_ACCOUNT,
        );
        bound(
            &["add", name, "places"],
            account.places.len(),
            MAX_PER_ACCOUNT,
        );
    }
    for (name, change) in &note.change {
        let objectives = change.objectives.as_ref().map_or(0, Vec::len);
        bound(
            &["change", name, "guarantees"],
            change.guarantees.len(),
            MAX_PER_ACCOUNT,
        );
        bound(&["change", name, "objectives"], objectives, MAX_PER_ACCOUNT);
        bound(
            &["change", name, "places"],
            change.places.len(),
            MAX_PER_ACCOUNT,
        );
    }
    faults
}

/// Returns a configuration that has what the note expects to exist.
fn assume(note: &Note) -> Config {
    let withdraw = &note.withdraw;
    let mut config = Config::default();
    let existing = note
        .change
        .keys()
        .filter(|name| !note.add.contains_key(*name))
        .chain(&withdraw.accounts)
        .chain(withdraw.guarantees.keys())
        .chain(withdraw.places.keys());
    for name in existing {
        config
            .accounts
            .entry(name.clone())
            .or_insert_with(|| Account {
                places: assumed_places(note, name),
                weight: 1,
                quota: None,
                guarantees: Default::default(),
                objectives: Vec::new(),
            });
    }
    for (name, guarantees) in &withdraw.guarantees {
        let Some(account) = config.accounts.get_mut(name) else {
            continue;
        };
        let Some(place) = account.places.first().cloned() else {
            continue;
        };
        for guarantee in guarantees {
            account
                .guarantees
                .insert(guarantee.clone(), assumed_guarantee(place.clone()));
        }
    }
    config
}

fn assumed_places(note: &Note, name: &str) -> Vec<Place> {
    let withdrawn = note.withdraw.places.get(name).into_iter().flatten();
    let used = note
        .change
        .get(name)
        .into_iter()
        .flat_map(|change| change.guarantees.values())
        .map(|guarantee| &guarantee.place);
    // The account may have places that the note does not name.
    let unnamed: Option<Place> = "unnamed".parse().ok();
    let mut places: Vec<Place> = unnamed.into_iter().collect();
    for place in withdrawn.chain(used) {
        if !places.contains(place) {
            places.push(place.clone());
        }
    }
    places
}

fn assumed_guarantee(place: Place) -> model::account::Guarantee {
    model::account::Guarantee {
        shape: model::shape::Shape {
            tasks: 1,
            accelerators: 1,
            cpus: 0,
            memory_mb: 0,
            adjacency: Default::default(),
        },
        count: 1,
        place,
    }
}

fn line_of(outline: &Outline, fault: &config::Fault) -> usize {
    match fault {
        config::Fault::Exists(name) => outline.line(&["add", name]),
        config::Fault::Missing(name) => [
            outline.has(&["change", name]).then_some(["change", name]),
            outline
                .has(&["withdraw", "guarantees", name])
                .then_some(["withdraw", "guarantees"]),
            outline
                .has(&["withdraw", "places", name])
                .then_some(["withdraw", "places"]),
        ]
        .into_iter()
        .flatten()
        .next()
        .map_or_else(
            || outline.line(&["withdraw", "accounts"]),
            |[first, second]| outline.line(&[first, second, name]),
        ),
        config::Fault::NoGuarantee(account, _) => {
            outline.line(&["withdraw", "guarantees", account])
        }
        config::Fault::NoPlace(account, _) => outline.line(&["withdraw", "places", account]),
        config::Fault::Value(text) => outline.line_of_text(text),
    }
}

/// Adds warnings about entries that are accepted but have no effect.
fn warnings(document: &Document, note: &Note, faults: &mut Vec<Fault>) {
    let mut warn = |path: &[&str], text: String| {
        faults.push(Fault {
            severity: Severity::Warning,
            ..document.fault(document.outline.line(path), text)
        });
    };
    let added = note
        .add
        .iter()
        .map(|(name, a)| ("add", name, &a.objectives));
    let changed = note
        .change
        .iter()
        .filter_map(|(name, c)| Some(("change", name, c.objectives.as_ref()?)));
    for (top, name, objectives) in added.chain(changed) {
        for (index, objective) in objectives.iter().enumerate() {
            if let Some(text) = idle(objective) {
                let index = index.to_string();
                warn(&[top, name, "objectives", &index], text);
            }
        }
    }
}

/// Returns why an objective never counts an event as good.
fn idle(objective: &Objective) -> Option<String> {
    (objective.within_ms == 0 && objective.measure != Measure::Admission).then(|| {
        "`within_ms` is 0, so no event can be good; give the bound in milliseconds".to_owned()
    })
}
