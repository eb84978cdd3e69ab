//! Runs the stand-in for a network link.

use fake::link::Link;
use fake::link::Route;
use fake::options;
use fake::options::Options;
use fake::web;

const PROGRAM: &str = "fake-link";

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let values = Options::new(PROGRAM)
        .with_many(
            "route",
            "port=ip:port; the port is opened at the IP address of --listen; repeatable",
        )
        .parse();
    let routes: Result<Vec<Route>, _> = values.all("route").iter().map(|r| r.parse()).collect();
    let routes = match routes {
        Ok(routes) => routes,
        Err(e) => options::exit_with_error(PROGRAM, &e.to_string()),
    };
    let listener = web::bind(values.listen()).await?;
    let address = listener.local_addr()?;
    let link = Link::bind(address.ip(), &routes).await?;
    println!("listening {address}");
    link.serve(listener).await
}
