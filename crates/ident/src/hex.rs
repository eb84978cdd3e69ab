//! Strict parsing of hexadecimal numbers.

/// Parses `text`; `None` unless it consists only of digits and the letters `a` to `f`, so that each
/// number has one spelling except for leading zeros.
pub(crate) fn parse(text: &str) -> Option<u64> {
    let plain = text
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| plain)
}
