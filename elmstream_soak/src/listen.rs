//! Listeners of the simulated store and backend servers.

use std::{io, net::SocketAddr, rc::Rc, time::Instant};

use compio::net::TcpListener;
use elmstream_http::{LocalBody, RequestBody, Stopper, server, server::Aborted};
use http::{Request, Response};

use crate::world::World;

/// Serves requests on a new loopback address until the process ends, and returns the
/// address. The handler gets the world and the time at which the request's connection was
/// opened, in milliseconds since the start of the soak.
pub async fn serve<H, F>(world: &Rc<World>, handler: H) -> io::Result<SocketAddr>
where
    H: Fn(Rc<World>, u64, Request<RequestBody>) -> F + Clone + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let world = world.clone();
    compio::runtime::spawn(async move {
        let (_stopper, never_stops) = Stopper::new();
        let opened = ConnectionOpened(Instant::now());
        let handler =
            move |_, request| handler(world.clone(), opened.since_start_ms(&world), request);
        let _ = server::serve(listener, None, never_stops, handler).await;
    })
    .detach();
    Ok(address)
}

/// When a connection was opened. The server clones its handler for each connection, and the
/// clone takes the time.
struct ConnectionOpened(Instant);

impl ConnectionOpened {
    /// Time of opening, in milliseconds since the start of the soak. It takes a reference,
    /// so that a handler captures the whole value and clones of the handler clone it.
    fn since_start_ms(&self, world: &World) -> u64 {
        self.0.saturating_duration_since(world.started).as_millis() as u64
    }
}

impl Clone for ConnectionOpened {
    fn clone(&self) -> ConnectionOpened {
        ConnectionOpened(Instant::now())
    }
}
