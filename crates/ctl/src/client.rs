//! Client of the operators' interface.

use super::*;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Connection to one instance.
pub struct Client {
    key: String,
    operator: OperatorClient<Channel>,
}

impl Client {
    /// Replaces the declaration. The change gets a random ID, by which its outcome can be determined if the reply is lost.
    pub async fn apply(
        &mut self,
        declaration: Declaration,
        expect_revision: Option<u64>,
        dry_run: bool,
        note: &str,
    ) -> Result<ApplyReply, Error> {
        let request = self.request(ApplyRequest {
            change: Uuid::new_v4().to_string(),
            declaration: Some(declaration),
            dry_run,
            expect_revision,
            note: note.to_owned(),
        });
        let reply = self.operator.apply(request).await?.into_inner();
        if !reply.faults.is_empty() {
            return Err(Error::Faults(reply.faults));
        }
        if reply.conflict {
            return Err(Error::Conflict(reply.revision));
        }
        Ok(reply)
    }

    /// Connects to the instance at `address`, such as `127.0.0.1:8081`.
    pub async fn connect(address: &str, key: &str) -> Result<Self, Error> {
        let failed = |error| Error::Connect(address.to_owned(), error);
        let endpoint = Channel::from_shared(format!("http://{address}"))
            .map_err(|error| Error::File(address.into(), error.to_string()))?;
        let channel = endpoint
            .timeout(CALL_TIMEOUT)
            .connect()
            .await
            .map_err(failed)?;
        Ok(Self {
            key: key.to_owned(),
            operator: OperatorClient::new(channel),
        })
    }

    /// Gets the declaration in force.
    pub async fn get(&mut self) -> Result<GetReply, Error> {
        let request = self.request(GetRequest {});
        Ok(self.operator.get(request).await?.into_inner())
    }

    /// Drains and stops the instance.
    pub async fn drain(&mut self) -> Result<(), Error> {
        let request = self.request(DrainRequest {});
        self.operator.drain(request).await?;
        Ok(())
    }

    /// Gets the most recently accepted changes, newest last.
    pub async fn history(&mut self) -> Result<HistoryReply, Error> {
        let request = self.request(HistoryRequest {});
        Ok(self.operator.history(request).await?.into_inner())
    }

    /// Gets the state of the instance, and of the peers from which it has received heartbeats.
    pub async fn status(&mut self) -> Result<StatusReply, Error> {
        self.status_of(false).await
    }

    /// Gets the state of the instance, and has it query every instance on the platform's list.
    pub async fn status_everywhere(&mut self) -> Result<StatusReply, Error> {
        self.status_of(true).await
    }

    async fn status_of(&mut self, everywhere: bool) -> Result<StatusReply, Error> {
        let request = self.request(StatusRequest { everywhere });
        Ok(self.operator.status(request).await?.into_inner())
    }

    fn request<T>(&self, body: T) -> Request<T> {
        let mut request = Request::new(body);
        if let Ok(value) = format!("Bearer {}", self.key).parse() {
            request.metadata_mut().insert("authorization", value);
        }
        request
    }
}
