//! Passes the connections of hosts on to the backend servers, and cuts those of single hosts.
//!
//! All hosts connect from the same loopback address, so a connection's host is found by its port
//! among the sockets of the host's process.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
};

use compio::{
    buf::BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::JoinHandle,
};
use futures_util::future::select;

/// Bytes that are read at once.
const BUFFER_BYTES: usize = 16 << 10;

/// The connections between hosts and backend servers.
#[derive(Debug, Default)]
pub struct Gate {
    /// Process ids of the hosts that are cut.
    cut: RefCell<HashSet<u32>>,
    /// Open connections by the host's port.
    open: RefCell<HashMap<u16, JoinHandle<()>>>,
}

impl Gate {
    /// Cuts a host's process from the backend servers: its connections are closed, and new ones are
    /// closed at once.
    pub fn cut(&self, process: u32) {
        self.cut.borrow_mut().insert(process);
        let ports = local_ports(process);
        self.open.borrow_mut().retain(|port, _| !ports.contains(port));
    }

    /// Ends the cut of a process.
    pub fn restore(&self, process: u32) {
        self.cut.borrow_mut().remove(&process);
    }

    /// Whether a connection belongs to a process that is cut. The kernel's tables are read on another
    /// thread, as they may be long.
    async fn is_cut(&self, port: u16) -> bool {
        let processes: Vec<u32> = self.cut.borrow().iter().copied().collect();
        if processes.is_empty() {
            return false;
        }
        let find = move || {
            let inode = inode_of(port);
            inode.is_some_and(|inode| {
                processes.iter().any(|process| inodes(*process).contains(&inode))
            })
        };
        compio::runtime::spawn_blocking(find).await.unwrap_or(false)
    }
}

/// Starts to accept connections for the servers at an address, and returns the address to which
/// hosts connect.
///
/// # Errors
///
/// No address can be bound.
pub async fn start(gate: Rc<Gate>, servers: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    compio::runtime::spawn(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            let (owner, port) = (gate.clone(), from.port());
            let passing = compio::runtime::spawn(async move {
                if !owner.is_cut(port).await {
                    pass(stream, servers).await;
                }
            });
            gate.open.borrow_mut().insert(port, passing);
        }
    })
    .detach();
    Ok(address)
}

/// Passes bytes in both directions until one side closes.
async fn pass(host: TcpStream, servers: SocketAddr) {
    let Ok(server) = TcpStream::connect(servers).await else { return };
    if server.set_nodelay(true).and(host.set_nodelay(true)).is_err() {
        return;
    }
    let (host_read, host_write) = host.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = std::pin::pin!(copy(host_read, server_write));
    let answers = std::pin::pin!(copy(server_read, host_write));
    select(requests, answers).await;
}

async fn copy(mut from: impl AsyncRead, mut to: impl AsyncWriteExt) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        buffer.clear();
        let BufResult(read, back) = from.read(buffer).await;
        if !matches!(read, Ok(1..)) {
            return;
        }
        let BufResult(written, back) = to.write_all(back).await;
        if written.is_err() {
            return;
        }
        buffer = back;
    }
}

/// Inodes of a process's sockets; none if it has ended.
fn inodes(process: u32) -> HashSet<String> {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { return HashSet::new() };
    let links = files.flatten().filter_map(|file| fs::read_link(file.path()).ok());
    let inode = |link: PathBuf| {
        Some(link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
    };
    links.filter_map(inode).collect()
}

/// Local port and inode of each TCP socket.
fn sockets() -> Vec<(u16, String)> {
    let table = fs::read_to_string("/proc/self/net/tcp").unwrap_or_default();
    let socket = |line: &str| {
        let mut fields = line.split_ascii_whitespace();
        let (_, port) = fields.nth(1)?.split_once(':')?;
        let inode = fields.nth(7)?;
        Some((u16::from_str_radix(port, 16).ok()?, inode.to_owned()))
    };
    table.lines().skip(1).filter_map(socket).collect()
}

/// Local TCP ports of a process; none if it has ended.
fn local_ports(process: u32) -> HashSet<u16> {
    let inodes = inodes(process);
    let own = sockets().into_iter().filter(|(_, inode)| inodes.contains(inode));
    own.map(|(port, _)| port).collect()
}

/// Inode of the socket with a local port that belongs to a process.
fn inode_of(port: u16) -> Option<String> {
    let found = sockets().into_iter().find(|(local, inode)| *local == port && inode != "0");
    found.map(|(_, inode)| inode)
}
