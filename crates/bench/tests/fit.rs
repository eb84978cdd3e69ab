//! Checks fitted lines and ranges.

use bench::fit::Line;
use bench::fit::Range;
use rstest::rstest;

const CLOSE: f64 = 1e-9;

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < CLOSE
}

#[rstest]
#[case(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)], 3.0, 2.0)]
#[case(&[(0.0, -1.0), (10.0, -6.0)], -1.0, -0.5)]
#[case(&[(3.0, 2.0), (3.0, 4.0)], 3.0, 0.0)]
fn a_line_goes_through_its_points(
    #[case] points: &[(f64, f64)],
    #[case] base: f64,
    #[case] slope: f64,
) {
    let line = Line::new(points);
    assert!(close(line.base, base), "{line}");
    assert!(close(line.slope, slope), "{line}");
}

#[rstest]
fn the_worst_point_and_the_explained_share_are_computed() {
    let exact = Line::new(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]);
    assert!(close(exact.r2, 1.0) && close(exact.worst, 0.0));
    let bent = Line::new(&[(0.0, 0.0), (1.0, 0.0), (2.0, 3.0)]);
    assert!(close(bent.at(1.0), 1.0) && close(bent.worst, 1.0 / 3.0));
    assert!(bent.r2 > 0.7 && bent.r2 < 0.8, "{bent}");
}

#[rstest]
#[case(&[3.0, 1.0, 2.0], 1.0, 2.0, 3.0)]
#[case(&[4.0, 1.0, 2.0, 3.0], 1.0, 2.5, 4.0)]
#[case(&[7.0], 7.0, 7.0, 7.0)]
fn a_range_has_its_median(
    #[case] values: &[f64],
    #[case] least: f64,
    #[case] median: f64,
    #[case] most: f64,
) {
    let range = Range::new(values);
    assert!(close(range.least, least) && close(range.median, median) && close(range.most, most));
}
