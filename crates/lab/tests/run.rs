//! Short runs: equal seeds give equal figures, and what the policy in force must not do.

use std::time::Duration;

use lab::rival;
use lab::rival::Rival;
use lab::summary;
use lab::workload;
use lab::workload::Workload;
use lab::world;
use lab::world::Fault;
use lab::world::Setup;
use rstest::rstest;

fn rival(name: &str) -> Rival {
    rival::all()
        .into_iter()
        .find(|rival| rival.policy.name == name)
        .expect("a rival")
}

fn setup(workload: Workload, name: &str, fault: Fault) -> Setup {
    let rival = rival(name);
    Setup {
        workload,
        rival,
        load: 1.2,
        fault,
        seed: 3,
        span: Duration::from_mins(1),
    }
}

#[rstest]
#[case("two_choices")]
#[case("deadline")]
#[case("oracle")]
fn equal_seeds_give_equal_figures(#[case] name: &str) {
    let setup = setup(workload::krmiva(), name, Fault::None);
    let line = || {
        let columns = summary::columns(&setup.workload, &world::run(&setup));
        summary::csv(name, setup.seed, &columns)
    };
    assert_eq!(line(), line());
}

#[rstest]
fn no_ceiling_is_exceeded(
    #[values(
        Fault::None,
        Fault::ReplicaDies,
        Fault::LinkStalls,
        Fault::ReportsFreeze,
        Fault::EventsLost,
        Fault::DaemonDies,
        Fault::CallersCancel
    )]
    fault: Fault,
) {
    let setup = setup(workload::krmiva(), "deadline", fault);
    let figure = world::run(&setup);
    for (class, tally) in setup.workload.classes.iter().zip(&figure.classes) {
        let is_model = !class.plain;
        assert!(
            !is_model || tally.peak <= u64::from(class.rule.decode_ceiling),
            "{}",
            class.name
        );
    }
}

#[rstest]
fn every_request_ends(#[values("least_loaded", "reserved", "deadline")] name: &str) {
    let setup = setup(workload::qureshi(), name, Fault::None);
    let figure = world::run(&setup);
    for tally in &figure.classes {
        assert_eq!(tally.offered, tally.complete + tally.refused + tally.failed);
        assert!(tally.good <= tally.complete);
        assert!(tally.offered > 0);
    }
}
