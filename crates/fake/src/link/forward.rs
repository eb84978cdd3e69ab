//! Forwards one connection and applies the mode of its route.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use super::last_answer::LastAnswer;

/// Maximum number of chunks in flight in one direction of a connection.
const CHUNKS: usize = 64;
/// Maximum size of a chunk.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a route does with its connections, both open and new ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Mode {
    /// Forwards bytes unchanged.
    #[default]
    Pass,
    /// Closes open connections, and new ones as soon as they are accepted.
    Cut,
    /// Keeps connections open but forwards nothing until the mode changes.
    Hang,
    /// Forwards each byte after a delay.
    Delay,
    /// Sends each answer a second time when the next request arrives on the same connection.
    Repeat,
}

/// Direction of bytes.
#[derive(Debug, Clone, Copy)]
enum Direction {
    /// From the near side, which sends requests.
    Forth,
    /// From the far side, which answers.
    Back,
}

/// Mode of a route, with its delay.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct State {
    pub(super) mode: Mode,
    pub(super) delay: Duration,
}

/// Forwards between `near` and a new connection to `target` until either side closes or the route
/// is cut.
pub(super) async fn forward(near: TcpStream, target: SocketAddr, state: watch::Receiver<State>) {
    let mut opening = state.clone();
    let cut = state.clone();
    let joined = async {
        wait_while_hanging(&mut opening).await?;
        let far = TcpStream::connect(target).await.ok()?;
        near.set_nodelay(true).ok()?;
        far.set_nodelay(true).ok()?;
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let (there, sent) = mpsc::channel(CHUNKS);
        let (back, returned) = mpsc::channel(CHUNKS);
        let answer = LastAnswer::new(back.downgrade());
        tokio::join!(
            read(near_read, there, state.clone(), Direction::Forth, &answer),
            write(far_write, sent, state.clone()),
            read(far_read, back, state.clone(), Direction::Back, &answer),
            write(near_write, returned, state.clone())
        );
        Some(())
    };
    tokio::select! {
        _ = joined => {}
        () = wait_for_cut(cut) => {}
    }
}

async fn wait_for_cut(mut state: watch::Receiver<State>) {
    // An error means that the forwarder was dropped, which ends its connections too.
    let _cut = state.wait_for(|state| state.mode == Mode::Cut).await;
}

async fn wait_while_hanging(state: &mut watch::Receiver<State>) -> Option<()> {
    state
        .wait_for(|state| state.mode != Mode::Hang)
        .await
        .ok()?;
    Some(())
}

/// Reads the bytes of one direction until that side closes.
async fn read(
    mut from: OwnedReadHalf,
    chunks: mpsc::Sender<(Instant, Bytes)>,
    state: watch::Receiver<State>,
    direction: Direction,
    answer: &LastAnswer,
) {
    loop {
        let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
        match from.read_buf(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        let state = *state.borrow();
        let delay = match state.mode {
            Mode::Delay => state.delay,
            Mode::Pass | Mode::Cut | Mode::Hang | Mode::Repeat => Duration::ZERO,
        };
        let chunk = buffer.freeze();
        match direction {
            _ if state.mode != Mode::Repeat => {}
            Direction::Forth => answer.repeat().await,
            Direction::Back => answer.append(&chunk),
        }
        if chunks.send((Instant::now() + delay, chunk)).await.is_err() {
            return;
        }
    }
}

async fn write(
    mut to: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<(Instant, Bytes)>,
    mut state: watch::Receiver<State>,
) {
    while let Some((due, chunk)) = chunks.recv().await {
        tokio::time::sleep_until(due).await;
        let passing = wait_while_hanging(&mut state).await;
        if passing.is_none() || to.write_all(&chunk).await.is_err() {
            return;
        }
    }
    // A hanging connection must not forward the close either.
    if wait_while_hanging(&mut state).await.is_some() {
        let _closed = to.shutdown().await;
    }
}
