//! The operators' gRPC interface.

use super::*;
use schema::operator_server::Operator;
use tonic::{Code, Status};

/// Maximum length of a change's note, in bytes.
const NOTE_BYTES_MAX: usize = 200;

/// Handles calls of operators.
pub(crate) struct Service {
    /// The configuration in force here.
    pub active_config: watch::Receiver<revision::ActiveConfig>,
    /// Channel for changes of the configuration.
    pub config_commands: mpsc::UnboundedSender<revision::Command>,
    /// Set to true to start a planned stop of the instance.
    pub drain: watch::Sender<bool>,
    /// The core task.
    pub driver: Driver,
    /// The platform's list.
    pub list: watch::Receiver<Vec<instance_list::ListedInstance>>,
    /// Peers that have sent a heartbeat.
    pub peers: watch::Receiver<peer::Peers>,
    /// Settings of this instance.
    pub settings: Settings,
    /// How far a planned stop of this instance is.
    pub stop_phase: watch::Receiver<instance::StopPhase>,
}

impl Service {
    fn linked_peers(&self) -> Vec<schema::PeerState> {
        let peers = self.peers.borrow();
        peers
            .iter()
            .map(|(name, peer)| schema::PeerState {
                name: name.clone(),
                reachable: true,
                revision: peer.revision,
                silent_ms: peer.last_heartbeat.elapsed().as_millis() as u64,
            })
            .collect()
    }

    fn authorize<T>(&self, request: &tonic::Request<T>) -> Result<(), Status> {
        let key = request
            .metadata()
            .get("authorization")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or_default();
        // Digests are compared, so that the time of the comparison reveals nothing of the key.
        if blake3::hash(key.as_bytes()) == blake3::hash(self.settings.operator_key.as_bytes()) {
            return Ok(());
        }
        Err(Status::unauthenticated("the operators' key is wrong"))
    }
}

#[tonic::async_trait]
impl Operator for Service {
    async fn apply(
        &self,
        request: tonic::Request<schema::ApplyRequest>,
    ) -> Result<tonic::Response<schema::ApplyReply>, Status> {
        self.authorize(&request)?;
        let request = request.into_inner();
        if request.note.len() > NOTE_BYTES_MAX {
            let text = format!("note must not be longer than {NOTE_BYTES_MAX} bytes");
            return Err(Status::invalid_argument(text));
        }
        if request.change.is_empty() {
            return Err(Status::invalid_argument("change must not be empty"));
        }
        let (sender, receiver) = oneshot::channel();
        let _ = self
            .config_commands
            .send(revision::Command::Apply(request, sender));
        let reply = receiver
            .await
            .map_err(|_| Status::new(Code::Unavailable, "the instance is stopping"))?;
        reply
            .map(tonic::Response::new)
            .map_err(|error| Status::new(Code::Unavailable, error.to_string()))
    }

    async fn drain(
        &self,
        request: tonic::Request<schema::DrainRequest>,
    ) -> Result<tonic::Response<schema::DrainReply>, Status> {
        self.authorize(&request)?;
        self.drain.send_replace(true);
        Ok(tonic::Response::new(schema::DrainReply {}))
    }

    async fn get(
        &self,
        request: tonic::Request<schema::GetRequest>,
    ) -> Result<tonic::Response<schema::GetReply>, Status> {
        self.authorize(&request)?;
        let active = self.active_config.borrow().clone();
        Ok(tonic::Response::new(schema::GetReply {
            declaration: Some(active.declaration),
            revision: active.head.revision,
        }))
    }

    async fn history(
        &self,
        request: tonic::Request<schema::HistoryRequest>,
    ) -> Result<tonic::Response<schema::HistoryReply>, Status> {
        self.authorize(&request)?;
        let changes = self.active_config.borrow().head.changes.clone();
        let changes = changes.into_iter().map(|change| schema::ChangeState {
            id: change.id,
            note: change.note,
            revision: change.revision,
            time_ms: change.time_ms,
        });
        Ok(tonic::Response::new(schema::HistoryReply {
            changes: changes.collect(),
        }))
    }

    async fn status(
        &self,
        request: tonic::Request<schema::StatusRequest>,
    ) -> Result<tonic::Response<schema::StatusReply>, Status> {
        self.authorize(&request)?;
        let snapshot = self.driver.status().await;
        let stopping = *self.stop_phase.borrow() != instance::StopPhase::Serving;
        let peers = if request.into_inner().everywhere {
            let list = self.list.borrow().clone();
            peer::fetch_revisions(&list).await
        } else {
            self.linked_peers()
        };
        Ok(tonic::Response::new(schema::StatusReply {
            counters: snapshot.counters,
            instance: self.settings.instance.clone(),
            peers,
            ready: snapshot.revision.is_some() && !stopping,
            revision: snapshot.revision.unwrap_or(0),
            running: snapshot.running as u64,
            stopping,
            upstreams: snapshot.upstreams,
        }))
    }
}
