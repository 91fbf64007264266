use {
    peers::Resolver,
    std::net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

/// Bits of a port in an id.
const PORT_BITS: u32 = 16;

/// Finds the address of an instance in its id.
///
/// Instances come and go and change addresses, and nobody keeps a list of them. With the address in the id, any
/// message that names an instance is enough to reach it.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdResolver;

impl Resolver for IdResolver {
    fn resolve(&self, id: u64) -> Option<SocketAddr> {
        address_of(id).map(SocketAddr::V4)
    }
}

/// The id of the instance that listens for others at this address.
pub fn id_of(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip())) << PORT_BITS | u64::from(address.port())
}

/// The address in an id; none if the id is too large for one.
pub fn address_of(id: u64) -> Option<SocketAddrV4> {
    let ip = u32::try_from(id >> PORT_BITS).ok()?;
    let port = (id & u64::from(u16::MAX)) as u16;
    (ip != 0 && port != 0).then(|| SocketAddrV4::new(Ipv4Addr::from(ip), port))
}
