//! Opens a listener of the soak and serves it for good.

use std::{io, net::SocketAddr, rc::Rc};

use compio::net::TcpListener;
use elmstream_http::{LocalBody, Stopper, server, server::Cut};
use http::{Request, Response};
use hyper::body::Incoming;

use crate::world::World;

/// Serves requests by a handler that gets the world; the address.
pub async fn serve<H, F>(world: &Rc<World>, handler: H) -> io::Result<SocketAddr>
where
    H: Fn(Rc<World>, Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Result<Response<LocalBody>, Cut>> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let world = world.clone();
    compio::runtime::spawn(async move {
        let (_until_the_end, never) = Stopper::new();
        let handler = move |_, request| handler(world.clone(), request);
        let _ = server::serve(listener, None, never, handler).await;
    })
    .detach();
    Ok(address)
}
