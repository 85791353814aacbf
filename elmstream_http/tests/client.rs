//! Options of connections.

use std::{
    net::{Ipv4Addr, TcpListener, TcpStream},
    time::Duration,
};

use elmstream_http::client::bound_silence;
use socket2::SockRef;

#[test]
fn a_connection_takes_a_bound_on_silence() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).expect("a connection");
    bound_silence(&stream, Duration::from_millis(700)).expect("the option");
    let bound = SockRef::from(&stream).tcp_user_timeout().expect("the option");
    assert_eq!(bound, Some(Duration::from_millis(700)));
}

#[test]
fn a_refusal_of_the_bound_is_told() {
    let (one, _other) = std::os::unix::net::UnixStream::pair().expect("a pair");
    assert!(bound_silence(&one, Duration::from_millis(700)).is_err());
}
