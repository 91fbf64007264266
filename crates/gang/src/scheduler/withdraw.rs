use {
    super::Scheduler,
    crate::{Decision, Reason, fault::Fault},
    model::{job::State, place::permits},
};

impl Scheduler {
    /// Proposes to reclaim jobs at sites that their account may no longer use, after a configuration
    /// change or a moved worker.
    pub(crate) fn reclaim_misplaced(&mut self, decisions: &mut Vec<Decision>) {
        if !std::mem::take(&mut self.recheck_places) || self.has_fault(Fault::KeepWithdrawn) {
            return;
        }
        let mut stop = Vec::new();
        for (id, record) in &self.jobs {
            if record.allocations.is_empty() || record.state == State::Stopping {
                continue;
            }
            if matches!(
                record.reclaim_reason,
                Some(Reason::PlaceWithdrawn { .. } | Reason::AccountNotConfigured { .. })
            ) {
                continue;
            }
            if let Some(reason) = self.withdrawal_reason(*id) {
                stop.push((*id, reason));
            }
        }
        for (id, reason) in stop {
            self.propose_reclaim(id, reason, decisions);
        }
    }

    /// Why a job may not stay where it runs; `None` if it may.
    fn withdrawal_reason(&self, id: u64) -> Option<Reason> {
        let record = self.jobs.get(&id)?;
        let name = &self.account_names[record.account as usize];
        let Some(account) = self.config.accounts.get(name) else {
            return Some(Reason::AccountNotConfigured {
                account: name.clone(),
            });
        };
        record.allocations.iter().find_map(|allocation| {
            let machine = self.fleet.machine(allocation.machine);
            let site = &machine.worker.site;
            (machine.known && !permits(account, site)).then(|| Reason::PlaceWithdrawn {
                site: site.to_string(),
            })
        })
    }

    /// Proposes to reclaim a job. If its placement is not committed yet, the places are checked again
    /// in a later cycle.
    pub(crate) fn propose_reclaim(
        &mut self,
        id: u64,
        reason: Reason,
        decisions: &mut Vec<Decision>,
    ) {
        if let Some(record) = self.jobs.get_mut(&id) {
            if record.state == State::Queued {
                self.recheck_places = true;
                return;
            }
            record.reclaim_reason = Some(reason.clone());
            self.pinned = None;
            decisions.push(Decision::Reclaim { job: id, reason });
        }
    }
}
