//! Splitting of a byte stream into whole events.

use relay::event;
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
fn a_large_event_is_released_whole() {
    let mut splitter = Splitter::new();
    let long = format!("id: 1\ndata: {}", "x".repeat(300_000));
    assert!(splitter.push(long.as_bytes()).unwrap().is_empty());
    assert!(splitter.is_partial());
    let whole = splitter.push(b"\n\n").unwrap();
    assert_eq!(whole, format!("{long}\n\n").as_bytes());
    assert!(!splitter.is_partial());
    assert_eq!(splitter.resumes_after(None), Ok(Some(1)));
}

/// A replica may send bytes that are no event without end: a line, fields, comments or unknown fields.
#[rstest]
#[case(b"x")]
#[case(b"data: t\n")]
#[case(b": c\n\n")]
#[case(b"x\n\n")]
fn bytes_without_an_event_end_a_stream(#[case] repeated: &[u8]) {
    let mut splitter = Splitter::new();
    splitter.push(b"id: 7\ndata: t\n\n").unwrap();
    let bytes = repeated.repeat(1000);
    let mut released = 0;
    let error = (0..1000).find_map(|_| match splitter.push(&bytes) {
        Ok(whole) => {
            assert!(!event::contains_event(&whole));
            released += whole.len();
            None
        }
        Err(error) => Some(error),
    });
    assert!(matches!(error, Some(Error::TooLong { .. })), "{error:?}");
    assert!(released < 1024 * 1024);
    assert_eq!(splitter.resume(None), Ok(Some(7)));
    assert!(splitter.push(&bytes).is_ok());
}

#[test]
fn comments_between_events_do_not_add_up() {
    let mut splitter = Splitter::new();
    for id in 1..200 {
        let comments = ": c\n\n".repeat(1000);
        let event = format!("{comments}id: {id}\ndata: t\n\n");
        assert_eq!(splitter.push(event.as_bytes()).unwrap(), event.as_bytes());
    }
    assert_eq!(splitter.resumes_after(None), Ok(Some(199)));
}

/// An event that arrives together with the start of a long one is not lost with it.
#[test]
fn events_before_a_long_one_are_released() {
    let mut splitter = Splitter::new();
    let long = "x".repeat(600_000);
    let events = "id: 1\ndata: a\n\n";
    let bytes = format!("{events}{long}");
    assert_eq!(splitter.push(bytes.as_bytes()).unwrap(), events.as_bytes());
    assert!(matches!(
        splitter.push(b"x"),
        Err(Error::TooLong { bytes: 600_001 })
    ));
    assert_eq!(splitter.resumes_after(None), Ok(Some(1)));
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

/// Guards against taking bytes that are no event for tokens of a run: they would seem to fill the memory of its replica.
#[rstest]
#[case::events("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2)]
#[case::line_ends_of_two_bytes("id: 1\r\ndata: a\r\n\r\n", 1)]
#[case::the_last_one_is_unfinished("id: 1\ndata: a\n\nid: 2\ndata: b\n", 2)]
#[case::ids_alone("id: 9\n\nid: 9\n\n", 0)]
#[case::data_without_an_id("data: a\n\n", 0)]
#[case::comments(": c\n\n", 0)]
#[case::nothing("", 0)]
fn events_with_an_id_are_counted(#[case] text: &str, #[case] expected: u64) {
    assert_eq!(event::count_events(text.as_bytes()), expected);
}
