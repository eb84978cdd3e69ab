//! One forwarded connection.

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

/// Chunks under direction in one direction of one connection.
const CHUNKS: usize = 64;
/// Size of a chunk.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a route does with its connections, old and new.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Mode {
    /// Forwards.
    #[default]
    Pass,
    /// Closes connections, also new ones as soon as they are accepted.
    Cut,
    /// Keeps connections open and forwards nothing until the mode changes.
    Hang,
    /// Forwards each byte later.
    Delay,
    /// Sends each answer a second time, as soon as the next request comes on the same connection.
    Repeat,
}

/// Which direction bytes go.
#[derive(Debug, Clone, Copy)]
enum Direction {
    /// From the near side, which asks.
    Forth,
    /// From the far side, which answers.
    Back,
}

/// The mode of a route, and its delay.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct State {
    pub(super) mode: Mode,
    pub(super) delay: Duration,
}

/// Joins `near` with a new connection to `target` until either side closes or the route is cut.
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
    // An error means that the forwarder is gone, and its connections go with it.
    let _cut = state.wait_for(|state| state.mode == Mode::Cut).await;
}

async fn wait_while_hanging(state: &mut watch::Receiver<State>) -> Option<()> {
    state
        .wait_for(|state| state.mode != Mode::Hang)
        .await
        .ok()?;
    Some(())
}

/// Reads the bytes of one direction until its side ends.
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
    // A connection that hangs must not show its end either.
    if wait_while_hanging(&mut state).await.is_some() {
        let _closed = to.shutdown().await;
    }
}
