use {
    super::Fault,
    crate::{
        account::Account,
        note::{Change, Note, Withdrawal},
        place,
        shape::Shape,
    },
    indexmap::IndexMap,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// The configuration under one number.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Config {
    /// Counts accepted notes; 0 before the first.
    pub number: u64,
    /// Client accounts by name.
    pub accounts: IndexMap<String, Account>,
    /// Home region of each account: the region whose group keeps its jobs and claims by default.
    #[serde(default)]
    pub homes: IndexMap<String, String>,
}

impl Config {
    /// Returns the configuration that follows this one when `note` is accepted, or every reason against it.
    pub fn apply(&self, note: &Note) -> Result<Config, Vec<Fault>> {
        let mut next = self.clone();
        next.number += 1;
        let mut faults = Vec::new();
        next.withdraw(&note.withdraw, &mut faults);
        for (name, account) in &note.add {
            if next.accounts.contains_key(name) {
                faults.push(Fault::Exists(name.clone()));
            } else {
                next.accounts.insert(name.clone(), account.clone());
            }
        }
        for (name, change) in &note.change {
            match next.accounts.get_mut(name) {
                Some(account) => merge(account, change),
                None => faults.push(Fault::Missing(name.clone())),
            }
        }
        if note.summary.trim().is_empty() {
            faults.push(Fault::Value(
                "`summary` is empty; say what the note does".into(),
            ));
        }
        for name in note.add.keys().chain(note.change.keys()) {
            if let Some(account) = next.accounts.get(name) {
                check(name, account, &mut faults);
            }
        }
        for name in note.withdraw.places.keys() {
            if let (Some(account), false) =
                (next.accounts.get(name), note.change.contains_key(name))
            {
                check(name, account, &mut faults);
            }
        }
        next.settle_homes();
        if faults.is_empty() {
            Ok(next)
        } else {
            Err(faults)
        }
    }

    /// Gives each account without a permitted home the region of its first permitted place.
    fn settle_homes(&mut self) {
        let accounts = &self.accounts;
        self.homes.retain(|name, _| accounts.contains_key(name));
        for (name, account) in accounts {
            let permitted = |home: &String| account.places.iter().any(|p| p.region() == home);
            if self.homes.get(name).is_some_and(permitted) {
                continue;
            }
            if let Some(place) = account.places.first() {
                self.homes.insert(name.clone(), place.region().to_owned());
            }
        }
    }

    fn withdraw(&mut self, withdrawal: &Withdrawal, faults: &mut Vec<Fault>) {
        for name in &withdrawal.accounts {
            if self.accounts.shift_remove(name).is_none() {
                faults.push(Fault::Missing(name.clone()));
            }
        }
        for (name, guarantees) in &withdrawal.guarantees {
            let Some(account) = self.accounts.get_mut(name) else {
                faults.push(Fault::Missing(name.clone()));
                continue;
            };
            for guarantee in guarantees {
                if account.guarantees.shift_remove(guarantee).is_none() {
                    faults.push(Fault::NoGuarantee(name.clone(), guarantee.clone()));
                }
            }
        }
        for (name, places) in &withdrawal.places {
            let Some(account) = self.accounts.get_mut(name) else {
                faults.push(Fault::Missing(name.clone()));
                continue;
            };
            for place in places {
                let before = account.places.len();
                account.places.retain(|permitted| permitted != place);
                if account.places.len() == before {
                    faults.push(Fault::NoPlace(name.clone(), place.to_string()));
                }
            }
        }
    }
}

fn merge(account: &mut Account, change: &Change) {
    for place in &change.places {
        if !account.places.contains(place) {
            account.places.push(place.clone());
        }
    }
    if let Some(weight) = change.weight {
        account.weight = weight;
    }
    if let Some(quota) = change.quota {
        account.quota = Some(quota);
    }
    for (name, guarantee) in &change.guarantees {
        account.guarantees.insert(name.clone(), guarantee.clone());
    }
    if let Some(objectives) = &change.objectives {
        account.objectives = objectives.clone();
    }
}

fn check(name: &str, account: &Account, faults: &mut Vec<Fault>) {
    let mut value = |text: String| faults.push(Fault::Value(text));
    if !place::is_name(name) {
        value(format!(
            "`{name}` is not an account name; use 1 to 64 characters of a-z, 0-9 and `-`"
        ));
    }
    if account.places.is_empty() {
        value(format!(
            "client account `{name}` has no permitted place; list at least one"
        ));
    }
    if account.weight == 0 {
        value(format!("`{name}.weight` is 0; use 1 or more"));
    }
    for (id, guarantee) in &account.guarantees {
        if guarantee.count == 0 {
            value(format!(
                "`{name}.guarantees.{id}.count` is 0; withdraw the guarantee instead"
            ));
        }
        if !account
            .places
            .iter()
            .any(|place| place.covers(&guarantee.place))
        {
            value(format!(
                "`{name}.guarantees.{id}.place` is `{}`, outside the permitted places of the account",
                guarantee.place
            ));
        }
        let shape = &guarantee.shape;
        if !(1..=Shape::MAX_TASKS).contains(&shape.tasks) || shape.accelerators == 0 {
            value(format!(
                "`{name}.guarantees.{id}.shape` needs 1 to {} tasks of at least 1 accelerator",
                Shape::MAX_TASKS
            ));
        }
    }
    for (index, objective) in account.objectives.iter().enumerate() {
        let classes = objective.measure.classes();
        if !classes.contains(&objective.class.as_str()) {
            value(format!(
                "`{name}.objectives[{index}].class` is `{}`; this measure takes {}",
                objective.class,
                classes.join(", ")
            ));
        }
        if !(objective.target > 0.0 && objective.target < 1.0) {
            value(format!(
                "`{name}.objectives[{index}].target` must lie between 0 and 1"
            ));
        }
    }
}
