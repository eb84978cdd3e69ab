//! Numbers in hexadecimal, with one spelling each but for leading zeros.

/// The number in `text`; `None` if it holds anything but digits and the letters `a` to `f`.
pub(crate) fn parse(text: &str) -> Option<u64> {
    let plain = text
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| plain)
}
