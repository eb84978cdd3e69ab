//! The demo: starts a small fleet on loopback, sends requests through it, and summarizes the
//! counters of the stand-ins.

mod booking;
mod draft;
mod failure;
mod output;
mod report;
pub mod stay;
mod summary;

use crate::address::Addresses;
use crate::caller::Caller;
use crate::demo::report::Report;
use crate::error::Error;
use crate::fleet::Fleet;
use crate::plan::Plan;
use crate::plan::Replica;
use crate::plan::Role;
use crate::plan::Timing;

/// Table that the demo applies.
const TABLE: &str = include_str!("../../../../docs/tables/krmiva.yaml");
/// Customer of all requests.
const CUSTOMER: &str = "krmiva";
/// Time for which callers may cache addresses; a planned stop takes a multiple of it.
const ADDRESS_TTL_MS: u64 = 2_000;
/// Data centres, one daemon in each.
const DATA_CENTRES: [&str; 3] = ["osijek-a", "vinkovci-b", "dakovo-c"];
/// Service of the language model.
const MODEL: &str = "ration";
/// Pool of plain applications.
const ORDERING: &str = "ordering";

/// Runs the demo and returns whether all checks passed.
///
/// # Errors
///
/// Returns the error that stopped the demo.
pub async fn run() -> Result<bool, Error> {
    let mut report = Report::new();
    output::title("Start: a platform, model engines and applications (stand-ins), three daemons");
    let mut fleet = Fleet::start(plan()).await?;
    list(&fleet);

    output::title("Table: `waxwing table apply`");
    output::lines(&fleet.apply(TABLE).await?);
    fleet.wait_until_ready().await?;

    let caller = Caller::new(CUSTOMER);
    output::title("Addresses: any instance lists those to use");
    let addresses = addresses(&fleet, &caller).await?;

    draft::run(&caller, &addresses, &mut report).await?;
    booking::run(&caller, &addresses, &mut report).await?;
    failure::drain(&fleet, &caller, &addresses, &mut report).await?;
    output::title("Explain: why was the first draft placed as it was?");
    let explained = fleet.run_waxwing(&["explain", draft::FIRST]).await?;
    output::lines(&explained);
    report.check(
        "a decision is explained for the first draft",
        explained.contains(draft::FIRST),
    );

    failure::resume(&mut fleet, &caller, &addresses, &mut report).await?;
    summary::run(&fleet, &mut report).await?;
    failure::stop(&mut fleet, &mut report).await?;
    Ok(report.finish())
}

fn plan() -> Plan {
    let timing = Timing {
        address_ttl_ms: ADDRESS_TTL_MS,
        ..Timing::default()
    };
    let daemons = (1..).zip(DATA_CENTRES);
    let plan = daemons.fold(
        Plan::new().with_timing(timing),
        |plan, (number, data_centre)| plan.with_daemon(&format!("entry-{number}"), data_centre),
    );
    (1..)
        .zip(DATA_CENTRES)
        .fold(plan, |plan, (number, data_centre)| {
            let name = |kind: &str| format!("{kind}-{number}");
            plan.with_replica(Replica::new(
                &name("prefill"),
                data_centre,
                MODEL,
                Role::Prefill,
            ))
            .with_replica(Replica::new(
                &name("decode"),
                data_centre,
                MODEL,
                Role::Decode,
            ))
            .with_replica(Replica::new(
                &name("ordering"),
                data_centre,
                ORDERING,
                Role::Plain,
            ))
        })
}

fn list(fleet: &Fleet) {
    for daemon in &fleet.plan().daemons {
        let listen = &fleet.daemons[&daemon.name];
        output::line(&format!(
            "{} in {}: callers {}, admin {}",
            daemon.name, daemon.data_centre, listen.caller, listen.admin
        ));
    }
    for replica in &fleet.plan().replicas {
        output::line(&format!(
            "{} in {}: {} of {}, {} slots",
            replica.name,
            replica.data_centre,
            replica.role.as_str(),
            replica.service,
            replica.slots
        ));
    }
}

async fn addresses(fleet: &Fleet, caller: &Caller) -> Result<Addresses, Error> {
    let asked = &fleet.daemon("entry-1")?.caller;
    let addresses = caller.addresses(asked, Some(DATA_CENTRES[0])).await?;
    for address in &addresses.addresses {
        output::line(&format!(
            "{} ({}, {}), weight {}, keys begin with {}",
            address.address,
            address.instance,
            address.data_centre,
            address.weight,
            address.key_prefix
        ));
    }
    output::line(&format!("valid for {} ms", addresses.ttl_ms));
    Ok(addresses)
}
