use {
    super::world::{World, is_forced, job_of},
    gang::{Cause, Decision, GuaranteedPlacement, Reason, Scheduler},
    model::{
        job::{Job, Member, State},
        place::permits,
        shape::{Adjacency, Shape},
    },
    std::collections::{BTreeMap, BTreeSet},
};

pub type Check = Result<(), String>;

macro_rules! ensure {
    ($holds:expr, $($text:tt)*) => {
        if !$holds {
            return Err(format!($($text)*));
        }
    };
}

pub(crate) use ensure;

/// Lets the scheduler decide once and checks every proposal and the state after it.
pub fn decide(world: &mut World) -> Check {
    let before = world.scheduler.clone();
    let decisions = world.scheduler.decide(world.now);
    for decision in &decisions {
        check_decision(world, &before, decision)?;
        match decision {
            Decision::Quarantine { worker } => {
                if let Some(machine) = world.machines.get_mut(worker) {
                    machine.quarantined = true;
                    machine.failed.clear();
                }
            }
            Decision::Reclaim { job, .. } => {
                world.asked.insert(*job);
                world.flight.push(decision.clone());
            }
            _ => world.flight.push(decision.clone()),
        }
    }
    check_state(world)
}

/// What each job holds: by committed attempts and by proposals in flight.
pub fn held(world: &World) -> BTreeMap<u64, Vec<Member>> {
    let mut held = BTreeMap::new();
    for job in world.jobs.values().filter(|job| job.state.holds()) {
        if let Some(attempt) = &job.attempt {
            held.insert(job.id, attempt.members.clone());
        }
    }
    for decision in &world.flight {
        if let Decision::Place { job, members, .. } = decision
            && world.jobs[job].state == State::Queued
        {
            held.insert(*job, members.clone());
        }
    }
    held
}

fn accelerators(members: &[Member]) -> usize {
    members.iter().map(|member| member.accelerators.len()).sum()
}

fn starts_with_current(job: &Job) -> u32 {
    job.starts + u32::from(matches!(job.state, State::Queued | State::Placed))
}

pub fn is_stoppable(job: &Job) -> bool {
    job.spec.repeatable && starts_with_current(job) < job.spec.max_attempts
}

fn check_decision(world: &World, before: &Scheduler, decision: &Decision) -> Check {
    let Some(id) = job_of(decision) else {
        return check_worker(world, decision);
    };
    let job = &world.jobs[&id];
    match decision {
        Decision::Place {
            members, borrowed, ..
        } => {
            ensure!(
                job.state == State::Queued,
                "job {id} is placed in {:?}",
                job.state
            );
            ensure!(!job.cancelled, "cancelled job {id} is placed");
            let bound = if job.spec.repeatable {
                job.spec.max_attempts.max(1)
            } else {
                1
            };
            ensure!(
                job.starts < bound,
                "job {id} starts more often than {bound}"
            );
            check_members(world, job, members)?;
            check_quota(world, job)?;
            check_borrowing(world, job, members, *borrowed)?;
            check_reserved(world, before, job, members, *borrowed)
        }
        Decision::Reclaim { reason, .. } if !is_forced(reason) => {
            ensure!(
                matches!(job.state, State::Placed | State::Starting | State::Running),
                "job {id} is reclaimed in {:?}",
                job.state
            );
            ensure!(
                is_stoppable(job),
                "job {id} may not run again but is reclaimed"
            );
            // An account's claim may displace its own less urgent or smaller work under a guarantee.
            let own = match reason {
                Reason::Claim { job: claimant } => {
                    let spec = &world.jobs[claimant].spec;
                    spec.account == job.spec.account && spec.class <= job.spec.class
                }
                _ => false,
            };
            let counted = before
                .guaranteed_placements()
                .iter()
                .any(|set| set.job == Some(id));
            ensure!(
                job.borrowed || own || !counted,
                "guaranteed job {id} is reclaimed"
            );
            Ok(())
        }
        _ => Ok(()),
    }
}

fn check_worker(world: &World, decision: &Decision) -> Check {
    if let Decision::Quarantine { worker } = decision {
        let machine = &world.machines[worker];
        let elsewhere = machine.failed.iter().filter(|id| {
            let job = &world.jobs[id];
            let mut members = job.attempt.iter().flat_map(|attempt| &attempt.members);
            matches!(job.state, State::Done | State::Running)
                && members.all(|member| member.worker != *worker)
        });
        let count = elsewhere.count();
        ensure!(
            count >= 3,
            "{worker} is quarantined for {count} jobs that run elsewhere"
        );
    }
    Ok(())
}

