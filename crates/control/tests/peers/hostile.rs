use {
    super::helpers::{caller, drain, instance, works},
    control::{
        instance::{Query, Report},
        peers::Peers,
    },
    rand::{Rng, RngExt, SeedableRng, rngs::StdRng},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        panic,
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
    tempfile::TempDir,
};

/// What a caller sends for one proposal and one delivery, as bytes of its connection.
async fn recorded() -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peers = caller(listener.local_addr().unwrap());
    peers.deliver(1, "north", vec![vec![1, 2, 3]]);
    let proposing = tokio::spawn(async move { peers.propose(1, "north", &drain()).await });
    let reading = tokio::task::spawn_blocking(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream
            .set_read_timeout(Some(Duration::from_millis(500)))
            .unwrap();
        let mut bytes = Vec::new();
        drop(stream.read_to_end(&mut bytes));
        bytes
    });
    let bytes = reading.await.unwrap();
    drop(proposing.await);
    bytes
}

/// Sends bytes and closes, or leaves the connection open if `keep`.
fn hurl(address: SocketAddr, bytes: &[u8], keep: bool) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    drop(stream.write_all(bytes));
    keep.then_some(stream)
}

/// Guards against bytes on the peer port that end its thread, a replica, or the service of others: noise,
/// headers that announce huge messages, damaged and cut calls, and connections that stay silent.
#[tokio::test(flavor = "multi_thread")]
async fn hostile_connections_stop_nothing() {
    static PANICS: AtomicUsize = AtomicUsize::new(0);
    let folder = TempDir::new().unwrap();
    let (instance, address) = instance(&folder);
    let peers = caller(address);
    works(&peers).await;
    let valid = recorded().await;
    assert!(
        valid.len() > 100,
        "only {} bytes were recorded",
        valid.len()
    );
    let hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        hook(info);
    }));
    let mut random = StdRng::seed_from_u64(41);
    let mut open = Vec::new();
    for round in 0..400 {
        let bytes = match round % 4 {
            0 => {
                let mut noise = vec![0; random.random_range(0..512)];
                random.fill_bytes(&mut noise);
                noise
            }
            1 => {
                // A segment table: number of segments minus one, and their sizes in words.
                let count = [0u32, 1, 511, 512, u32::MAX][round / 4 % 5];
                let size = [0u32, 1, 2_097_152, u32::MAX][round / 20 % 4];
                let mut header = count.to_le_bytes().to_vec();
                header.extend((0..=count.min(600)).flat_map(|_| size.to_le_bytes()));
                header
            }
            2 => {
                let mut damaged = valid.clone();
                for _ in 0..random.random_range(1..4) {
                    let at = random.random_range(0..damaged.len());
                    damaged[at] = random.random();
                }
                damaged
            }
            _ => valid[..random.random_range(0..valid.len())].to_vec(),
        };
        open.extend(hurl(address, &bytes, round % 8 < 4));
    }
    works(&peers).await;
    drop(open);
    works(&peers).await;
    let stopped: Vec<_> = instance
        .groups()
        .filter_map(|group| group.view().stop_reason)
        .collect();
    assert!(stopped.is_empty(), "{stopped:?}");
    assert_eq!(PANICS.load(Ordering::Relaxed), 0);
    instance.stop();
}

/// Guards against calls in order whose content is malformed: commands, queries, reports, membership entries
/// and consensus messages.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_contents_stop_nothing() {
    let folder = TempDir::new().unwrap();
    let (instance, address) = instance(&folder);
    let peers = caller(address);
    works(&peers).await;
    let mut random = StdRng::seed_from_u64(43);
    let query = serde_json::to_vec(&Query::Notes { after: 0, limit: 5 }).unwrap();
    let report = postcard::to_stdvec(&Report::default()).unwrap();
    for _ in 0..300 {
        let mut noise = vec![0; random.random_range(0..64)];
        random.fill_bytes(&mut noise);
        let mut damaged = |valid: &[u8]| {
            let mut bytes = valid.to_vec();
            let at = random.random_range(0..bytes.len());
            bytes[at] = random.random();
            bytes
        };
        let (query, report, command) = (damaged(&query), damaged(&report), damaged(&drain()));
        for group in ["north", "config", "none", ""] {
            peers.deliver(1, group, vec![noise.clone(), Vec::new()]);
            for command in [&noise, &command] {
                assert!(peers.propose(1, group, command).await.is_ok());
            }
            assert!(peers.query(1, group, &query).await.is_ok());
            assert!(peers.report(1, group, &report).await.is_ok());
            assert!(peers.report(1, group, &noise).await.is_ok());
        }
        assert!(peers.gossip(1, noise).await.is_ok());
        assert!(
            peers
                .follow(1, random.random(), random.random())
                .await
                .is_ok()
        );
    }
    works(&peers).await;
    let stopped: Vec<_> = instance
        .groups()
        .filter_map(|group| group.view().stop_reason)
        .collect();
    assert!(stopped.is_empty(), "{stopped:?}");
    instance.stop();
}

/// Guards against answers of another instance that end the thread of the connections: a call that is
/// answered with noise fails as unanswered, and calls to others go on.
#[tokio::test(flavor = "multi_thread")]
async fn hostile_answers_stop_nothing() {
    let folder = TempDir::new().unwrap();
    let (instance, address) = instance(&folder);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let hostile = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut random = StdRng::seed_from_u64(47);
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut noise = vec![0; random.random_range(1..256)];
            random.fill_bytes(&mut noise);
            // Half of the answers begin as a message of one small segment.
            if random.random_bool(0.5) {
                let words = (noise.len() / 8) as u32;
                noise.splice(0..0, [0u32.to_le_bytes(), words.to_le_bytes()].concat());
            }
            drop(stream.write_all(&noise));
        }
    });
    let others = [(1, address), (3, hostile)];
    let own = "127.0.0.1:0".parse().unwrap();
    let peers = Peers::bind(2, own, others, Duration::from_secs(2)).unwrap();
    for _ in 0..100 {
        let answer = peers.propose(3, "north", &drain()).await;
        assert!(answer.is_err(), "{answer:?}");
    }
    works(&peers).await;
    instance.stop();
}
