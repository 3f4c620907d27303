//! Server for JSON-RPC requests of other VMs.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use jsonrpsee::RpcModule;
use jsonrpsee::server::{
    HttpBody, HttpRequest, HttpResponse, ServerConfig, ServerHandle, serve_with_graceful_shutdown,
    stop_channel,
};
use jsonrpsee::types::ErrorObjectOwned;
use knapweeddale_core::{CallId, ContentDigest};
use knapweeddale_token::secrets_match;
use tokio::net::TcpListener;
use tower::Service;

use crate::counts::PeerCounts;
use crate::idle::IdleStream;
use crate::options::PeerOptions;
use crate::wire::{Batch, CachedResponse, Delivery};

/// Header that carries the fleet's secret.
pub(crate) const SECRET_HEADER: &str = "kwd-fleet-secret";

/// Handler for the requests of other VMs.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles received messages without blocking; messages that it cannot accept are lost.
    fn handle_delivery(&self, delivery: Delivery);

    /// Returns the cached response of a call if the digest of its content matches.
    fn fetch_response(&self, call: CallId, digest: ContentDigest) -> Option<CachedResponse>;
}

/// JSON-RPC server for the requests of other VMs; it stops when dropped.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    counts: Arc<PeerCounts>,
    handle: ServerHandle,
}

impl PeerServer {
    /// Serves requests on `listener` until the returned value is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the local address of the listener cannot be read.
    pub fn start<H: PeerHandler>(
        listener: TcpListener,
        options: PeerOptions,
        handler: Arc<H>,
        counts: Arc<PeerCounts>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let methods = build_rpc_module(handler, Arc::clone(&counts))?;
        let (stop, handle) = stop_channel();
        let config = ServerConfig::builder()
            .http_only()
            .max_request_body_size(options.max_body_bytes)
            .max_response_body_size(options.max_response_bytes)
            .max_connections(options.max_connections)
            .build();
        let builder = jsonrpsee::server::Server::builder()
            .set_config(config)
            .to_service_builder();
        let server_counts = Arc::clone(&counts);
        tokio::spawn(async move {
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = stop.clone().shutdown() => return,
                };
                let Ok((stream, _)) = stream else {
                    // Accepting fails while no file descriptor is free.
                    tokio::time::sleep(options.backoff_min).await;
                    continue;
                };
                // Messages are small and answered immediately; Nagle's algorithm would delay them.
                let _ = stream.set_nodelay(true);
                let stream =
                    IdleStream::new(stream, options.idle_timeout, Arc::clone(&server_counts));
                let inner = builder.clone().build(methods.clone(), stop.clone());
                let secret = options.secret.clone();
                let counts = Arc::clone(&server_counts);
                let service = tower::service_fn(move |request: HttpRequest<_>| {
                    let is_authorized = has_valid_secret(&request, &secret);
                    if !is_authorized {
                        counts.refused_secret(1);
                    }
                    let mut inner = inner.clone();
                    async move {
                        if is_authorized {
                            inner.call(request).await
                        } else {
                            Ok(build_forbidden_response())
                        }
                    }
                });
                let stopped = stop.clone().shutdown();
                tokio::spawn(serve_with_graceful_shutdown(stream, service, stopped));
            }
        });
        Ok(Self {
            address,
            counts,
            handle,
        })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters that the server updates.
    pub fn counts(&self) -> &PeerCounts {
        &self.counts
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        // `stop` returns an error only if the server has already stopped.
        let _ = self.handle.stop();
    }
}

/// Checks the secret of a request in constant time.
fn has_valid_secret<B>(request: &HttpRequest<B>, secret: &str) -> bool {
    let presented = request.headers().get(SECRET_HEADER);
    presented.is_some_and(|presented| secrets_match(presented.as_bytes(), secret.as_bytes()))
}

/// Builds the response to a request with a missing or wrong secret.
fn build_forbidden_response() -> HttpResponse {
    let mut response = HttpResponse::new(HttpBody::empty());
    *response.status_mut() = jsonrpsee::server::http::response::denied().status();
    response
}

/// Registers the JSON-RPC methods.
fn build_rpc_module<H: PeerHandler>(
    handler: Arc<H>,
    counts: Arc<PeerCounts>,
) -> io::Result<RpcModule<(Arc<H>, Arc<PeerCounts>)>> {
    let mut module = RpcModule::new((handler, counts));
    module
        .register_method("deliver", |params, (handler, counts), _| {
            let batch: Batch = params.one()?;
            let (delivery, unreadable) = batch.decode();
            counts.received_messages(delivery.messages.len() as u64);
            counts.unreadable_messages(unreadable);
            handler.handle_delivery(delivery);
            Ok::<_, ErrorObjectOwned>(true)
        })
        .map_err(io::Error::other)?;
    module
        .register_method("fetch_answer", |params, (handler, _), _| {
            let (call, digest): (CallId, ContentDigest) = params.parse()?;
            Ok::<_, ErrorObjectOwned>(handler.fetch_response(call, digest))
        })
        .map_err(io::Error::other)?;
    Ok(module)
}
