//! Linearizability check for a compare-and-set register whose written values are unique.
//!
//! Unique values determine the order of the writes, so one pass computes the earliest time at which
//! each operation can take effect. A time after the end of the operation is a violation.

use std::collections::{BTreeMap, HashMap, HashSet};

/// Operation of a client, with the times of its call and its answer.
#[derive(Clone, Copy, Debug)]
pub struct Operation {
    pub start: u64,
    /// `u64::MAX` if the outcome is unknown.
    pub end: u64,
    pub action: Action,
}

#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// A compare-and-set that changed the value from `expected` to `new`.
    Write { expected: u64, new: u64 },
    /// A read, or a compare-and-set that failed, which found `value`.
    Found { value: u64 },
}

/// Checks a history in which the register starts with the value 0.
pub fn check(history: &[Operation]) -> Result<(), String> {
    let mut writes: HashMap<u64, (u64, &Operation)> = HashMap::new();
    let mut reads: HashMap<u64, Vec<&Operation>> = HashMap::new();
    let mut seen: Vec<u64> = Vec::new();
    for operation in history {
        match operation.action {
            Action::Write { expected, new } => {
                writes.insert(new, (expected, operation));
                if operation.end != u64::MAX {
                    seen.push(new);
                }
            }
            Action::Found { value } => {
                reads.entry(value).or_default().push(operation);
                seen.push(value);
            }
        }
    }
    // A write without an answer counts only if another operation has seen its value.
    let mut next: BTreeMap<u64, u64> = BTreeMap::new();
    let mut needed = HashSet::from([0]);
    while let Some(value) = seen.pop() {
        if needed.insert(value) {
            let (expected, _) = writes
                .get(&value)
                .ok_or_else(|| format!("value {value} was never written"))?;
            if let Some(other) = next.insert(*expected, value) {
                return Err(format!("{other} and {value} both replaced {expected}"));
            }
            seen.push(*expected);
        }
    }
    let (mut value, mut point, mut reached) = (0, 0, 1);
    loop {
        for operation in reads.get(&value).into_iter().flatten() {
            place(&mut point.clone(), operation)?;
        }
        let last = reads
            .get(&value)
            .into_iter()
            .flatten()
            .map(|operation| operation.start)
            .max();
        point = point.max(last.unwrap_or(0));
        let Some(following) = next.get(&value) else {
            break;
        };
        place(&mut point, writes[following].1)?;
        value = *following;
        reached += 1;
    }
    if reached == needed.len() {
        Ok(())
    } else {
        Err("the writes form a cycle".to_owned())
    }
}

/// Moves `point` to the earliest time at which the operation can take effect.
fn place(point: &mut u64, operation: &Operation) -> Result<(), String> {
    *point = (*point).max(operation.start);
    if *point > operation.end {
        return Err(format!(
            "{operation:?} must take effect at {point} or later"
        ));
    }
    Ok(())
}
