//! Cuts a daemon off from the store and from the other daemons; callers and replicas still reach it.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Instant;

use rustix::fd::OwnedFd;
use rustix::process::Pid;
use rustix::process::PidfdFlags;
use rustix::process::PidfdGetfdFlags;
use rustix::process::pidfd_getfd;
use rustix::process::pidfd_open;
use socket2::SockRef;

use crate::cluster::Cluster;
use crate::common::http::packet_filter;
use crate::proxy::ConnectionFault;

/// Cuts off the daemon `isolated`; returns the number of sockets that drop packets.
pub fn begin(cluster: &Cluster, isolated: usize) -> usize {
    let instance = &cluster.instances[isolated];
    instance.record_disturbance();
    instance.store_proxy.set_fault(ConnectionFault::Stall);
    filter_peers(cluster, Some(isolated))
}

/// Ends what [`begin`] began at `from`.
pub fn end(cluster: &Cluster, isolated: usize, from: Instant) {
    let instance = &cluster.instances[isolated];
    instance.store_proxy.set_fault(ConnectionFault::None);
    filter_peers(cluster, None);
    instance.record_disturbance();
    cluster.notices.record_store_fault(Some(isolated), from);
}

/// Drops the packets between the daemon `isolated` and the others, or none; returns the number of sockets that do so. The
/// address of a new connection does not show which daemon opens it, so those between the others are dropped too.
fn filter_peers(cluster: &Cluster, isolated: Option<usize>) -> usize {
    let ips = cluster
        .instances
        .iter()
        .map(|instance| match instance.callers {
            SocketAddr::V4(address) => *address.ip(),
            SocketAddr::V6(_) => Ipv4Addr::LOCALHOST,
        });
    let ips: Vec<Ipv4Addr> = ips.collect();
    let mut filtered = 0;
    for (number, instance) in cluster.instances.iter().enumerate() {
        let others = ips.iter().enumerate().filter(|(other, _)| {
            let concerns = isolated == Some(number) || isolated == Some(*other);
            concerns && *other != number
        });
        let mut dropped: Vec<Ipv4Addr> = others.map(|(_, ip)| *ip).collect();
        dropped.extend(isolated.map(|_| Ipv4Addr::LOCALHOST));
        let daemon = instance.daemon.lock().unwrap();
        let filter = packet_filter(&dropped);
        for socket in sockets(daemon.pid(), daemon.peers) {
            let attached = SockRef::from(&socket).attach_filter(&filter);
            filtered += usize::from(attached.is_ok());
        }
    }
    filtered
}

/// The sockets of the process `pid` that are bound to `address`.
fn sockets(pid: Pid, address: SocketAddr) -> Vec<OwnedFd> {
    let Ok(process) = pidfd_open(pid, PidfdFlags::empty()) else {
        return Vec::new();
    };
    let entries = fs::read_dir(format!("/proc/{}/fd", pid.as_raw_nonzero()));
    let names = entries.into_iter().flatten().flatten();
    let numbers = names.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    let copies =
        numbers.filter_map(|number| pidfd_getfd(&process, number, PidfdGetfdFlags::empty()).ok());
    let bound = copies.filter(|copy| {
        let local = SockRef::from(copy).local_addr();
        local.is_ok_and(|local| local.as_socket() == Some(address))
    });
    bound.collect()
}
