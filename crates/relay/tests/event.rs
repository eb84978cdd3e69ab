//! Whole events out of bytes cut anywhere.

use relay::event::Error;
use relay::event::Splitter;
use rstest::rstest;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[rstest]
#[case(1)]
#[case(2)]
#[case(7)]
#[case(16)]
#[case(1_000)]
fn nothing_is_lost_wherever_the_bytes_are_cut(#[case] size: usize) {
    let mut splitter = Splitter::new();
    let mut passed = Vec::new();
    for part in STREAM.chunks(size) {
        let whole = splitter.push(part);
        assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
        passed.extend(whole);
    }
    passed.extend(splitter.finish());
    assert_eq!(passed, STREAM);
    assert_eq!(splitter.resumes_after(None), Ok(Some(3)));
}

#[test]
fn the_last_id_is_that_of_a_whole_event() {
    let mut splitter = Splitter::new();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(splitter.resumes_after(None), Ok(Some(1)));
    assert!(splitter.is_partial());
}

#[test]
fn an_unfinished_event_is_dropped_before_another_replica_goes_on() {
    let mut splitter = Splitter::new();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(splitter.resume(None), Ok(Some(1)));
    let passed = splitter.push(b"id: 2\ndata: b\n\n");
    assert_eq!(passed, b"id: 2\ndata: b\n\n");
}

#[test]
fn carriage_returns_end_lines_too() {
    let mut splitter = Splitter::new();
    let passed = splitter.push(b"id: 4\r\ndata: a\r\n\r\nid");
    assert_eq!(passed, b"id: 4\r\ndata: a\r\n\r\n");
    assert_eq!(splitter.resumes_after(None), Ok(Some(4)));
}

#[test]
fn an_event_that_is_too_long_to_be_held_is_unfinished_until_its_empty_line_comes() {
    let mut splitter = Splitter::new();
    let long = format!("id: 1\ndata: {}", "x".repeat(300_000));
    assert_eq!(splitter.push(long.as_bytes()), long.as_bytes());
    assert!(splitter.is_partial());
    assert_eq!(splitter.push(b"\n\n"), b"\n\n");
    assert!(!splitter.is_partial());
    // Its id is no longer known.
    assert_eq!(splitter.resumes_after(None), Err(Error::Unnumbered));
    splitter.push(b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.resumes_after(None), Ok(Some(2)));
}
