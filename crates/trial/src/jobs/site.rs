use model::{
    account::{Account, Guarantee},
    config::Config,
    note::Note,
    place::Site,
    shape::{Adjacency, Shape},
    worker::Worker,
};

/// Accelerators of a worker.
pub const ACCELERATORS: u16 = 8;

/// Workers of a rack.
pub const RACK: usize = 8;

/// Data centres with two racks each.
const CENTRES: [(&str, &str); 3] = [("west", "a"), ("west", "b"), ("east", "a")];

/// The 48 workers of a deployment.
pub fn workers() -> Vec<Worker> {
    let mut workers = Vec::new();
    for (region, centre) in CENTRES {
        for rack in 0..2 {
            for index in 0..RACK {
                workers.push(Worker {
                    name: format!("{region}-{centre}-{rack}-{index}"),
                    site: Site {
                        region: region.into(),
                        data_centre: centre.into(),
                    },
                    rack: format!("r{rack}"),
                    accelerators: ACCELERATORS,
                    cpus: 32,
                    memory_mb: 64 * 1024,
                    address: "127.0.0.1:1".into(),
                });
            }
        }
    }
    workers
}

/// A shape whose processors and memory follow its accelerators.
pub fn shape(tasks: u16, accelerators: u16, adjacency: Adjacency) -> Shape {
    Shape {
        tasks,
        accelerators,
        cpus: accelerators * 4,
        memory_mb: u32::from(accelerators) * 8 * 1024,
        adjacency,
    }
}

/// Names of the accounts, with their share of the arrivals in percent.
pub const ACCOUNTS: [(&str, u32); 4] = [("north", 45), ("south", 35), ("inner", 12), ("outer", 8)];

/// The guaranteed shape of an account.
pub fn guaranteed(account: &str) -> Shape {
    match account {
        "north" => shape(4, 8, Adjacency::Rack),
        "south" => shape(2, 8, Adjacency::Rack),
        "inner" => shape(1, 8, Adjacency::Worker),
        _ => shape(4, 2, Adjacency::DataCentre),
    }
}

/// Four accounts, two of them large, each with a guarantee.
pub fn config() -> Config {
    let mut note = Note {
        summary: "accounts".into(),
        ..Note::default()
    };
    for (name, weight) in ACCOUNTS {
        let (places, place): (&[&str], _) = match name {
            "north" => (&["west"], "west"),
            "south" => (&["west", "east"], "west"),
            "inner" => (&["west/a"], "west/a"),
            _ => (&["east"], "east"),
        };
        let parse = |text: &str| text.parse().ok();
        let Some(place) = parse(place) else {
            continue;
        };
        let guarantee = Guarantee {
            shape: guaranteed(name),
            count: 1,
            place,
        };
        let account = Account {
            places: places.iter().filter_map(|text| parse(text)).collect(),
            weight,
            quota: (name == "outer").then_some(64),
            guarantees: [("gang".to_owned(), guarantee)].into_iter().collect(),
            objectives: Vec::new(),
        };
        note.add.insert(name.into(), account);
    }
    Config::default().apply(&note).unwrap_or_default()
}
