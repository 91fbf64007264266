//! An instance that stands still between a decision and its execution.

mod common;

use {
    common::{Memory, REGION, Records, config, raw, settings, site, status},
    entry::{Configuration, Deps, Desk, Server},
    model::{
        clock::Clock,
        config::Config,
        upstream::{Announcement, Upstream},
    },
    route::{
        Event, Router,
        share::{Grant, Share},
    },
    std::{
        io::{ErrorKind, Read},
        net::{TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant, SystemTime},
    },
};

/// How long the instance stands still: longer than the silence after which an upstream gets no request.
const PAUSE: Duration = Duration::from_secs(4);

/// Time in which bytes that were sent arrive on loopback, with much to spare.
const ARRIVAL: Duration = Duration::from_secs(1);

/// A clock that jumps once.
#[derive(Default)]
struct Jumping {
    jumped: AtomicBool,
}

impl Clock for Jumping {
    fn now(&self) -> Instant {
        let jump = if self.jumped.load(Ordering::SeqCst) {
            PAUSE
        } else {
            Duration::ZERO
        };
        Instant::now() + jump
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Looks whether the upstream has a connection each time the configuration is asked for, which happens once more
/// before a request is sent; the clock jumps then.
struct Watching {
    clock: Arc<Jumping>,
    listener: TcpListener,
    connection: Mutex<Option<TcpStream>>,
}

impl Configuration for Watching {
    fn current(&self) -> Option<Arc<Config>> {
        if let Ok((stream, _)) = self.listener.accept() {
            self.clock.jumped.store(true, Ordering::SeqCst);
            *self.connection.lock().unwrap() = Some(stream);
        }
        Some(config())
    }
}

fn announce(desk: &Desk, address: &str, sequence: u64) {
    let upstream = Upstream {
        name: "u0".into(),
        service: "fit".into(),
        site: site("a"),
        address: address.into(),
        slots: 2,
        connections: 8,
    };
    desk.observe(Event::Announced(Announcement {
        upstream,
        sequence,
        departing: false,
        busy: Some(0),
    }));
    let (report, shares) = desk.with(|router, now| {
        let report = router.report(REGION, now);
        let capacities = router.capacities(REGION, now).into_iter();
        let shares = capacities.map(|capacity| Share {
            upstream: capacity.upstream,
            slots: capacity.slots,
        });
        (report, shares.collect())
    });
    desk.observe(Event::Granted(Grant {
        region: REGION.into(),
        instance: report.instance,
        boot: report.boot,
        term: 1,
        sequence,
        report: report.number,
        lease_ms: 3000,
        shares,
    }));
}

/// Guards against a request that an instance sends, after standing still, to an upstream that has been silent for too
/// long meanwhile.
#[tokio::test]
async fn a_decision_from_before_a_pause_is_not_carried_out() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let clock = Arc::new(Jumping::default());
    let watching = Arc::new(Watching {
        clock: clock.clone(),
        listener,
        connection: Mutex::default(),
    });
    let router = Router::new(route::Settings::new(1, 1, site("a")));
    let desk = Desk::new(router, clock, watching.clone());
    for sequence in 1..=2 {
        announce(&desk, &address, sequence);
    }
    let deps = Deps {
        desk,
        claims: Arc::new(Memory::default()),
        observer: Arc::new(Records::default()),
        settings: settings(),
    };
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), deps)
        .await
        .unwrap();
    let request = "GET /work HTTP/1.1\r\nhost: t\r\nconnection: close\r\nx-client-account: acme\r\n\
        x-service: fit\r\nx-deadline-ms: 6000\r\n\r\n";
    let answer = String::from_utf8_lossy(&raw(server.address(), request).await).into_owned();
    assert_ne!(status(&answer), 200, "{answer}");
    let mut stream = watching
        .connection
        .lock()
        .unwrap()
        .take()
        .expect("no connection was opened");
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(ARRIVAL)).unwrap();
    let mut bytes = [0; 1024];
    match stream.read(&mut bytes) {
        Ok(0) => {}
        Ok(count) => panic!("sent: {}", String::from_utf8_lossy(&bytes[..count])),
        Err(error) => assert!(
            matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            "{error}"
        ),
    }
}
