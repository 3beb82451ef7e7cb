//! Ports that the kernel gives to outgoing connections, as addresses of instances.

use super::*;
use std::net::TcpListener as Socket;

/// Where the kernel names the first and the last of these ports.
const RANGE_FILE: &str = "/proc/sys/net/ipv4/ip_local_port_range";

/// The range where that can not be read.
const RANGE: (u16, u16) = (32_768, 60_999);

/// The first and the last port.
fn range() -> (u16, u16) {
    let text = std::fs::read_to_string(RANGE_FILE).unwrap_or_default();
    let mut ports = text.split_whitespace().map(str::parse);
    match (ports.next(), ports.next()) {
        (Some(Ok(first)), Some(Ok(last))) => (first, last),
        _ => RANGE,
    }
}

/// An address on the loopback interface with such a port, which is free now.
pub(crate) fn address(random: &mut Pcg64Mcg) -> SocketAddr {
    let (first, last) = range();
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], random.random_range(first..=last)));
        if Socket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Has an instance listen at such addresses.
pub(crate) fn move_in(settings: &mut Value, random: &mut Pcg64Mcg) {
    for name in ["metrics", "peers", "ready"] {
        settings["hosted"][name] = json!(address(random));
    }
    settings["listen"]["callers"] = json!(address(random));
}
