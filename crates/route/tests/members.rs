//! Fuzzing of the gossip: 3 s after an upstream falls silent or departs, no instance sends it new requests.
//! Without losses, every instance knows every upstream.

mod common;

use {
    common::{Network, check, ms, rng},
    model::{
        place::Site,
        upstream::{Announcement, Upstream},
    },
    rand::{RngExt, rngs::StdRng},
    route::member::{Delta, EXPIRY, Members, Peer},
    std::time::Instant,
};

fn upstream(index: usize) -> Upstream {
    Upstream {
        name: format!("u{index}"),
        service: "fit".into(),
        site: Site {
            region: "north".into(),
            data_centre: "a".into(),
        },
        address: format!("127.0.0.1:{}", 9000 + index),
        slots: 8,
        connections: 64,
    }
}

fn peers() -> Vec<Peer> {
    [
        (1, "north"),
        (2, "north"),
        (3, "north"),
        (4, "south"),
        (5, "south"),
    ]
    .into_iter()
    .map(|(id, region)| Peer {
        id,
        region: region.into(),
    })
    .collect()
}

struct World {
    rng: StdRng,
    now: Instant,
    members: Vec<Members>,
    network: Network<(usize, Delta)>,
    /// Per upstream: sequence, last announcement or departure, whether it departed.
    upstreams: Vec<(u64, Instant, bool)>,
    bytes: usize,
}

impl World {
    fn new(seed: u64, upstreams: usize) -> World {
        let mut rng = rng(seed);
        let now = Instant::now();
        let peers = peers();
        let members = peers
            .iter()
            .map(|peer| {
                let mut members = Members::new(peer.id, &peer.region);
                members.set_peers(&peers);
                members
            })
            .collect();
        let network = Network::new(&mut rng);
        let upstreams = vec![(1, now, false); upstreams];
        World {
            rng,
            now,
            members,
            network,
            upstreams,
            bytes: 0,
        }
    }

    fn step(&mut self, step: u64) {
        self.now += ms(100);
        let now = self.now;
        for index in 0..self.members.len() {
            if step % 5 == index as u64 {
                for (to, delta) in self.members[index].messages(now) {
                    self.bytes += serde_json::to_vec(&delta).map_or(0, |bytes| bytes.len());
                    self.network
                        .send(&mut self.rng, (to as usize - 1, delta), now);
                }
            }
        }
        for (to, delta) in self.network.take_arrived(now) {
            self.members[to].receive(delta, now);
        }
    }

    fn announce(&mut self, index: usize) {
        let (sequence, at, departed) = &mut self.upstreams[index];
        *sequence += 1;
        *at = self.now;
        let announcement = Announcement {
            upstream: upstream(index),
            sequence: *sequence,
            departing: *departed,
            busy: Some(3),
        };
        let to = self.rng.random_range(0..self.members.len());
        self.members[to].announce(&announcement, self.now);
    }
}

fn run(seed: u64) -> Result<(), String> {
    let mut world = World::new(seed, 4);
    let mut silent = [false; 4];
    for step in 0..400 {
        world.step(step);
        for (index, silent) in silent.iter_mut().enumerate() {
            let departed = world.upstreams[index].2;
            if !*silent && !departed && world.rng.random_bool(0.005) {
                // Half of the departures are announced by the upstream, half are requested at one instance.
                world.upstreams[index].2 = true;
                if world.rng.random_bool(0.5) {
                    world.announce(index);
                } else {
                    let to = world.rng.random_range(0..world.members.len());
                    let now = world.now;
                    world.members[to].depart(&format!("u{index}"), now);
                }
                world.upstreams[index].1 = world.now;
                *silent = true;
            } else if !*silent && world.rng.random_bool(0.002) {
                *silent = true;
            } else if !*silent && step % 10 == index as u64 {
                world.announce(index);
            }
        }
        for (index, (_, at, _)) in world.upstreams.iter().enumerate() {
            let age = world.now - *at;
            for (by, members) in world.members.iter().enumerate() {
                if age >= EXPIRY && members.is_usable(&format!("u{index}"), world.now) {
                    return Err(format!(
                        "u{index} usable at {by} after {} ms",
                        age.as_millis()
                    ));
                }
            }
        }
    }
    Ok(())
}

/// An upstream that departed or fell silent must not get new requests, also if messages are lost, delayed in
/// stalled connections, duplicated or reordered.
#[test]
fn departed_upstreams_are_not_usable() {
    check(200, run);
}

/// Without losses, the gossip must bring every entry to all instances of both regions.
#[test]
fn all_instances_know_all_upstreams() {
    let mut world = World::new(1, 48);
    (
        world.network.loss,
        world.network.duplicate,
        world.network.late,
    ) = (0.0, 0.0, 0.0);
    for step in 0..100 {
        world.step(step);
        for index in 0..48 {
            if step % 10 == index as u64 % 10 {
                world.announce(index);
            }
        }
    }
    for members in &world.members {
        assert_eq!(members.usable(world.now).count(), 48);
    }
}

/// If the link between two instances of a region is broken, an entry must reach the second one through others,
/// at the latest when the digests have differed for long enough to cause a pull.
#[test]
fn entries_bypass_a_broken_link() {
    let mut world = World::new(2, 1);
    (
        world.network.loss,
        world.network.duplicate,
        world.network.late,
    ) = (0.0, 0.0, 0.0);
    let mut missing = 0;
    for step in 0..400 {
        world.now += ms(100);
        let now = world.now;
        for index in 0..3 {
            if step % 5 == index as u64 {
                for (to, delta) in world.members[index].messages(now) {
                    let to = to as usize - 1;
                    // The link between the first two instances is broken in both directions.
                    if to < 3 && !matches!((index, to), (0, 1) | (1, 0)) {
                        world.network.send(&mut world.rng, (to, delta), now);
                    }
                }
            }
        }
        for (to, delta) in world.network.take_arrived(now) {
            world.members[to].receive(delta, now);
        }
        if step % 10 == 0 {
            let announcement = Announcement {
                upstream: upstream(0),
                sequence: step,
                departing: false,
                busy: None,
            };
            world.members[0].announce(&announcement, now);
        }
        if step > 100 && !world.members[1].is_usable("u0", now) {
            missing += 1;
        }
    }
    assert!(
        missing < 15,
        "the entry was missing for {missing} of 300 steps"
    );
}

/// Guards against a panic on the highest sequence number that an announcement can have.
#[test]
fn an_upstream_with_the_highest_sequence_departs() {
    let now = Instant::now();
    let mut members = Members::new(1, "north");
    let announcement = Announcement {
        upstream: upstream(0),
        sequence: u64::MAX,
        departing: false,
        busy: None,
    };
    members.announce(&announcement, now);
    assert!(members.depart("u0", now));
}

/// An upstream whose name departed once must become usable again, but not by announcements that were still in
/// transit when it departed.
#[test]
fn departed_upstream_returns_after_silence() {
    let now = Instant::now();
    let mut members = Members::new(1, "north");
    let announcement = |sequence| Announcement {
        upstream: upstream(0),
        sequence,
        departing: false,
        busy: None,
    };
    members.announce(&announcement(1), now);
    assert!(members.depart("u0", now));
    members.announce(&announcement(5), now + ms(1000));
    assert!(
        !members.is_usable("u0", now + ms(1000)),
        "a late announcement undid the departure"
    );
    members.announce(&announcement(6), now + ms(4000));
    assert!(members.is_usable("u0", now + ms(4000)));
}
