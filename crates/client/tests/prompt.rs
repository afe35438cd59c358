//! Block hashes of prompts, on which entries and engines must agree.

use serde_json::{Value, json};
use sesamerock_client::engine::prompt::{BLOCK_BYTES, Prompt};

fn block_hashes(request: &Value) -> Vec<u64> {
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

/// The hashes of a turn must begin with those of the previous turn, whatever the
/// other fields of the request; the hashes for another model must differ.
#[test]
fn next_turn_extends_block_hashes() {
    let first = json!("a".repeat(1_000));
    let turn = block_hashes(&chat("m", std::slice::from_ref(&first)));
    assert_eq!(turn.len(), 1_000 / BLOCK_BYTES);
    let mut next = chat("m", &[first.clone(), json!("b".repeat(300))]);
    next["stream"] = json!(true);
    assert_eq!(block_hashes(&next)[..turn.len()], turn);
    let other_model = block_hashes(&chat("n", &[first]));
    assert!(turn.iter().all(|block| !other_model.contains(block)));
}

/// Entries of another build could not match any cached block if these hashes
/// changed, so a change requires a new value of `SCHEME`.
#[test]
fn block_hashes_are_stable() {
    let request = json!({ "model": "m", "prompt": "x".repeat(2 * BLOCK_BYTES) });
    let hashes: Vec<_> = block_hashes(&request)
        .iter()
        .map(|block| format!("{block:016x}"))
        .collect();
    assert_eq!(hashes, ["476d85dff95b63f2", "5d74d29061ad2342"]);
}

/// Content other than text, such as an image, has no hashes, nor has anything that
/// follows it; parsing a request of an unexpected form must yield no prompt.
#[test]
fn only_leading_text_has_hashes() {
    let long = json!("a".repeat(600));
    let image = json!([{ "type": "image_url" }]);
    let mixed = block_hashes(&chat("m", &[long.clone(), image, long.clone()]));
    assert_eq!(mixed, block_hashes(&chat("m", &[long]))[..mixed.len()]);
    assert_eq!(mixed.len(), 2);
    assert_eq!(block_hashes(&chat("m", &[Value::Null])), Vec::<u64>::new());
    for malformed in [&b"[]x"[..], b"{\"messages\":3}", b"", b"\xff"] {
        assert!(Prompt::parse(malformed).is_none());
    }
}
