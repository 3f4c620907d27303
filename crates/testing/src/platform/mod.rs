//! Fake of the platform's object API over HTTP, with injected faults.

mod objects;
mod routes;

pub use objects::{Fault, Objects, VmRow};

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use rocket::fairing::AdHoc;
use rocket::{Config, Rocket, Shutdown};
use tokio::sync::oneshot;

/// A running platform fake; it shuts down when dropped.
#[derive(Debug)]
pub struct Platform {
    /// Address the API listens on.
    pub address: SocketAddr,
    /// Stored objects, VM list and current fault.
    pub objects: Arc<Objects>,
    shutdown: Shutdown,
}

impl Platform {
    /// Starts the platform on loopback; for port 0 the operating system assigns one.
    ///
    /// # Panics
    ///
    /// Panics if the port is in use.
    pub async fn start(port: u16) -> Self {
        let objects = Arc::new(Objects::default());
        let (sender, receiver) = oneshot::channel();
        let config = Config {
            port,
            address: Ipv4Addr::LOCALHOST.into(),
            log_level: rocket::config::LogLevel::Off,
            shutdown: rocket::config::Shutdown {
                ctrlc: false,
                signals: Default::default(),
                grace: 0,
                mercy: 0,
                ..Default::default()
            },
            ..Config::default()
        };
        let liftoff = AdHoc::on_liftoff("address", move |rocket| {
            Box::pin(async move {
                let config = rocket.config();
                let address = SocketAddr::new(config.address, config.port);
                // `start` waits for this message until the server listens.
                let _ = sender.send(address);
            })
        });
        let rocket = build(config, objects.clone()).attach(liftoff);
        let rocket = rocket.ignite().await.expect("configure the platform fake");
        let shutdown = rocket.shutdown();
        tokio::spawn(rocket.launch());
        let address = receiver.await.expect("bind the port of the platform fake");
        Self {
            address,
            objects,
            shutdown,
        }
    }

    /// Returns the base URL of the API.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

/// Builds the HTTP server with all routes.
fn build(config: Config, objects: Arc<Objects>) -> Rocket<rocket::Build> {
    rocket::custom(config)
        .manage(objects)
        .mount("/", routes::all())
}
