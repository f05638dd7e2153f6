//! Compression of a sequence of similar texts: each is written as the length of the prefix that it shares with
//! the previous one, as one base-36 digit, followed by the rest.

const DIGITS: &[u8; 36] = b"0123456789abcdefghijklmnopqrstuvwxyz";

/// `text` as what differs from the previous text.
pub fn compress_prefix(previous: &str, text: &str) -> String {
    let shared = previous
        .bytes()
        .zip(text.bytes())
        .take(DIGITS.len() - 1)
        .take_while(|(before, now)| before == now);
    let mut length = shared.count();
    while !text.is_char_boundary(length) {
        length -= 1;
    }
    format!("{}{}", DIGITS[length] as char, &text[length..])
}

/// The text that [`compress_prefix`] has shortened against the same previous text; `None` if it cannot have been.
pub fn expand_prefix(previous: &str, compressed: &str) -> Option<String> {
    let digit = compressed.bytes().next()?;
    let length = DIGITS.iter().position(|known| *known == digit)?;
    Some(format!(
        "{}{}",
        previous.get(..length)?,
        compressed.get(1..)?
    ))
}
