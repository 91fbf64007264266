use {
    super::Scheduler,
    crate::{Decision, Reason, fault::Fault},
    model::{job::State, place::permits},
};

impl Scheduler {
    /// Stops work that is where its account may no longer be, after a note or a moved worker.
    pub(crate) fn withdraw(&mut self, out: &mut Vec<Decision>) {
        if !std::mem::take(&mut self.recheck) || self.has_fault(Fault::KeepWithdrawn) {
            return;
        }
        let mut stop = Vec::new();
        for (id, record) in &self.jobs {
            if record.parts.is_empty() || record.state == State::Stopping {
                continue;
            }
            if matches!(
                record.asked,
                Some(Reason::PlaceWithdrawn { .. } | Reason::AccountNotConfigured { .. })
            ) {
                continue;
            }
            if let Some(reason) = self.misplaced(*id) {
                stop.push((*id, reason));
            }
        }
        for (id, reason) in stop {
            self.reclaim(id, reason, out);
        }
    }

    /// Why a job may not stay where it is, if it may not.
    fn misplaced(&self, id: u64) -> Option<Reason> {
        let record = self.jobs.get(&id)?;
        let name = &self.names[record.account as usize];
        let Some(account) = self.config.accounts.get(name) else {
            return Some(Reason::AccountNotConfigured {
                account: name.clone(),
            });
        };
        record.parts.iter().find_map(|part| {
            let machine = self.fleet.machine(part.machine);
            let site = &machine.worker.site;
            (machine.known && !permits(account, site)).then(|| Reason::PlaceWithdrawn {
                site: site.to_string(),
            })
        })
    }

    /// Proposes to stop a job. A placement that is only proposed is left to its commit and stopped
    /// then.
    pub(crate) fn reclaim(&mut self, id: u64, reason: Reason, out: &mut Vec<Decision>) {
        if let Some(record) = self.jobs.get_mut(&id) {
            if record.state == State::Queued {
                self.recheck = true;
                return;
            }
            record.asked = Some(reason.clone());
            self.firm = None;
            out.push(Decision::Reclaim { job: id, reason });
        }
    }
}
