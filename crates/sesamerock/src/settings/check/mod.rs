//! Checks of settings files and release notes: every fault at once.

/// Returns the faults of a settings file or a release note.
pub fn faults(text: &str) -> Vec<String> {
    let keys = serde_yaml_ng::from_str::<serde_yaml_ng::Mapping>(text);
    match keys {
        Err(error) => vec![error.to_string()],
        Ok(keys) if keys.contains_key("upstream") => parse::<super::Agent>(text),
        Ok(keys) if keys.contains_key("node") => parse::<super::Entry>(text),
        Ok(_) => note_faults(text),
    }
}

/// Returns the faults of a release note.
pub fn note_faults(text: &str) -> Vec<String> {
    parse::<sesamerock_note::note::Note>(text)
}

fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Vec<String> {
    match serde_yaml_ng::from_str::<T>(text) {
        Ok(_) => Vec::new(),
        Err(error) => vec![error.to_string()],
    }
}
