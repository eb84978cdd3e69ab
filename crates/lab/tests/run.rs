//! Short simulations: equal seeds give equal results, ceilings hold, and every request ends.

use std::time::Duration;

use lab::rival;
use lab::rival::Rival;
use lab::simulation;
use lab::simulation::Fault;
use lab::simulation::Setup;
use lab::summary;
use lab::workload;
use lab::workload::Workload;
use rstest::rstest;

fn rival(name: &str) -> Rival {
    rival::all()
        .into_iter()
        .find(|rival| rival.policy.name == name)
        .expect("a policy of this name")
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
        let columns = summary::columns(&setup.workload, &simulation::run(&setup));
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
    let stats = simulation::run(&setup);
    for (class, counts) in setup.workload.classes.iter().zip(&stats.classes) {
        let is_model = !class.plain;
        assert!(
            !is_model || counts.peak <= u64::from(class.rule.decode_ceiling),
            "{}",
            class.name
        );
    }
}

#[rstest]
fn every_request_ends(#[values("least_loaded", "reserved", "deadline")] name: &str) {
    let setup = setup(workload::qureshi(), name, Fault::None);
    let stats = simulation::run(&setup);
    for counts in &stats.classes {
        assert_eq!(
            counts.offered,
            counts.complete + counts.refused + counts.failed
        );
        assert!(counts.good <= counts.complete);
        assert!(counts.offered > 0);
    }
}
