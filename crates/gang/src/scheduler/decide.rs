use {
    super::Scheduler,
    crate::{
        Decision, Reason,
        fleet::{Filter, Room, pack},
        record::Phase,
    },
    model::job::State,
    std::time::Instant,
};

impl Scheduler {
    /// Returns the proposals for the present state; call it again while it returns any.
    pub fn decide(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.pending);
        while let Some(id) = self.queue.due(now) {
            self.enqueue(id);
        }
        let mut heads: Vec<_> = self
            .queue
            .heads()
            .map(|(account, class, _, key)| (class, self.ledgers[account as usize].served, key))
            .collect();
        heads.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let mut view = self.view();
        for (_, _, key) in heads {
            let mut next = Some(key);
            while let Some(key) = next {
                if decisions.len() >= self.settings.tries {
                    return decisions;
                }
                let Some(record) = self.jobs.get(&key.1) else {
                    break;
                };
                let (account, class, shape) = (record.account, record.class, record.shape.clone());
                match self.try_place(key.1, &mut view, now) {
                    Some(decision) => decisions.push(decision),
                    None => break,
                }
                next = self.queue.after(account, class, &shape, key);
            }
        }
        decisions
    }

    fn try_place(&mut self, id: u64, view: &mut Room, now: Instant) -> Option<Decision> {
        let record = self.jobs.get(&id)?;
        let name = self.names.get_index(record.account as usize)?;
        let Some(account) = self.config.accounts.get(name) else {
            let reason = Reason::AccountEnded {
                account: name.clone(),
            };
            return self.fail(id, reason);
        };
        if record.starts >= record.bound {
            let reason = Reason::Attempts {
                starts: record.starts,
                bound: record.bound,
            };
            return self.fail(id, reason);
        }
        let held = self.ledgers[record.account as usize].held;
        if account
            .quota
            .is_some_and(|quota| held + record.accelerators() > quota)
        {
            return None;
        }
        let centres = self.centres(name, record.place.as_ref());
        let filter = Filter {
            centres: &centres,
            avoid: &record.failed_on,
        };
        let parts = pack(&self.fleet, view, &record.shape, filter)?;
        for part in &parts {
            view.hold(part);
        }
        let members = self.members(&parts);
        self.dequeue(id);
        self.hold(id, parts, Phase::Proposed, now);
        let record = self.jobs.get_mut(&id)?;
        record.borrowed = true;
        Some(Decision::Place {
            job: id,
            members,
            borrowed: true,
        })
    }

    fn fail(&mut self, id: u64, reason: Reason) -> Option<Decision> {
        self.dequeue(id);
        let record = self.jobs.get_mut(&id)?;
        debug_assert_eq!(record.state, State::Queued);
        record.phase = Phase::Failing;
        Some(Decision::Fail { job: id, reason })
    }
}
