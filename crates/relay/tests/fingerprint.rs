//! Recognition of equal requests.

use relay::fingerprint::Fingerprint;
use rstest::rstest;

#[test]
fn equal_requests_have_equal_fingerprints() {
    let one = Fingerprint::new("POST", "shop.example", "/draft/1?x=1", b"prompt");
    let other = Fingerprint::new("POST", "shop.example", "/draft/1?x=1", b"prompt");
    assert_eq!(one, other);
}

#[rstest]
#[case("GET", "shop.example", "/draft/1", b"prompt")]
#[case("POST", "other.example", "/draft/1", b"prompt")]
#[case("POST", "shop.example", "/draft/2", b"prompt")]
#[case("POST", "shop.example", "/draft/1", b"Prompt")]
#[case("POST", "shop.example/draft/1", "", b"prompt")]
fn each_part_of_a_request_counts(
    #[case] method: &str,
    #[case] host: &str,
    #[case] path: &str,
    #[case] body: &[u8],
) {
    let usual = Fingerprint::new("POST", "shop.example", "/draft/1", b"prompt");
    assert_ne!(Fingerprint::new(method, host, path, body), usual);
}
