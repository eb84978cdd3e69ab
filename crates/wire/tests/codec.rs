//! Frames survive a round trip; truncated, corrupted and oversized bytes are rejected.

mod sample;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use rstest::rstest;
use wire::Decoder;
use wire::Error;
use wire::Frame;
use wire::MAX_BODY;
use wire::VERSION;

const LENGTH_LEN: usize = 4;
const HEADER_LEN: usize = 6;

/// All frames that `bytes` decode to, and the error that ended it.
fn decode(bytes: &[u8]) -> (Vec<Frame>, Option<Error>) {
    let mut decoder = Decoder::new();
    decoder.extend(bytes);
    let mut frames = Vec::new();
    loop {
        match decoder.next_frame() {
            Ok(Some(frame)) => frames.push(frame),
            Ok(None) => return (frames, None),
            Err(error) => return (frames, Some(error)),
        }
    }
}

/// A frame with this length, version and body, which need not agree.
fn raw(length: usize, version: u16, body: &[u8]) -> Vec<u8> {
    let mut bytes = (length as u32).to_be_bytes().to_vec();
    bytes.extend(version.to_be_bytes());
    bytes.extend(body);
    bytes
}

fn encoded(index: usize) -> Vec<u8> {
    let frames = sample::frames();
    let frame = &frames[index % frames.len()];
    wire::encode(frame).expect("samples are small").to_vec()
}

#[test]
fn each_body_survives_a_round_trip() {
    for frame in sample::frames() {
        let bytes = wire::encode(&frame).expect("samples are small");
        let (frames, error) = decode(&bytes);
        assert_eq!(error, None);
        assert_eq!(format!("{frames:?}"), format!("{:?}", [frame]));
    }
}

#[test]
fn another_version_is_rejected_with_its_number() {
    let mut bytes = encoded(0);
    bytes[LENGTH_LEN..HEADER_LEN].copy_from_slice(&(VERSION + 1).to_be_bytes());
    let theirs = VERSION + 1;
    assert_eq!(decode(&bytes).1, Some(Error::Version { theirs }));
}

#[rstest]
#[case::nothing(0)]
#[case::less_than_a_version(1)]
#[case::one_too_many(MAX_BODY + 1)]
#[case::most(u32::MAX as usize)]
fn a_length_out_of_bounds_is_rejected_at_once(#[case] length: usize) {
    let bytes = raw(length, VERSION, &[]);
    assert_eq!(
        decode(&bytes[..LENGTH_LEN]).1,
        Some(Error::TooLong { length })
    );
}

#[test]
fn an_oversized_frame_is_not_encoded() {
    let frame = sample::large(MAX_BODY + 1);
    assert!(matches!(wire::encode(&frame), Err(Error::TooLong { .. })));
}

#[test]
fn the_largest_frame_is_decoded() {
    let overhead = wire::encode(&sample::large(MAX_BODY / 2))
        .expect("half is small")
        .len()
        - MAX_BODY / 2;
    let frame = sample::large(MAX_BODY + LENGTH_LEN - overhead);
    let bytes = wire::encode(&frame).expect("it just fits");
    assert_eq!(bytes.len(), LENGTH_LEN + MAX_BODY);
    let (frames, error) = decode(&bytes);
    assert_eq!((frames.len(), error), (1, None));
}

proptest! {
    #[test]
    fn chunks_of_any_size_give_the_same_frames(order in vec(any::<usize>(), 1..12), size in 1..64_usize) {
        let bytes: Vec<u8> = order.iter().flat_map(|index| encoded(*index)).collect();
        let mut decoder = Decoder::new();
        let mut frames = Vec::new();
        for chunk in bytes.chunks(size) {
            decoder.extend(chunk);
            while let Some(frame) = decoder.next_frame().expect("whole frames") {
                frames.push(frame);
            }
        }
        let again: Vec<u8> = frames
            .iter()
            .flat_map(|frame| wire::encode(frame).expect("it was encoded before"))
            .collect();
        prop_assert_eq!(again, bytes);
    }

    #[test]
    fn a_truncated_frame_is_awaited_or_rejected(index: usize, at: usize) {
        let complete = encoded(index);
        let cut = at % complete.len();
        let (frames, error) = decode(&complete[..cut]);
        prop_assert!(frames.is_empty());
        prop_assert_eq!(error, None);
        // The same bytes with a length that makes them look complete.
        if cut > HEADER_LEN {
            let bytes = raw(cut - LENGTH_LEN, VERSION, &complete[HEADER_LEN..cut]);
            let (frames, error) = decode(&bytes);
            prop_assert!(frames.is_empty());
            let is_body = matches!(error, Some(Error::Body { .. }));
            prop_assert!(is_body);
        }
    }

    #[test]
    fn trailing_bytes_are_rejected(index: usize, rest in vec(any::<u8>(), 1..32)) {
        let complete = encoded(index);
        let mut body = complete[HEADER_LEN..].to_vec();
        body.extend(rest);
        let (frames, error) = decode(&raw(body.len() + 2, VERSION, &body));
        prop_assert!(frames.is_empty());
        let is_body = matches!(error, Some(Error::Body { .. }));
        prop_assert!(is_body);
    }

    #[test]
    fn garbage_never_panics(bytes in vec(any::<u8>(), 0..512)) {
        decode(&bytes);
        decode(&raw(bytes.len() + 2, VERSION, &bytes));
    }

    #[test]
    fn a_corrupted_frame_never_panics(index: usize, at: usize, with: u8) {
        let mut bytes = encoded(index);
        let at = HEADER_LEN + at % (bytes.len() - HEADER_LEN);
        bytes[at] = with;
        let (frames, error) = decode(&bytes);
        prop_assert!(frames.len() == 1 || error.is_some());
    }
}
