use {
    super::{Arguments, Error},
    control::group::{Held, Recovery},
    quorum::Member,
    settings::Settings,
};

/// Prints what the replica holds and, if the loss is accepted, makes it the only member of its group.
pub fn recover(settings: &Settings, arguments: &Arguments) -> Result<(), Error> {
    let group = arguments.group.as_str();
    let data = settings.data.as_ref().ok_or(Error::NoFolder)?;
    if !settings.own_groups().any(|own| own == group) {
        return Err(Error::NoGroup(group.to_owned()));
    }
    // Opening would create a folder that does not exist; a mistyped path must leave nothing behind.
    if !data.folder.join(group).is_dir() {
        return Err(Error::Empty(data.folder.clone()));
    }
    let folder = disk::Folder::open(&data.folder)?;
    let recovery = Recovery::open(&folder, group, settings.instance.id)?;
    print(settings, group, recovery.held());
    if recovery.held().last_index == 0 {
        return Err(Error::NothingHeld(group.to_owned()));
    }
    if !arguments.accept_loss {
        return Err(Error::NotAccepted);
    }
    recovery.rewrite()?;
    println!("recovered: this replica is now the only member of the group; start the instance");
    Ok(())
}

fn print(settings: &Settings, group: &str, held: &Held) {
    let name = |member: &Member| {
        let name = settings.member(member.id).map_or("?", |(name, _)| name);
        format!("{name} (disk {:016x})", member.incarnation)
    };
    let names = |members: &[Member]| {
        let names: Vec<String> = members.iter().map(name).collect();
        names.join(", ")
    };
    println!("group: {group}");
    println!("replica: {}", name(&held.member));
    println!("last index: {}", held.last_index);
    println!("last term: {}", held.last_term);
    println!("term reached: {}", held.term);
    println!("voters: {}", names(&held.members.voters));
    if held.members.is_joint() {
        println!("voters being replaced: {}", names(&held.members.outgoing));
    }
    if !held.members.learners.is_empty() {
        println!("learners: {}", names(&held.members.learners));
    }
    if !held.members.is_voter(held.member) {
        println!(
            "warning: this replica is no voter of its group and may lack acknowledged entries"
        );
    }
    println!("notes number: {}", held.number);
    println!("open jobs: {}", held.open_jobs);
    println!("claims: {}", held.claims);
}
