//! Passes the connections of hosts on to the backend servers, and cuts those of single hosts.
//!
//! All hosts connect from the same loopback address, so a connection's host is found by its port
//! among the sockets of the host's process.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    fs, io,
    net::SocketAddr,
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

    fn is_cut(&self, port: u16) -> bool {
        self.cut.borrow().iter().any(|process| local_ports(*process).contains(&port))
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
            if gate.is_cut(from.port()) {
                continue;
            }
            let passing = compio::runtime::spawn(pass(stream, servers));
            gate.open.borrow_mut().insert(from.port(), passing);
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

/// Local TCP ports of a process; none if it has ended.
fn local_ports(process: u32) -> HashSet<u16> {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { return HashSet::new() };
    let links = files.flatten().filter_map(|file| fs::read_link(file.path()).ok());
    let inodes: HashSet<String> = links
        .filter_map(|link| {
            Some(link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
        })
        .collect();
    let sockets = fs::read_to_string(format!("/proc/{process}/net/tcp")).unwrap_or_default();
    sockets.lines().skip(1).filter_map(|line| port_of(line, &inodes)).collect()
}

/// The local port of a line of the kernel's socket table, if its inode is among `inodes`.
fn port_of(line: &str, inodes: &HashSet<String>) -> Option<u16> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let (local, inode) = (fields.get(1)?, fields.get(9)?);
    let (_, port) = local.split_once(':')?;
    inodes.contains(*inode).then(|| u16::from_str_radix(port, 16).ok())?
}
