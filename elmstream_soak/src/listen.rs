//! Opens a listener of the soak and serves it for good.

use std::{io, net::SocketAddr, rc::Rc, time::Instant};

use compio::net::TcpListener;
use elmstream_http::{LocalBody, Stopper, server, server::Aborted};
use http::{Request, Response};
use hyper::body::Incoming;

use crate::world::World;

/// Serves requests by a handler that gets the world, and when the request's connection
/// was opened in milliseconds since the beginning; the address.
pub async fn serve<H, F>(world: &Rc<World>, handler: H) -> io::Result<SocketAddr>
where
    H: Fn(Rc<World>, u64, Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Result<Response<LocalBody>, Aborted>> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let world = world.clone();
    compio::runtime::spawn(async move {
        let (_until_the_end, never) = Stopper::new();
        let opened = Opened(Instant::now());
        let handler = move |_, request| handler(world.clone(), opened.millis(&world), request);
        let _ = server::serve(listener, None, never, handler).await;
    })
    .detach();
    Ok(address)
}

/// When a connection was opened: the server clones its handler for each of them.
struct Opened(Instant);

impl Opened {
    /// In milliseconds since the beginning. Used by reference, so that a handler holds
    /// the whole value and its clones are clones of it.
    fn millis(&self, world: &World) -> u64 {
        self.0.saturating_duration_since(world.started).as_millis() as u64
    }
}

impl Clone for Opened {
    fn clone(&self) -> Opened {
        Opened(Instant::now())
    }
}
