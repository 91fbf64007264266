use {
    super::{
        cluster::{CONTROLS, Cluster},
        judge::ZONE,
        proxy::Weather,
        upstream::{Departure, Link},
    },
    rand::{RngExt, rngs::StdRng},
    rustix::process::Signal,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Lets one fault begin. At most two control instances are harmed at a time, as the settings allow; the harm of the
/// last fault is undone first.
pub fn strike(cluster: &mut Cluster, rng: &mut StdRng) {
    cluster.mend();
    let pause = Duration::from_millis(rng.random_range(100..1500));
    let (first, second) = two(rng);
    let upstream = rng.random_range(0..cluster.upstreams.len());
    match rng.random_range(0..11) {
        0 => cluster.controls[first].end(Signal::KILL),
        1 => {
            cluster.controls[first].end(Signal::KILL);
            cluster.controls[second].end(Signal::KILL);
        }
        2 => cluster.controls[first].signal(Signal::STOP),
        3 => {
            cluster.controls[first].signal(Signal::STOP);
            cluster.controls[second].end(Signal::TERM);
        }
        4 => {
            cluster.controls[first].end(Signal::KILL);
            cluster.controls[first].wipe();
            cluster.controls[first].start();
            // The next loss may come once the new disk holds everything.
            thread::sleep(Duration::from_secs(5));
        }
        5 => {
            let entry = rng.random_range(0..cluster.entries.len());
            cluster.entries[entry].end(Signal::KILL);
        }
        6 => cluster.upstreams[upstream].proxy.set(weather(rng)),
        7 => {
            let front = rng.random_range(0..cluster.fronts.len());
            cluster.fronts[front].set(weather(rng));
        }
        8 => {
            for node in &mut cluster.controls {
                node.end(Signal::KILL);
            }
        }
        9 => cluster.evacuate(rng.random_range(0..2)),
        _ => {
            cluster.configure();
            cluster.read_configuration(first);
        }
    }
    thread::sleep(pause);
}

/// Longest time for which an upstream is down between two incarnations, in milliseconds.
const MAX_DOWN_MS: u64 = 800;

/// Lets the upstreams of a zone start again under their ids, once or several times, while calls to them are carried out
/// late, and cuts them off soon after; they may start again behind the cut. Control instances are killed or stand still
/// meanwhile.
pub fn restart_zone(cluster: &mut Cluster, rng: &mut StdRng) {
    let pause = |ms| thread::sleep(Duration::from_millis(ms));
    let zone = rng.random_range(0..cluster.upstreams.len() / ZONE) * ZONE;
    let zone = zone..zone + ZONE;
    let late_percent = rng.random_range(30..90);
    for link in &cluster.upstreams[zone.clone()] {
        link.upstream.delay_calls(late_percent);
    }
    pause(rng.random_range(500..3000));
    for _ in 0..rng.random_range(0..3) {
        restart(&cluster.upstreams[zone.clone()], Weather::Clear, rng);
        let (first, second) = two(rng);
        match rng.random_range(0..6) {
            0 => cluster.controls[first].end(Signal::KILL),
            1 => {
                cluster.controls[first].end(Signal::KILL);
                cluster.controls[second].signal(Signal::STOP);
            }
            _ => {}
        }
        pause(rng.random_range(50..2500));
    }
    let cut = match rng.random_range(0..2) {
        0 => Weather::CutThere,
        _ => Weather::CutBack,
    };
    for link in &cluster.upstreams[zone.clone()] {
        link.upstream.set_heard(false);
        link.proxy.set(cut);
    }
    pause(rng.random_range(200..3000));
    if rng.random_bool(0.7) {
        restart(&cluster.upstreams[zone.clone()], cut, rng);
    }
    for link in &cluster.upstreams[zone] {
        link.upstream.delay_calls(0);
    }
    pause(rng.random_range(3000..9000));
    cluster.mend();
    pause(rng.random_range(500..2000));
}

/// Lets the upstream with the most runs, and another one or not, drain, deregister and end. Some get no acknowledgement and go on
/// for a while. They start again under their ids. A control instance is killed meanwhile or not.
pub fn leave(cluster: &mut Cluster, rng: &mut StdRng) {
    let pause = |ms| thread::sleep(Duration::from_millis(ms));
    let count = cluster.upstreams.len();
    let runs = |number: &usize| cluster.upstreams[*number].upstream.count_runs();
    let first = (0..count).max_by_key(runs).unwrap();
    let mut leaving = vec![first];
    if rng.random_bool(0.3) {
        leaving.push((first + rng.random_range(1..count)) % count);
    }
    for number in &leaving {
        let drain = Duration::from_millis(rng.random_range(500..4000));
        cluster.upstreams[*number].upstream.depart(Departure {
            at: Instant::now() + drain,
            is_acknowledged: rng.random_bool(0.4),
            overtime: Duration::from_millis(rng.random_range(1000..4000)),
        });
    }
    if rng.random_bool(0.3) {
        pause(rng.random_range(100..3000));
        cluster.controls[rng.random_range(0..CONTROLS)].end(Signal::KILL);
    }
    while leaving
        .iter()
        .any(|number| cluster.upstreams[*number].upstream.is_up())
    {
        pause(20);
    }
    pause(rng.random_range(100..2000));
    for number in leaving {
        cluster.upstreams[number].upstream.restart();
    }
    cluster.mend();
    pause(rng.random_range(500..3000));
}

/// Lets upstreams start again under their ids; later connections to them fare as `weather` says.
fn restart(upstreams: &[Link], weather: Weather, rng: &mut StdRng) {
    for link in upstreams {
        link.proxy.set(Weather::Resets);
        link.upstream.crash();
    }
    thread::sleep(Duration::from_millis(rng.random_range(100..MAX_DOWN_MS)));
    for link in upstreams {
        link.proxy.set(weather);
        link.upstream.restart();
    }
}

fn two(rng: &mut StdRng) -> (usize, usize) {
    let first = rng.random_range(0..CONTROLS);
    (first, (first + rng.random_range(1..CONTROLS)) % CONTROLS)
}

fn weather(rng: &mut StdRng) -> Weather {
    match rng.random_range(0..4) {
        0 => Weather::Delayed(rng.random_range(20..800)),
        1 => Weather::CutThere,
        2 => Weather::CutBack,
        _ => Weather::Resets,
    }
}
