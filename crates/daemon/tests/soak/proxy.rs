use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// What happens to the connections through a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Weather {
    Clear,
    /// Bytes wait this many milliseconds.
    Delayed(u64),
    /// Bytes towards the callee vanish.
    CutThere,
    /// Bytes towards the caller vanish.
    CutBack,
    /// Open connections are reset, and new ones as soon as they carry bytes.
    Resets,
}

/// A proxy on loopback.
pub struct Proxy {
    pub address: SocketAddr,
    weather: Arc<Mutex<Weather>>,
}

impl Proxy {
    /// Passes connections on to `target`.
    pub fn bind(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let weather = Arc::new(Mutex::new(Weather::Clear));
        let shared = weather.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else {
                    continue;
                };
                let (there, back) = (shared.clone(), shared.clone());
                thread::spawn(move || pump(near, far, &there, Weather::CutThere));
                thread::spawn(move || pump(far2, near2, &back, Weather::CutBack));
            }
        });
        Proxy { address, weather }
    }

    pub fn set(&self, weather: Weather) {
        *self.weather.lock().unwrap() = weather;
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, weather: &Mutex<Weather>, cut: Weather) {
    let mut bytes = [0; 16 * 1024];
    // A connection that was silenced once stays silent: something between its ends has forgotten it.
    let mut silent = false;
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 {
            break;
        }
        let now = *weather.lock().unwrap();
        match now {
            Weather::Delayed(ms) => thread::sleep(Duration::from_millis(ms)),
            Weather::Resets => break,
            _ => {}
        }
        silent |= now == cut;
        if !silent && to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    drop(to.shutdown(Shutdown::Both));
    drop(from.shutdown(Shutdown::Both));
}
