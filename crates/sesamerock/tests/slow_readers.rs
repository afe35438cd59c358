//! Gateway processes whose callers request long answers and read them slowly or not at all.
//!
//! The tests check only that the process lives, that its memory and descriptors stay under a bound,
//! and that an ordinary request is answered afterwards. They run one at a time.

mod crowd;

use std::time::Duration;

use crowd::{ALONE, MEMORY_MIB, System, read_slowly, read_some, request};
use eyre::Result;
use tokio::time::sleep;

/// Bytes of a long answer.
const LONG: usize = 300_000;
/// Receive buffer of a caller whose system takes some of an answer by itself.
const LARGE_WINDOW: u32 = 64 << 10;
/// Time for which callers do not read.
const UNREAD: Duration = Duration::from_secs(2);
/// Descriptors that the process may have open after a crowd.
const DESCRIPTORS: usize = 4_000;

/// Returns a request of the older version of HTTP, whose answer ends with its connection.
fn older(path: &str, bytes: usize) -> String {
    request(path, bytes).replacen("HTTP/1.1", "HTTP/1.0", 1)
}

/// Returns a request with a prompt of this many bytes, whose answer has `bytes` bytes.
fn prompt(path: &str, bytes: usize, prompt: usize) -> String {
    let body = format!("{bytes} {}", "p".repeat(prompt));
    let text = request(path, bytes);
    let head = text
        .rsplit_once("Content-Length")
        .map_or("", |(head, _)| head);
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Regression: as with the present version of HTTP, closed callers were no longer counted before
/// their memory was given back.
#[tokio::test]
async fn regression_unread_texts_of_http_1_0_leave_memory() -> Result<()> {
    let _alone = ALONE.lock().await;
    let mut system = System::start("texts-1-0", 4_096).await?;
    let _crowd = system.open(300, &older("/safe/x", LONG)).await;
    sleep(UNREAD).await;
    system.assert_lives(DESCRIPTORS).await
}

/// Regression: long answers of which a byte a second is read, by callers whose systems take 64 KiB.
#[tokio::test]
async fn regression_texts_read_a_byte_a_second_leave_memory() -> Result<()> {
    let _alone = ALONE.lock().await;
    let mut system = System::start("texts-byte", 4_096).await?;
    let text = request("/once/x", LONG);
    let mut crowd = system.open_with(300, &text, LARGE_WINDOW).await;
    read_slowly(&mut crowd, 4, Duration::from_secs(1)).await;
    system.assert_lives(DESCRIPTORS).await
}

/// Regression: the memory of running streams did not count, whatever the version of HTTP.
#[tokio::test]
async fn regression_unread_streams_of_http_1_0_leave_memory() -> Result<()> {
    let _alone = ALONE.lock().await;
    let mut system = System::start("streams-1-0", 4_096).await?;
    let _crowd = system.open(300, &older("/stream/x", LONG)).await;
    sleep(UNREAD).await;
    system.assert_lives(DESCRIPTORS).await
}

/// What the system has received of an answer takes memory of the machine, too, so that it must not go on
/// to receive streams that nobody reads.
#[tokio::test]
async fn unread_streams_are_not_received_without_end() -> Result<()> {
    let _alone = ALONE.lock().await;
    let mut system = System::start("streams-received", 4_096).await?;
    let _crowd = system.open(100, &request("/stream/x", 10 * LONG)).await;
    sleep(UNREAD).await;
    let received = system.received()? as u64;
    let memory = system.gateway.peak_memory()? + received;
    println!(
        "{} KiB received, {} KiB in all",
        received >> 10,
        memory >> 10
    );
    assert!(memory <= MEMORY_MIB << 20, "{} KiB", memory >> 10);
    system.assert_lives(DESCRIPTORS).await
}

/// Regression: streams of which a byte a second is read, by callers whose systems take 64 KiB.
#[tokio::test]
async fn regression_streams_read_a_byte_a_second_leave_memory() -> Result<()> {
    let _alone = ALONE.lock().await;
    let mut system = System::start("streams-byte", 4_096).await?;
    let text = request("/stream/x", LONG);
    let mut crowd = system.open_with(400, &text, LARGE_WINDOW).await;
    read_slowly(&mut crowd, 4, Duration::from_secs(1)).await;
    system.assert_lives(DESCRIPTORS).await
}

/// Regression: long prompts beside long answers that nobody reads.
#[tokio::test]
async fn regression_prompts_beside_unread_answers_leave_memory() -> Result<()> {
    let _alone = ALONE.lock().await;
    let mut system = System::start("prompts", 4_096).await?;
    let _texts = system.open(150, &prompt("/safe/x", LONG, 60_000)).await;
    let _streams = system.open(150, &prompt("/stream/x", LONG, 60_000)).await;
    sleep(UNREAD).await;
    system.assert_lives(DESCRIPTORS).await
}

/// Opens a crowd whose calls have a deadline of 1 s, lets each caller read `step` bytes a second, and
/// checks that their connections are closed soon after, and long before they have read all.
async fn assert_ends(name: &str, callers: usize, text: &str, step: usize) -> Result<()> {
    const ROUNDS: usize = 12;
    let _alone = ALONE.lock().await;
    let stall = Duration::from_secs(4);
    let mut system = System::start_with(name, 4_096, Some(stall)).await?;
    let before = system.gateway.descriptors()?;
    let text = text.replace("Deadline-Ms: 8000", "Deadline-Ms: 1000");
    let mut crowd = system.open_with(callers, &text, LARGE_WINDOW).await;
    // Each call may have left an idle connection to the upstream, too.
    let bound = before + callers + callers / 2;
    for _ in 0..ROUNDS {
        read_some(&mut crowd, step);
        sleep(Duration::from_secs(1)).await;
    }
    system.assert_lives(bound).await
}

/// Regression: a caller that read a little now and then held its answer for as long as it liked.
#[tokio::test]
async fn regression_texts_read_little_by_little_are_given_up() -> Result<()> {
    let text = request("/once/x", 4_000_000);
    assert_ends("texts-little", 3, &text, 32 << 10).await
}

/// What is left of a stream after its deadline must not be held for longer either.
#[tokio::test]
async fn streams_read_little_by_little_are_given_up() -> Result<()> {
    let text = request("/stream/x", 2 * LONG);
    assert_ends("streams-little", 10, &text, 24 << 10).await
}
