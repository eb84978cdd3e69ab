//! Measures the membership protocol in virtual time and checks the results against bounds.
//!
//! Run with `--nocapture` to print the results.

mod net;

use std::time::Duration;
use std::time::Instant;

use fleet::member::State;
use ident::Incarnation;
use net::Net;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn converged(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, seed);
    net.converge(SECOND * 30);
    net.run(SECOND * 10);
    net.reset_counters();
    net
}

/// Milliseconds from a death until the first daemon and until all others detect it.
fn measure_detection(net: &mut Net, victim: usize) -> (u64, u64) {
    let run: Incarnation = net.fleet(victim).local_member().incarnation;
    net.kill(victim);
    let others = net.count() - 1;
    let first = net
        .run_until(SECOND * 10, |net| net.dead_at(run) > 0)
        .expect("no daemon detected the death");
    let rest = net
        .run_until(SECOND * 10, |net| net.dead_at(run) == others)
        .expect("not all daemons detected the death");
    (first.as_millis() as u64, (first + rest).as_millis() as u64)
}

fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    values[(values.len() - 1) * percent / 100]
}

#[rstest]
#[case(9, 200, 1_500, 2_500)]
#[case(100, 20, 2_500, 3_500)]
#[case(400, 2, 3_500, 4_500)]
fn a_death_is_detected_in_time(
    #[case] count: usize,
    #[case] trials: u64,
    #[case] median_ms: u64,
    #[case] max_ms: u64,
) {
    let mut firsts = Vec::new();
    let mut alls = Vec::new();
    for seed in 0..trials {
        let mut net = converged(count, seed);
        net.run(Duration::from_millis(seed * 17 % 200));
        let (first, all) = measure_detection(&mut net, count / 2);
        firsts.push(first);
        alls.push(all);
    }
    let first = [50, 99, 100].map(|percent| percentile(&mut firsts, percent));
    let all = [50, 99, 100].map(|percent| percentile(&mut alls, percent));
    println!(
        "{count} daemons, {trials} deaths: first {first:?} ms, all {all:?} ms (p50, p99, max)"
    );
    assert!(all[0] <= median_ms && all[2] <= max_ms);
}

#[rstest]
#[case(9, 10, 600, 0)]
#[case(9, 50, 600, 1)]
#[case(100, 10, 60, 0)]
#[case(100, 50, 60, 1)]
fn message_loss_causes_few_false_deaths(
    #[case] count: usize,
    #[case] loss: u32,
    #[case] seconds: u32,
    #[case] max_ended: usize,
) {
    let mut net = converged(count, 77);
    net.loss_permille = loss;
    net.run(SECOND * seconds);
    let suspected = net
        .changes
        .iter()
        .filter(|change| change.member.state == State::Suspect)
        .count();
    let ended =
        (0..count).filter(|index| net.dead_at(net.fleet(*index).local_member().incarnation) > 0);
    let ended = ended.count();
    println!(
        "{count} daemons, {loss} in 1000 lost, {seconds} s: {ended} falsely dead, {suspected} suspicions seen"
    );
    assert!(ended <= max_ended);
}

#[rstest]
#[case(9, 60, 4_500, 16)]
#[case(100, 30, 4_500, 64)]
#[case(400, 5, 4_500, 256)]
fn traffic_and_state_are_bounded(
    #[case] count: usize,
    #[case] seconds: u32,
    #[case] max_bytes: u64,
    #[case] max_kib: usize,
) {
    let mut net = converged(count, 5);
    net.run(SECOND * 5);
    net.reset_counters();
    let started = Instant::now();
    net.run(SECOND * seconds);
    let cpu_time = started.elapsed() / (count as u32 * seconds);
    let seconds = u64::from(seconds);
    let total: u64 = net.sent.iter().map(|sent| sent.bytes).sum::<u64>() / count as u64 / seconds;
    let max_rate = net.sent.iter().map(|sent| sent.bytes).max().unwrap_or(0) / seconds;
    let messages: u64 = net.sent.iter().map(|sent| sent.messages).sum();
    let messages = messages as f64 / count as f64 / seconds as f64;
    let state = net.fleet(0).state_bytes();
    println!(
        "{count} daemons: {messages:.1} messages, {total} bytes sent a second (most {max_rate}), {state} bytes of state, \
         {cpu_time:?} of processor time a second with the network's"
    );
    assert!(max_rate <= max_bytes);
    assert!(state <= max_kib * 1024);
}

// With more than a few suspicions at once, a daemon waits until it can tell deaths from a
// partition, so declaring a whole data centre dead takes longer than declaring a single daemon.
// Ownership moves earlier, when the members go out of reach.
#[rstest]
#[case(9, 3)]
#[case(99, 11)]
fn the_death_of_a_data_centre_is_detected_in_time(
    #[case] count: usize,
    #[case] data_centres: usize,
) {
    let mut net = converged(count, 21);
    let victims: Vec<usize> = (0..count)
        .filter(|index| index % data_centres == 0)
        .collect();
    let runs: Vec<Incarnation> = victims
        .iter()
        .map(|victim| net.fleet(*victim).local_member().incarnation)
        .collect();
    for victim in &victims {
        net.kill(*victim);
    }
    let left = count - victims.len();
    let lost = net
        .run_until(SECOND * 10, Net::all_agree)
        .expect("victims are not out of reach everywhere");
    let dead = |net: &Net| runs.iter().all(|run| net.dead_at(*run) == left);
    let rest = net
        .run_until(SECOND * 10, dead)
        .expect("victims are not dead everywhere");
    let known = lost + rest;
    println!(
        "{} of {count} die at once: out of reach after {lost:?}, dead after {known:?}",
        victims.len()
    );
    assert!(lost <= SECOND * 4);
    assert!(known <= SECOND * 6);
    let ended = net
        .changes
        .iter()
        .filter(|change| change.member.state == State::Dead);
    assert_eq!(
        ended.count(),
        victims.len() * left,
        "another daemon was declared dead"
    );
}
