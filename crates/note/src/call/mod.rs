//! Rules such as `POST /orders` that name calls which must not be repeated.

/// Methods that a rule may name; `*` stands for every method.
pub const METHODS: [&str; 10] = [
    "*", "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE", "CONNECT",
];

/// Maximum length of a rule in bytes.
pub const MAX_RULE_BYTES: usize = 256;

/// Splits a rule into method and path, or returns `None` if it is not one.
pub fn parse(rule: &str) -> Option<(&str, &str)> {
    let (method, path) = rule.split_once(' ')?;
    let known = METHODS.contains(&method);
    let path_ok = path.starts_with('/') && path.bytes().all(|byte| byte.is_ascii_graphic());
    (known && path_ok && rule.len() <= MAX_RULE_BYTES).then_some((method, path))
}

/// Returns whether a rule covers a call. A rule's path covers itself and the
/// paths below it, so `POST /orders` covers `POST /orders/7` but not
/// `POST /orders-archive`.
pub fn covers(rule: &str, method: &str, path: &str) -> bool {
    let Some((rule_method, rule_path)) = parse(rule) else {
        return false;
    };
    let path = path.split('?').next().unwrap_or_default();
    let rule_path = rule_path.trim_end_matches('/');
    let path_matches = path
        .strip_prefix(rule_path)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
    path_matches && (rule_method == "*" || rule_method == method)
}
