//! A fake of the platform's object API over HTTP, with its faults.

mod objects;
mod routes;

pub use objects::{Fault, Objects, VmRow};

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use rocket::fairing::AdHoc;
use rocket::{Config, Rocket, Shutdown};
use tokio::sync::oneshot;

/// A running fake of the platform.
#[derive(Debug)]
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its objects and faults.
    pub objects: Arc<Objects>,
    shutdown: Shutdown,
}

impl Platform {
    /// Starts the platform on loopback; port 0 lets the system choose.
    ///
    /// # Panics
    ///
    /// Panics if the port is taken.
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
                // The receiver waits until the server is up.
                let _ = sender.send(address);
            })
        });
        let rocket = build(config, objects.clone()).attach(liftoff);
        let rocket = rocket.ignite().await.expect("platform fake ignites");
        let shutdown = rocket.shutdown();
        tokio::spawn(rocket.launch());
        let address = receiver.await.expect("platform fake binds its port");
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

/// Builds the server.
fn build(config: Config, objects: Arc<Objects>) -> Rocket<rocket::Build> {
    rocket::custom(config)
        .manage(objects)
        .mount("/", routes::all())
}