/// All or nothing, adjacency, place, service, capacity, and nothing held twice.
fn check_members(world: &World, job: &Job, members: &[Member]) -> Check {
    let id = job.id;
    let shape = &job.spec.shape;
    check_gang(world, shape, members).map_err(|fault| format!("job {id}: {fault}"))?;
    let account = &world.config.accounts[&job.spec.account];
    for member in members {
        let machine = &world.machines[&member.worker];
        ensure!(
            machine.in_service(),
            "job {id} is placed on {}, not in service",
            member.worker
        );
        ensure!(
            permits(account, &machine.worker.site),
            "job {id} is placed outside its places"
        );
    }
    let held = held(world);
    ensure!(!held.contains_key(&id), "job {id} has a place already");
    for (other, taken) in &held {
        ensure!(
            !meet(taken, members),
            "jobs {other} and {id} hold the same accelerator"
        );
    }
    Ok(())
}

fn check_gang(world: &World, shape: &Shape, members: &[Member]) -> Check {
    ensure!(
        members.len() == usize::from(shape.tasks),
        "{} of {} tasks",
        members.len(),
        shape.tasks
    );
    let mut own = BTreeSet::new();
    for member in members {
        let list = &member.accelerators;
        ensure!(
            list.len() == usize::from(shape.accelerators),
            "wrong number of accelerators"
        );
        ensure!(
            list.windows(2).all(|pair| pair[1] == pair[0] + 1),
            "accelerators not adjacent"
        );
        let count = world.machines[&member.worker].worker.accelerators;
        for index in list {
            ensure!(*index < count, "accelerator {index} does not exist");
            ensure!(
                own.insert((&member.worker, *index)),
                "an accelerator is used twice"
            );
        }
    }
    let sites: BTreeSet<_> = members
        .iter()
        .map(|member| &world.machines[&member.worker].worker)
        .map(|worker| match shape.adjacency {
            Adjacency::Worker => (&worker.site, worker.rack.as_str(), worker.name.as_str()),
            Adjacency::Rack => (&worker.site, worker.rack.as_str(), ""),
            Adjacency::DataCentre => (&worker.site, "", ""),
        })
        .collect();
    ensure!(sites.len() == 1, "adjacency {:?} broken", shape.adjacency);
    Ok(())
}

fn meet(a: &[Member], b: &[Member]) -> bool {
    a.iter().any(|a| {
        b.iter().any(|b| {
            a.worker == b.worker && a.accelerators.iter().any(|i| b.accelerators.contains(i))
        })
    })
}

fn check_quota(world: &World, job: &Job) -> Check {
    let Some(quota) = world.config.accounts[&job.spec.account].quota else {
        return Ok(());
    };
    let sum: usize = held(world)
        .iter()
        .filter(|(other, _)| world.jobs[other].spec.account == job.spec.account)
        .map(|(_, members)| accelerators(members))
        .sum();
    let total = sum as u32 + job.spec.shape.total_accelerators();
    ensure!(
        total <= quota,
        "`{}` holds {total} of {quota}",
        job.spec.account
    );
    Ok(())
}

/// No new borrowing where a guarantee is owed for want of capacity.
fn check_borrowing(world: &World, job: &Job, members: &[Member], borrowed: bool) -> Check {
    for owed in world.scheduler.shortfalls().iter().filter(|_| borrowed) {
        let capacity = matches!(
            owed.cause,
            Cause::NoWorker | Cause::ShapeTooLarge | Cause::InsufficientCapacity
        );
        for member in members.iter().filter(|_| capacity) {
            let site = &world.machines[&member.worker].worker.site;
            ensure!(
                !owed.place.contains(site),
                "job {} borrows at {site}; {owed}",
                job.id
            );
        }
    }
    Ok(())
}

/// A reservation that is still there keeps out work that cannot be stopped.
fn check_reserved(
    world: &World,
    before: &Scheduler,
    job: &Job,
    members: &[Member],
    borrowed: bool,
) -> Check {
    let after = world.scheduler.reservations();
    if is_stoppable(job) || !borrowed {
        return Ok(());
    }
    for (other, since, place) in before.reservations() {
        let free = other == job.id
            || !after.contains(&(other, since, place.clone()))
            || !meet(&place, members);
        ensure!(
            free,
            "job {} cannot be stopped and takes the reservation of {other}",
            job.id
        );
    }
    Ok(())
}

