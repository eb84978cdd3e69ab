//! Listening on the addresses of the settings.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::error::Error;

/// Listens on `address`, which the settings call `step`.
///
/// # Errors
/// `Listen` if the address cannot be listened on.
pub async fn bind(step: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| Error::Listen {
            step,
            address,
            cause,
        })
}
