use {
    peers::Resolver,
    std::net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

/// Number of low bits of an id that hold the port; the IPv4 address is above them.
const PORT_BITS: u32 = 16;

/// Derives the address of an instance from its id.
///
/// Instances come and go and change addresses, and there is no list of them. Because the id holds
/// the address, any message that names an instance is enough to reach it.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdResolver;

impl Resolver for IdResolver {
    fn resolve(&self, id: u64) -> Option<SocketAddr> {
        address_of(id).map(SocketAddr::V4)
    }
}

/// The id of the instance that listens for other instances on this address.
pub fn id_of(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip())) << PORT_BITS | u64::from(address.port())
}

/// The address that an id holds; none if the id is too large, or its address or port is 0.
pub fn address_of(id: u64) -> Option<SocketAddrV4> {
    let ip = u32::try_from(id >> PORT_BITS).ok()?;
    let port = (id & u64::from(u16::MAX)) as u16;
    (ip != 0 && port != 0).then(|| SocketAddrV4::new(Ipv4Addr::from(ip), port))
}
