//! The relay service: takes calls from entries.

use std::sync::Arc;

use sesamerock_platform::engine::Engine;
use sesamerock_wire::relay::relay_server::Relay;
use sesamerock_wire::relay::{
    Down, GroupMessage, HeldReply, HeldRequest, MintReply, MintRequest, Up,
};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::Context;
use super::execute;

/// Frames of one call that may wait for the transport.
const FRAMES: usize = 32;

/// The service of one agent.
#[derive(Debug)]
pub struct Service<E> {
    context: Arc<Context<E>>,
}

impl<E> Service<E> {
    /// Makes the service.
    pub fn new(context: Arc<Context<E>>) -> Self {
        Self { context }
    }
}

#[tonic::async_trait]
impl<E: Engine> Relay for Service<E> {
    type CallStream = ReceiverStream<Result<Down, Status>>;

    async fn call(
        &self,
        request: Request<Streaming<Up>>,
    ) -> Result<Response<Self::CallStream>, Status> {
        let (sender, receiver) = mpsc::channel(FRAMES);
        let context = Arc::clone(&self.context);
        let frames = request.into_inner();
        let tasks = context.tasks.clone();
        tasks.spawn(async move { execute::run(&context, frames, &sender).await });
        Ok(Response::new(ReceiverStream::new(receiver)))
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
        Ok(Response::new(self.context.keyed.mint()))
    }

    async fn group(
        &self,
        request: Request<GroupMessage>,
    ) -> Result<Response<GroupMessage>, Status> {
        self.context
            .group
            .answer(request.into_inner())
            .await
            .map(Response::new)
    }

    async fn held(&self, request: Request<HeldRequest>) -> Result<Response<HeldReply>, Status> {
        let upstream = &self.context.settings.upstream;
        if request.into_inner().upstream != upstream.name {
            return Err(Status::not_found("this agent serves another upstream"));
        }
        let sight = self.context.probe.sight();
        Ok(Response::new(
            self.context.carry.held(&upstream.name, &sight),
        ))
    }
}
