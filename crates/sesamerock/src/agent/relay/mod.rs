//! The relay service: accepts calls from entries, and messages from other
//! agents.

use std::sync::Arc;

use futures::StreamExt as _;
use futures::stream::{self, Chain};
use sesamerock_client::engine::Engine;
use sesamerock_wire::relay::relay_server::Relay;
use sesamerock_wire::relay::{
    Down, GroupMessage, HeldReply, HeldRequest, MintReply, MintRequest, Up,
};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::Context;
use super::{execute, group};

/// Frames of one answer that may wait for the transport.
const FRAME_BUFFER: usize = 32;

/// The relay service of one agent.
#[derive(Debug)]
pub struct Service<E> {
    context: Arc<Context<E>>,
}

impl<E> Service<E> {
    /// Creates the service on the state of an agent.
    pub fn new(context: Arc<Context<E>>) -> Self {
        Self { context }
    }
}

/// A frame of an answer in the form that tonic streams.
type Frame = Result<Down, Status>;

#[tonic::async_trait]
impl<E: Engine> Relay for Service<E> {
    type CallStream = Chain<stream::Iter<std::option::IntoIter<Frame>>, ReceiverStream<Frame>>;

    async fn call(
        &self,
        request: Request<Streaming<Up>>,
    ) -> Result<Response<Self::CallStream>, Status> {
        let (sender, mut receiver) = mpsc::channel(FRAME_BUFFER);
        let context = Arc::clone(&self.context);
        let frames = request.into_inner();
        let tasks = context.tasks.clone();
        tasks.spawn(async move { execute::run(&context, frames, &sender).await });
        // Waiting for the first frame lets the response headers go out with it.
        // Sent alone they cost a write here and a wake-up at the entry, and carry
        // no information.
        let first = receiver.recv().await;
        Ok(Response::new(
            stream::iter(first).chain(ReceiverStream::new(receiver)),
        ))
    }

    async fn mint(&self, _: Request<MintRequest>) -> Result<Response<MintReply>, Status> {
        let view = self.context.control.view();
        if view.leaving() || !view.in_contact() {
            let refusal = "the upstream takes no new work".to_owned();
            return Ok(Response::new(MintReply {
                key: String::new(),
                refusal,
            }));
        }
        Ok(Response::new(self.context.keyed.issue_key()))
    }

    async fn group(
        &self,
        request: Request<GroupMessage>,
    ) -> Result<Response<GroupMessage>, Status> {
        group::answer(&self.context, request.into_inner())
            .await
            .map(Response::new)
    }

    async fn held(&self, request: Request<HeldRequest>) -> Result<Response<HeldReply>, Status> {
        let upstream = &self.context.settings.upstream;
        if request.into_inner().upstream != upstream.name {
            return Err(Status::not_found("this agent serves another upstream"));
        }
        let observation = self.context.probe.observation();
        Ok(Response::new(
            self.context
                .rollout
                .held_reply(&upstream.name, &observation),
        ))
    }
}
