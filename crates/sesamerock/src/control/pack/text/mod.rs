//! Splits texts into templates and the numbers in them.
//!
//! `engine-07-00123` is a template with two numbers, and `10.0.0.9:7000` one
//! with an address in binary and a port. Names from one naming scheme share a few
//! templates, and their numbers often follow those of other columns.

use std::fmt::Write as _;
use std::net::Ipv4Addr;

/// In a template: a decimal number without leading zeros.
const NUMBER: char = '\u{0}';
/// In a template: an IPv4 address.
const ADDRESS: char = '\u{1}';
/// In a template: a decimal number with leading zeros; the next character is
/// its width, from [`ZERO_WIDTH`] on.
const PADDED: char = '\u{2}';
/// At the start of a template: the rest is the text itself, since the text
/// contains one of these characters.
const LITERAL: char = '\u{3}';
/// Character that stands for width 0 of a padded number.
const ZERO_WIDTH: u8 = b'@';
/// Largest number of digits that are stored as a number. The highest `u64` has 20.
const MAX_DIGITS: usize = 20;

/// Splits a text into its template and numbers.
pub(super) fn split(text: &str) -> (String, Vec<u64>) {
    if text.contains([NUMBER, ADDRESS, PADDED, LITERAL]) {
        return (format!("{LITERAL}{text}"), Vec::new());
    }
    let mut template = String::new();
    let mut numbers = Vec::new();
    let mut rest = text;
    while let Some(first) = rest.chars().next() {
        if !first.is_ascii_digit() {
            template.push(first);
            rest = &rest[first.len_utf8()..];
            continue;
        }
        let end = |run: fn(char) -> bool| rest.find(|c| !run(c)).unwrap_or(rest.len());
        let dotted = &rest[..end(|c| c.is_ascii_digit() || c == '.')];
        if let Ok(address) = dotted.parse::<Ipv4Addr>() {
            template.push(ADDRESS);
            numbers.push(u64::from(address.to_bits()));
            rest = &rest[dotted.len()..];
            continue;
        }
        let digits = &rest[..end(|c| c.is_ascii_digit())];
        match digits.parse() {
            Ok(number) if digits.len() <= MAX_DIGITS => {
                numbers.push(number);
                if digits.len() > 1 && first == '0' {
                    template.push(PADDED);
                    template.push(char::from(ZERO_WIDTH + digits.len() as u8));
                } else {
                    template.push(NUMBER);
                }
            }
            _ => template.push_str(digits),
        }
        rest = &rest[digits.len()..];
    }
    (template, numbers)
}

/// Returns how many numbers a template takes.
pub(super) fn number_count(template: &str) -> usize {
    if template.starts_with(LITERAL) {
        return 0;
    }
    template.matches([NUMBER, ADDRESS, PADDED]).count()
}

/// Fills the numbers into a template; `None` if the template is damaged or there
/// are too few numbers.
pub(super) fn join(template: &str, mut numbers: impl Iterator<Item = u64>) -> Option<String> {
    if let Some(text) = template.strip_prefix(LITERAL) {
        return Some(text.to_owned());
    }
    let mut text = String::with_capacity(template.len());
    let mut chars = template.chars();
    while let Some(next) = chars.next() {
        match next {
            NUMBER => write!(text, "{}", numbers.next()?).ok()?,
            ADDRESS => {
                let bits = u32::try_from(numbers.next()?).ok()?;
                write!(text, "{}", Ipv4Addr::from_bits(bits)).ok()?;
            }
            PADDED => {
                let width = u8::try_from(chars.next()?).ok()?.checked_sub(ZERO_WIDTH)?;
                let width = usize::from(width);
                if width > MAX_DIGITS {
                    return None;
                }
                write!(text, "{:0width$}", numbers.next()?).ok()?;
            }
            other => text.push(other),
        }
    }
    Some(text)
}
