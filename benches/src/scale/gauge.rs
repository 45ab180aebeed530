//! Resource usage of processes: CPU time, memory, disk, and traffic by the role of the peer. Traffic is read from the
//! kernel's connection counters, so no proxy distorts the measurement. Connections that close between two readings are
//! not counted.

use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

/// A measured process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Party {
    /// Role of the process.
    pub role: &'static str,
    /// Process id.
    pub pid: u32,
}

/// Bytes and data segments of a connection, in each direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent and acknowledged.
    pub bytes_out: u64,
    /// Data segments received. On an otherwise idle connection, a short message is one segment.
    pub messages_in: u64,
    /// Data segments sent.
    pub messages_out: u64,
}

impl Flow {
    fn add(&mut self, more: Flow, sign: fn(u64, u64) -> u64) {
        self.bytes_in = sign(self.bytes_in, more.bytes_in);
        self.bytes_out = sign(self.bytes_out, more.bytes_out);
        self.messages_in = sign(self.messages_in, more.messages_in);
        self.messages_out = sign(self.messages_out, more.messages_out);
    }
}

/// One endpoint of a connection.
#[derive(Clone, Copy, Debug)]
struct End {
    inode: u64,
    local: SocketAddrV4,
    remote: SocketAddrV4,
    flow: Flow,
}

/// Cumulative usage of one process.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// CPU time.
    pub cpu: Duration,
    /// Peak resident memory, in bytes.
    pub peak: u64,
    /// Number of open connections to other measured processes.
    pub open: usize,
    /// Role of the peer and traffic, by the inode of the connection's socket.
    ends: HashMap<u64, (&'static str, Flow)>,
}

impl Usage {
    /// Returns the traffic since an earlier reading, by the role of the peer.
    pub fn flows_since(&self, before: &Usage) -> BTreeMap<&'static str, Flow> {
        let mut flows: BTreeMap<&'static str, Flow> = BTreeMap::new();
        for (inode, (role, flow)) in &self.ends {
            let mut flow = *flow;
            if let Some((_, old)) = before.ends.get(inode) {
                flow.add(*old, u64::saturating_sub);
            }
            flows.entry(role).or_default().add(flow, u64::wrapping_add);
        }
        flows
    }
}

/// Queries the kernel for all connections. `sock_diag` answers one request with several messages.
fn connections() -> io::Result<Vec<End>> {
    const DUMP: u16 = 20;
    const DONE: u16 = 3;
    let mut socket = Socket::new(Domain::from(16), Type::DGRAM, Some(Protocol::from(4)))?;
    socket.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut request = Vec::with_capacity(72);
    request.extend(72u32.to_ne_bytes());
    request.extend(DUMP.to_ne_bytes());
    request.extend(0x301u16.to_ne_bytes());
    request.extend([1u32, 0].map(u32::to_ne_bytes).concat());
    // IPv4, TCP, including `tcp_info`, in any state.
    request.extend([2, 6, 1 << 1, 0]);
    request.extend(u32::MAX.to_ne_bytes());
    request.resize(72, 0);
    socket.write_all(&request)?;
    let (mut ends, mut buffer) = (Vec::new(), vec![0; 1 << 16]);
    loop {
        let length = socket.read(&mut buffer)?;
        let mut rest = &buffer[..length];
        while rest.len() >= 16 {
            let long = number(rest, 0, 4) as usize;
            match number(rest, 4, 2) as u16 {
                DUMP => ends.extend(end(rest.get(16..long).unwrap_or_default())),
                DONE => return Ok(ends),
                kind => return Err(io::Error::other(format!("sock_diag answers with {kind}"))),
            }
            rest = rest.get(long.next_multiple_of(4).max(16)..).unwrap_or_default();
        }
    }
}

/// Reads an integer of `width` bytes in the kernel's native byte order, assumed to be little-endian. Returns 0 if it
/// lies beyond the end of the buffer.
fn number(bytes: &[u8], at: usize, width: usize) -> u64 {
    let mut whole = [0; 8];
    if let Some(part) = bytes.get(at..at + width) {
        whole[..width].copy_from_slice(part);
    }
    u64::from_le_bytes(whole)
}

/// Parses an `inet_diag_msg` and the `tcp_info` that follows it.
fn end(message: &[u8]) -> Option<End> {
    const INFO: u64 = 2;
    let fixed = message.get(..72)?;
    let address = |port: usize, ip: usize| {
        let ip = Ipv4Addr::new(fixed[ip], fixed[ip + 1], fixed[ip + 2], fixed[ip + 3]);
        SocketAddrV4::new(ip, u16::from_be_bytes([fixed[port], fixed[port + 1]]))
    };
    let mut flow = Flow::default();
    let mut rest = &message[72..];
    while rest.len() >= 4 {
        let long = number(rest, 0, 2) as usize;
        if number(rest, 2, 2) == INFO {
            let info = rest.get(4..long)?;
            flow = Flow {
                bytes_out: number(info, 120, 8),
                bytes_in: number(info, 128, 8),
                messages_in: number(info, 152, 4),
                messages_out: number(info, 156, 4),
            };
        }
        rest = rest.get(long.next_multiple_of(4).max(4)..).unwrap_or_default();
    }
    Some(End { inode: number(fixed, 68, 4), local: address(4, 8), remote: address(6, 24), flow })
}

fn inodes(pid: u32) -> Vec<u64> {
    let files = std::fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
    let link = |file: std::fs::DirEntry| {
        let to = std::fs::read_link(file.path()).ok()?;
        to.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
    };
    files.filter_map(link).collect()
}

/// Returns the peak resident memory of a process in bytes, or 0 if it has ended.
pub fn peak(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or_default();
    line.split_whitespace().next().and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// Reads the usage of all parties at approximately the same time.
///
/// # Errors
/// Fails if the kernel's connection query fails.
pub fn read(parties: &[Party]) -> io::Result<Vec<Usage>> {
    let mut owner: HashMap<u64, usize> = HashMap::new();
    for (at, party) in parties.iter().enumerate() {
        owner.extend(inodes(party.pid).into_iter().map(|inode| (inode, at)));
    }
    let ends = connections()?;
    let owned = ends.iter().filter_map(|end| Some(((end.local, end.remote), *owner.get(&end.inode)?)));
    let owned: HashMap<(SocketAddrV4, SocketAddrV4), usize> = owned.collect();
    let mut all: Vec<Usage> = parties
        .iter()
        .map(|party| Usage {
            cpu: crate::cpu(&party.pid.to_string()),
            peak: peak(party.pid),
            ..Usage::default()
        })
        .collect();
    for end in &ends {
        let Some(own) = owned.get(&(end.local, end.remote)).filter(|_| end.inode != 0) else { continue };
        // Listening sockets and connections to unmeasured processes have no known peer.
        let Some(other) = owned.get(&(end.remote, end.local)) else { continue };
        all[*own].open += 1;
        all[*own].ends.insert(end.inode, (parties[*other].role, end.flow));
    }
    Ok(all)
}

/// Returns the total size of the files directly in a directory, in bytes.
pub fn disk(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    entries.filter_map(|entry| entry.metadata().ok()).filter(|m| m.is_file()).map(|m| m.len()).sum()
}
