//! Socket options of client connections.

use std::{
    net::{Ipv4Addr, TcpListener, TcpStream},
    time::Duration,
};

use elmstream_http::client::set_unacked_timeout;
use socket2::SockRef;

#[test]
fn unacked_timeout_is_set_on_a_tcp_socket() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).expect("a connection");
    set_unacked_timeout(&stream, Duration::from_millis(700)).expect("the option");
    let timeout = SockRef::from(&stream).tcp_user_timeout().expect("the option");
    assert_eq!(timeout, Some(Duration::from_millis(700)));
}

#[test]
fn refused_socket_option_is_reported() {
    let (one, _other) = std::os::unix::net::UnixStream::pair().expect("a pair");
    assert!(set_unacked_timeout(&one, Duration::from_millis(700)).is_err());
}
