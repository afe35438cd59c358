//! Guards the names of blocks, on which entries and engines must agree.

use serde_json::{Value, json};
use sesamerock_client::engine::prompt::{BLOCK_BYTES, Prompt};

fn blocks(request: &Value) -> Vec<u64> {
    let prompt = Prompt::parse(request.to_string().as_bytes());
    prompt
        .expect("the request has the usual form")
        .block_hashes(64)
}

fn chat(model: &str, contents: &[Value]) -> Value {
    let messages: Vec<_> = contents
        .iter()
        .map(|content| json!({ "role": "user", "content": content }))
        .collect();
    json!({ "model": model, "max_tokens": 7, "messages": messages })
}

/// The next turn must begin with the blocks of the turn before, whatever other
/// fields of the request say; those of another model must differ.
#[test]
fn the_next_turn_extends_the_blocks() {
    let first = json!("a".repeat(1_000));
    let turn = blocks(&chat("m", std::slice::from_ref(&first)));
    assert_eq!(turn.len(), 1_000 / BLOCK_BYTES);
    let mut next = chat("m", &[first.clone(), json!("b".repeat(300))]);
    next["stream"] = json!(true);
    assert_eq!(blocks(&next)[..turn.len()], turn);
    let other = blocks(&chat("n", &[first]));
    assert!(turn.iter().all(|block| !other.contains(block)));
}

/// A change of these names would make all caches unknown to entries of another
/// build, so it needs another name of the scheme.
#[test]
fn names_are_fixed() {
    let request = json!({ "model": "m", "prompt": "x".repeat(2 * BLOCK_BYTES) });
    let named: Vec<_> = blocks(&request)
        .iter()
        .map(|block| format!("{block:016x}"))
        .collect();
    assert_eq!(named, ["476d85dff95b63f2", "5d74d29061ad2342"]);
}

/// Content that is no text, such as an image, has no names, and neither has what
/// follows it; a request of another form must not fail.
#[test]
fn only_text_has_names() {
    let long = json!("a".repeat(600));
    let image = json!([{ "type": "image_url" }]);
    let mixed = blocks(&chat("m", &[long.clone(), image, long.clone()]));
    assert_eq!(mixed, blocks(&chat("m", &[long]))[..mixed.len()]);
    assert_eq!(mixed.len(), 2);
    assert_eq!(blocks(&chat("m", &[Value::Null])), Vec::<u64>::new());
    for odd in [&b"[]x"[..], b"{\"messages\":3}", b"", b"\xff"] {
        assert!(Prompt::parse(odd).is_none());
    }
}
