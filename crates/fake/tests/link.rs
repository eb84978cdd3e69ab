//! Tests of the link stand-in.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use fake::control;
use fake::link;
use fake::link::Route;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const SHORT: Duration = Duration::from_millis(200);

/// Starts a link to an echo server. Returns its control address and the port of its route.
async fn start_link_to_echo() -> (SocketAddr, u16) {
    let echo = TcpListener::bind(ANY).await.unwrap();
    let target = echo.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = echo.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.into_split();
                let _ended = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    let control = link::start(&[Route { port: 0, target }], ANY)
        .await
        .unwrap();
    let record = control::record(control).await.unwrap();
    let port = record["routes"][0]["port"].as_u64().unwrap() as u16;
    (control, port)
}

async fn set_mode(control: SocketAddr, port: u16, mode: &str, ms: u64) {
    let body = json!({ "port": port, "mode": mode, "ms": ms });
    control::post(control, "/control/link", &body)
        .await
        .unwrap();
}

async fn exchange_ping(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"ping").await?;
    let mut answer = [0; 4];
    stream.read_exact(&mut answer).await?;
    assert_eq!(&answer, b"ping");
    Ok(())
}

#[rstest]
#[tokio::test]
async fn cut_closes_open_and_new_connections() {
    let (control, port) = start_link_to_echo().await;
    let mut old = TcpStream::connect((Ipv4Addr::LOCALHOST, port))
        .await
        .unwrap();
    exchange_ping(&mut old).await.unwrap();
    set_mode(control, port, "cut", 0).await;
    let mut new = TcpStream::connect((Ipv4Addr::LOCALHOST, port))
        .await
        .unwrap();
    assert!(exchange_ping(&mut old).await.is_err());
    assert!(exchange_ping(&mut new).await.is_err());
    set_mode(control, port, "pass", 0).await;
    let mut reconnected = TcpStream::connect((Ipv4Addr::LOCALHOST, port))
        .await
        .unwrap();
    exchange_ping(&mut reconnected).await.unwrap();
}

#[rstest]
#[tokio::test]
async fn hanging_link_holds_bytes_until_it_passes_again() {
    let (control, port) = start_link_to_echo().await;
    let mut stream = TcpStream::connect((Ipv4Addr::LOCALHOST, port))
        .await
        .unwrap();
    exchange_ping(&mut stream).await.unwrap();
    set_mode(control, port, "hang", 0).await;
    stream.write_all(b"pong").await.unwrap();
    let mut answer = [0; 4];
    let held = tokio::time::timeout(SHORT, stream.read_exact(&mut answer)).await;
    assert!(held.is_err());
    set_mode(control, port, "pass", 0).await;
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"pong");
}

#[rstest]
#[tokio::test]
async fn delay_applies_in_both_directions() {
    let (control, port) = start_link_to_echo().await;
    let mut stream = TcpStream::connect((Ipv4Addr::LOCALHOST, port))
        .await
        .unwrap();
    exchange_ping(&mut stream).await.unwrap();
    set_mode(control, port, "delay", 100).await;
    let begin = Instant::now();
    exchange_ping(&mut stream).await.unwrap();
    assert!(begin.elapsed() >= SHORT, "{:?}", begin.elapsed());
}

#[rstest]
#[tokio::test]
async fn repeating_link_sends_an_answer_again_in_place_of_the_next() {
    let (control, port) = start_link_to_echo().await;
    set_mode(control, port, "repeat", 0).await;
    let mut stream = TcpStream::connect((Ipv4Addr::LOCALHOST, port))
        .await
        .unwrap();
    exchange_ping(&mut stream).await.unwrap();
    stream.write_all(b"next").await.unwrap();
    let mut answers = [0; 8];
    stream.read_exact(&mut answers).await.unwrap();
    assert_eq!(&answers, b"pingnext");
}
