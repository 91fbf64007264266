use {
    super::{MS, Simulation},
    quorum::{Change, Event, Member},
    rand::RngExt,
};

/// Changes the membership of the group, one member at a time.
#[derive(Default)]
pub struct Operator {
    pub task: Option<Task>,
}

pub enum Task {
    /// Make the member a voter. It may replace one with the same id.
    Add(Member),
    /// Remove the voter, then add it again with the same disk.
    RemoveAndAdd(Member),
}

impl Simulation {
    /// Proposes the next change of the task to any replica that considers itself the leader.
    pub fn operator_step(&mut self) -> Result<(), String> {
        let members = self.oracle.members.1.clone();
        let change = match self.operator.task {
            None => return Ok(()),
            Some(Task::Add(member)) if members.voters.contains(&member) => {
                if !members.is_joint() {
                    self.operator.task = None;
                    self.stats.changes += 1;
                    // Sometimes a second member loses its disk right after the change.
                    let other = (member.id as usize) % self.replicas.len();
                    if self.time < self.faults_end && self.rng.random_bool(0.4) {
                        self.replace_disk(other);
                    }
                }
                return Ok(());
            }
            Some(Task::Add(member)) if members.is_learner(member) => Change::Promote(member),
            Some(Task::Add(member)) => Change::Join(member),
            Some(Task::RemoveAndAdd(member)) if members.is_voter(member) => Change::Remove(member),
            Some(Task::RemoveAndAdd(member)) => {
                self.operator.task = Some(Task::Add(member));
                Change::Join(member)
            }
        };
        let leaders: Vec<usize> = (0..self.replicas.len())
            .filter(|at| self.replicas[*at].leads())
            .collect();
        if leaders.is_empty() {
            return Ok(());
        }
        let at = leaders[self.rng.random_range(0..leaders.len())];
        if self.replicas[at].paused_until > self.time {
            return Ok(());
        }
        self.last_request_id += 1;
        let committed = self.committed(at);
        let before = self.voters(at);
        self.step(
            at,
            Event::ChangeMembers {
                request_id: self.last_request_id,
                change,
            },
        )?;
        let after = self.voters(at);
        let new = after.iter().find(|member| !before.contains(member));
        if let Some(member) = new {
            self.stats.promotions += 1;
            let disk = &self.replicas[member.id as usize - 1].disk.contents;
            if disk.incarnation != member.incarnation {
                return Err(format!("promoted a lost disk {member:?}"));
            }
            self.oracle.check_promoted(disk, committed)?;
        }
        Ok(())
    }

    fn committed(&self, at: usize) -> u64 {
        self.replicas[at]
            .node
            .as_ref()
            .map_or(0, |node| node.commit_index())
    }

    fn voters(&self, at: usize) -> Vec<Member> {
        self.replicas[at]
            .node
            .as_ref()
            .map_or(Vec::new(), |node| node.members().voters.clone())
    }

    /// Whether a disk may be lost now: the group has at least three voters and no change is in
    /// progress, which implies that an earlier lost disk has been replaced.
    pub fn may_lose_disk(&self) -> bool {
        let members = &self.oracle.members.1;
        self.operator.task.is_none() && !members.is_joint() && members.voters.len() >= 3
    }
}

/// Interval between the operator's steps, in virtual time.
pub const OPERATOR_INTERVAL: u64 = 150 * MS;
