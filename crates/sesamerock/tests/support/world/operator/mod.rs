//! Operators' commands and notes, and the status that entries report to operators.

use std::net::SocketAddr;
use std::time::Duration;

use sesamerock::entry::operator::{Published, Status, Verdict};
use sesamerock_client::error::Error;
use sesamerock_client::http::client::Client;
use sesamerock_note::note::Note;

use super::{Options, ProcessWorld};

/// Longest time that an operator waits for the verdict about a command or note.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(20);

impl ProcessWorld {
    pub(super) async fn send_command(
        &mut self,
        kind: &str,
        name: &str,
        word: &str,
        options: &Options<'_>,
    ) -> Result<(), String> {
        let via = options.number("via").unwrap_or(1.0) as usize;
        let operator = self.operators[via - 1];
        let uri = format!("http://{operator}/operator/{kind}/{name}/{word}");
        self.verdicts.push(publish(&uri, &()).await);
        Ok(())
    }

    /// Withdraws an upstream by a note.
    pub(super) async fn withdraw(&mut self, upstream: &str) -> Result<(), String> {
        let uri = format!("http://{}/operator/notes", self.operators[0]);
        self.verdicts
            .push(publish(&uri, &withdrawal(upstream, "withdraw")).await);
        Ok(())
    }

    /// Publishes two conflicting notes through two entries at the same time.
    pub(super) async fn race(&mut self, upstream: &str) -> Result<(), String> {
        let uri = |index: usize| format!("http://{}/operator/notes", self.operators[index]);
        let (first, second) = (uri(0), uri(1));
        let (one, two) = (
            withdrawal(upstream, "race-1"),
            withdrawal(upstream, "race-2"),
        );
        let (one, two) = tokio::join!(publish(&first, &one), publish(&second, &two));
        self.verdicts.extend([one, two]);
        Ok(())
    }

    pub(super) async fn statuses(&self) -> Vec<(SocketAddr, Status)> {
        let client = Client::default();
        let mut statuses = Vec::new();
        for operator in &self.operators {
            let uri = format!("http://{operator}/operator/status");
            if let Ok(status) = client.get::<Status>(&uri, Duration::ZERO).await {
                statuses.push((*operator, status));
            }
        }
        statuses
    }

    /// Counts entries in contact that report a lower version than they did before.
    pub(super) async fn check_versions(&mut self) {
        for (operator, status) in self.statuses().await {
            let highest = self.highest.entry(operator).or_default();
            let went_back = status.in_contact && status.version.0 < *highest;
            self.versions_back += u64::from(went_back);
            *highest = (*highest).max(status.version.0);
        }
    }

    pub(super) async fn min_status(&self, count: impl Fn(&Status) -> usize) -> f64 {
        let statuses = self.statuses().await;
        if statuses.len() < self.operators.len() {
            return 0.0;
        }
        statuses
            .iter()
            .map(|(_, status)| count(status))
            .min()
            .unwrap_or(0) as f64
    }

    pub(super) async fn max_status(&self, count: impl Fn(&Status) -> usize) -> f64 {
        let statuses = self.statuses().await;
        statuses
            .iter()
            .map(|(_, status)| count(status))
            .max()
            .unwrap_or(0) as f64
    }
}

fn withdrawal(upstream: &str, id: &str) -> Note {
    let mut note = Note {
        id: id.to_owned(),
        ..Note::default()
    };
    note.withdraw.upstreams.push(upstream.to_owned());
    note
}

pub(super) async fn publish(uri: &str, content: &impl serde::Serialize) -> Verdict {
    let content = serde_json::to_vec(content).expect("a note can be written");
    let request = http::Request::post(uri)
        .body(http_body_util::Full::from(content))
        .expect("the request is well formed");
    let answer = async {
        let response = Client::default().send(request).await?;
        let content = http_body_util::BodyExt::collect(response.into_body()).await;
        let content = content.map_err(|error| Error::Unknown(error.to_string()))?;
        serde_json::from_slice::<Published>(&content.to_bytes())
            .map_err(|error| Error::Malformed(error.to_string()))
    };
    // The scenario may have paused the entry, so the answer may not arrive.
    match tokio::time::timeout(OPERATOR_TIMEOUT, answer).await {
        Ok(Ok(published)) => published.outcome,
        Ok(Err(_)) | Err(_) => Verdict::Unknown,
    }
}
