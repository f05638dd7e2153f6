//! Prefix compression of a sequence of similar strings: each is written as one base-36 digit, the length of the
//! prefix that it shares with the previous string, followed by the rest.

const DIGITS: &[u8; 36] = b"0123456789abcdefghijklmnopqrstuvwxyz";

/// Compresses `text` against the previous string.
pub fn compress_prefix(previous: &str, text: &str) -> String {
    let shared = previous
        .bytes()
        .zip(text.bytes())
        .take(DIGITS.len() - 1)
        .take_while(|(previous_byte, byte)| previous_byte == byte);
    let mut length = shared.count();
    while !text.is_char_boundary(length) {
        length -= 1;
    }
    format!("{}{}", DIGITS[length] as char, &text[length..])
}

/// Reverses [`compress_prefix`], given the same previous string. Returns `None` if `compressed` is not valid for
/// that string.
pub fn expand_prefix(previous: &str, compressed: &str) -> Option<String> {
    let digit = compressed.bytes().next()?;
    let length = DIGITS.iter().position(|known| *known == digit)?;
    Some(format!(
        "{}{}",
        previous.get(..length)?,
        compressed.get(1..)?
    ))
}
