//! Splitting of a byte stream into whole events.

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
fn nothing_is_lost_wherever_the_bytes_are_split(#[case] size: usize) {
    let mut splitter = Splitter::new();
    let mut forwarded = Vec::new();
    for part in STREAM.chunks(size) {
        let whole = splitter.push(part).unwrap();
        assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
        forwarded.extend(whole);
    }
    forwarded.extend(splitter.finish().unwrap());
    assert_eq!(forwarded, STREAM);
    assert_eq!(splitter.resumes_after(None), Ok(Some(3)));
}

#[test]
fn the_last_id_is_that_of_a_whole_event() {
    let mut splitter = Splitter::new();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(splitter.resumes_after(None), Ok(Some(1)));
    assert!(splitter.is_partial());
}

#[test]
fn an_unfinished_event_is_dropped_by_a_resume() {
    let mut splitter = Splitter::new();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(splitter.resume(None), Ok(Some(1)));
    let forwarded = splitter.push(b"id: 2\ndata: b\n\n").unwrap();
    assert_eq!(forwarded, b"id: 2\ndata: b\n\n");
}

#[test]
fn carriage_returns_end_lines_too() {
    let mut splitter = Splitter::new();
    let forwarded = splitter.push(b"id: 4\r\ndata: a\r\n\r\nid").unwrap();
    assert_eq!(forwarded, b"id: 4\r\ndata: a\r\n\r\n");
    assert_eq!(splitter.resumes_after(None), Ok(Some(4)));
}

#[test]
fn an_event_too_large_to_buffer_is_unfinished_until_its_empty_line() {
    let mut splitter = Splitter::new();
    let long = format!("id: 1\ndata: {}", "x".repeat(300_000));
    assert_eq!(splitter.push(long.as_bytes()).unwrap(), long.as_bytes());
    assert!(splitter.is_partial());
    assert_eq!(splitter.push(b"\n\n").unwrap(), b"\n\n");
    assert!(!splitter.is_partial());
    // The id of the split event is unknown.
    assert_eq!(splitter.resumes_after(None), Err(Error::Unnumbered));
    splitter.push(b"id: 2\ndata: b\n\n").unwrap();
    assert_eq!(splitter.resumes_after(None), Ok(Some(2)));
}

/// A replica that repeats or skips events, or has no numeric id, is running the request anew.
#[rstest]
#[case(b"id: 1\ndata: a\n\n")]
#[case(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n")]
#[case(b"id: 4\ndata: d\n\n")]
#[case(b"id: x\ndata: d\n\n")]
fn a_resumed_stream_must_continue_with_the_next_event(#[case] first: &[u8]) {
    let mut splitter = Splitter::new();
    splitter.push(b"id: 2\ndata: b\n\n").unwrap();
    splitter.resume(None).unwrap();
    assert_eq!(splitter.push(first), Err(Error::Misplaced { last: 2 }));
}

#[test]
fn a_resumed_stream_must_follow_the_last_event_of_the_caller() {
    let mut splitter = Splitter::new();
    assert_eq!(splitter.resume(Some(7)), Ok(Some(7)));
    assert_eq!(
        splitter.push(b"id: 9\ndata: i\n\n"),
        Err(Error::Misplaced { last: 7 })
    );
}

/// The rest of an event that was split for its size has no fields, whatever it starts with.
#[test]
fn the_rest_of_a_split_event_has_no_id() {
    let mut splitter = Splitter::new();
    let mut long = b"data: ".to_vec();
    long.resize(300_000, b'x');
    assert!(!splitter.push(&long).unwrap().is_empty());
    splitter.push(b"id: 7\n\n").unwrap();
    assert_eq!(splitter.resumes_after(None), Err(Error::Unnumbered));
    splitter.push(b"id: 8\ndata: b\n\n").unwrap();
    assert_eq!(splitter.resumes_after(None), Ok(Some(8)));
}

/// Ids need not increase by one. If they did not, a gap at the resume is accepted.
#[rstest]
#[case(b"id: 9\ndata: c\n\n", true)]
#[case(b"id: 6\ndata: c\n\n", false)]
#[case(b"id: 2\ndata: a\n\n", false)]
fn a_stream_whose_ids_skip_numbers_resumes_with_any_later_id(
    #[case] first: &[u8],
    #[case] resumed: bool,
) {
    let mut splitter = Splitter::new();
    splitter.push(b"id: 2\ndata: a\n\n").unwrap();
    splitter.push(b"id: 6\ndata: b\n\n").unwrap();
    splitter.resume(None).unwrap();
    assert_eq!(splitter.push(first).is_ok(), resumed);
}
