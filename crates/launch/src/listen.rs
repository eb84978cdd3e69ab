//! Listens on the addresses in the settings.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::error::Error;

/// Listens on `address`; `step` is its name in the settings.
///
/// # Errors
/// [`Error::Listen`] if listening fails.
pub async fn bind(step: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| Error::Listen {
            step,
            address,
            cause,
        })
}