fn check_state(world: &World) -> Check {
    for job in world.jobs.values() {
        let known = world.scheduler.explain(job.id);
        ensure!(
            known.is_some() != job.state.is_end(),
            "job {} in {:?} is explained as {known:?}",
            job.id,
            job.state
        );
        check_withdrawn(world, job)?;
    }
    check_proof(world)
}

fn check_withdrawn(world: &World, job: &Job) -> Check {
    if !matches!(job.state, State::Placed | State::Starting | State::Running)
        || world.asked.contains(&job.id)
    {
        return Ok(());
    }
    let account = world.config.accounts.get(&job.spec.account);
    for member in job.attempt.iter().flat_map(|attempt| &attempt.members) {
        // A new leader learns the site of a silent worker from its next announcement only.
        if !world.heard.contains(&member.worker) {
            continue;
        }
        let site = &world.machines[&member.worker].worker.site;
        let permitted = account.is_some_and(|account| permits(account, site));
        ensure!(
            permitted,
            "job {} stays at {site}, which is withdrawn",
            job.id
        );
    }
    Ok(())
}

/// Every guaranteed gang has a valid set of its own or is reported as owed.
fn check_proof(world: &World) -> Check {
    let sets = world.scheduler.guaranteed_placements();
    let held = held(world);
    let counted: BTreeSet<_> = sets.iter().filter_map(|set| set.job).collect();
    for (name, account) in &world.config.accounts {
        for (id, guarantee) in &account.guarantees {
            let own = |set: &&GuaranteedPlacement| set.account == *name && set.guarantee == *id;
            let proved = sets.iter().filter(own).count();
            let owed: u16 = world
                .scheduler
                .shortfalls()
                .iter()
                .filter(|owed| owed.account == *name && owed.guarantee == *id)
                .filter(|owed| owed.cause != Cause::QuotaTooLow)
                .map(|owed| owed.missing)
                .sum();
            ensure!(
                proved + usize::from(owed) == usize::from(guarantee.count),
                "`{name}.{id}`: {proved} proved and {owed} owed of {}",
                guarantee.count
            );
            for set in sets.iter().filter(own) {
                let text = |fault| format!("proof of `{name}.{id}`: {fault}");
                check_gang(world, &guarantee.shape, &set.members).map_err(text)?;
                for member in &set.members {
                    let machine = &world.machines[&member.worker];
                    ensure!(machine.in_service(), "proof uses {}", member.worker);
                    let site = &machine.worker.site;
                    ensure!(permits(account, site), "proof outside the permitted places");
                    ensure!(guarantee.place.contains(site), "proof outside its place");
                }
                for (other, members) in &held {
                    let job = &world.jobs[other];
                    let ending = job.state == State::Stopping || world.asked.contains(other);
                    let gives_way = is_stoppable(job) && !counted.contains(other);
                    ensure!(
                        set.job == Some(*other)
                            || ending
                            || gives_way
                            || !meet(members, &set.members),
                        "the set of `{name}.{id}` is held by job {other}, which cannot be stopped"
                    );
                }
            }
        }
    }
    check_disjoint(world, &sets, &held)
}

/// Sets share nothing, and with firm work they do not exceed any worker.
fn check_disjoint(
    world: &World,
    sets: &[GuaranteedPlacement],
    held: &BTreeMap<u64, Vec<Member>>,
) -> Check {
    for (index, set) in sets.iter().enumerate() {
        for other in &sets[..index] {
            ensure!(
                !meet(&set.members, &other.members),
                "two sets share an accelerator: {set:?} {other:?}"
            );
        }
    }
    let mut load: BTreeMap<String, (u32, u32)> = BTreeMap::new();
    let mut add = |members: &[Member], shape: &Shape| {
        for member in members {
            let entry = load.entry(member.worker.clone()).or_default();
            entry.0 += u32::from(shape.cpus);
            entry.1 += shape.memory_mb;
        }
    };
    for set in sets {
        let guarantee = &world.config.accounts[&set.account].guarantees[&set.guarantee];
        add(&set.members, &guarantee.shape);
    }
    for (id, members) in held {
        let job = &world.jobs[id];
        let own = sets.iter().any(|set| set.job == Some(*id));
        let ending = job.state == State::Stopping || world.asked.contains(id);
        if !own && !ending && !is_stoppable(job) {
            add(members, &job.spec.shape);
        }
    }
    for (name, (cpus, memory_mb)) in load {
        let worker = &world.machines[&name].worker;
        let fits = cpus <= u32::from(worker.cpus) && memory_mb <= worker.memory_mb;
        ensure!(
            fits,
            "guarantees and firm work need more processors or memory than {name} has"
        );
    }
    Ok(())
}
