use {
    super::Scheduler,
    crate::{
        fleet::{Filter, pack},
        record::Phase,
    },
    model::{
        job::State,
        shape::{Adjacency, Shape},
    },
};

impl Scheduler {
    /// Says in one line what a job waits for, with the blocking rule and what would unblock it; none
    /// for a job that has ended or was never seen.
    pub fn explain(&self, job: u64) -> Option<String> {
        let record = self.jobs.get(&job)?;
        let name = self.names.get_index(record.account as usize)?;
        if record.cancelled {
            return Some("cancelled; ends as soon as every task has stopped".into());
        }
        match record.state {
            State::Queued => {}
            State::Placed | State::Starting => {
                return Some("has a place; starts as soon as every worker has answered".into());
            }
            State::Stopping => {
                return Some(
                    "is being stopped; queued again or ended when every task has stopped".into(),
                );
            }
            _ => return Some("runs; nothing to wait for".into()),
        }
        match record.phase {
            Phase::Proposed => return Some("a place was proposed; waits for the commit".into()),
            Phase::Failing => return Some("its end was proposed; waits for the commit".into()),
            Phase::Waiting(_) => {
                return Some(format!(
                    "backoff after attempt {} of {}; tried again by itself",
                    record.starts, record.bound
                ));
            }
            _ => {}
        }
        let Some(account) = self.config.accounts.get(name) else {
            return Some(format!(
                "client account `{name}` is not in the configuration; add it"
            ));
        };
        let centres = self.centres(name, record.place.as_ref());
        if let Err(reason) = self.can_hold(&centres, &record.shape) {
            return Some(reason);
        }
        let held = self.ledgers[record.account as usize].held;
        let need = record.accelerators();
        if let Some(quota) = account.quota
            && held + need > quota
        {
            return Some(format!(
                "quota: `{name}` holds {held} of {quota} accelerators and the job needs {need}; end other work or raise the quota"
            ));
        }
        let filter = Filter {
            centres: &centres,
            avoid: &record.failed_on,
        };
        let view = self.view();
        let free: u32 = view
            .0
            .iter()
            .zip(self.fleet.machines())
            .filter(|(_, machine)| centres.get(machine.centre).is_some_and(|ok| *ok))
            .map(|(space, _)| space.mask.len())
            .sum();
        if pack(&self.fleet, &view, &record.shape, filter).is_some() {
            return Some("order: a place is free; jobs before it are served first".into());
        }
        Some(match free >= need {
            true => format!(
                "adjacency: {free} accelerators are free but not {need} together as asked; waits for a place of {}",
                describe(&record.shape)
            ),
            false => format!(
                "capacity: {free} accelerators are free in the permitted places and the job needs {need}; waits for running work to end"
            ),
        })
    }

    /// Tells whether known workers in these data centres could hold `shape` if nothing else ran.
    pub(crate) fn can_hold(&self, centres: &[bool], shape: &Shape) -> Result<(), String> {
        if !centres.iter().any(|permitted| *permitted) {
            return Err("place: no known worker stands in a permitted place; permit another place or wait for workers".into());
        }
        let room = self.fleet.empty_room(|machine| machine.known);
        let filter = Filter {
            centres,
            avoid: &[],
        };
        match pack(&self.fleet, &room, shape, filter) {
            Some(_) => Ok(()),
            None => Err(format!(
                "shape: no known {} in the permitted places can hold {}; submit a smaller shape",
                match shape.adjacency {
                    Adjacency::Worker => "worker",
                    Adjacency::Rack => "rack",
                    Adjacency::DataCentre => "data centre",
                },
                describe(shape)
            )),
        }
    }
}

fn describe(shape: &Shape) -> String {
    let within = match shape.adjacency {
        Adjacency::Worker => "one worker",
        Adjacency::Rack => "one rack",
        Adjacency::DataCentre => "one data centre",
    };
    format!(
        "{} tasks of {} adjacent accelerators, {} processors and {} MB within {within}",
        shape.tasks, shape.accelerators, shape.cpus, shape.memory_mb
    )
}
