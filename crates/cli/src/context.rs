use {
    crate::{
        client::{self, Answer, Call, Client, Settings},
        console::{Console, Progress},
        error::Error,
    },
    bytes::Bytes,
    http::Method,
    serde::de::DeserializeOwned,
    serde_json::Value,
    std::{net::SocketAddr, time::Instant},
};

/// Longest accepted name in a command, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// What a command works with.
pub struct Context<'a> {
    /// Where results and messages go.
    pub console: Console<'a>,
    settings: Result<Settings, client::Error>,
    client: Option<Client>,
}

impl<'a> Context<'a> {
    /// Returns a context. Faults of `settings` are reported by the first call, since some commands
    /// need no instance.
    pub fn new(console: Console<'a>, settings: Result<Settings, client::Error>) -> Context<'a> {
        Context {
            console,
            settings,
            client: None,
        }
    }

    /// Resolves the addresses of the instances.
    pub async fn addresses(&self) -> Result<Vec<SocketAddr>, Error> {
        let mut addresses = Vec::new();
        for instance in &self.settings.clone()?.instances {
            let found = tokio::net::lookup_host(instance.as_str()).await;
            let found = found.map_err(|error| {
                Error::Refused(format!(
                    "{instance} is not found: {error}; check the address"
                ))
            })?;
            addresses.extend(found.take(1));
        }
        Ok(addresses)
    }

    /// Sends a call.
    pub async fn send(&mut self, call: &Call) -> Result<Answer, Error> {
        let client = match &self.client {
            Some(client) => client.clone(),
            None => {
                let client = Client::new(self.settings.clone()?);
                self.client.insert(client).clone()
            }
        };
        let console = &mut self.console;
        let mut progress = Progress::default();
        let answer = client
            .send(call, &mut |reason| {
                let text = format!("{}: {reason}; trying on", call.what);
                progress.show(console, text, Instant::now());
            })
            .await?;
        Ok(answer)
    }

    /// Sends a reading call and returns its answer, as it came and as a `T`.
    pub async fn read<T: DeserializeOwned>(
        &mut self,
        path: impl Into<String>,
        what: impl Into<String>,
    ) -> Result<(Value, T), Error> {
        self.accept(&Call::read(path, what)).await
    }

    /// Sends a call and returns its answer, as it came and as a `T`.
    pub async fn accept<T: DeserializeOwned>(&mut self, call: &Call) -> Result<(Value, T), Error> {
        let answer = self.send(call).await?;
        Ok((answer.accept()?, answer.accept()?))
    }

    /// Sends a change that has no body and the same effect however often it is made.
    pub async fn post<T: DeserializeOwned>(
        &mut self,
        path: String,
        what: String,
    ) -> Result<T, Error> {
        let call = Call {
            method: Method::POST,
            path,
            body: Bytes::new(),
            changes: true,
            what,
        };
        let result = match self.send(&call).await {
            Ok(answer) => answer.accept().map_err(Error::from),
            Err(error) => Err(error),
        };
        result.map_err(|error| match error {
            Error::Unknown(text) => Error::Unknown(format!(
                "{text}. Run the command again; it has the same effect however often it is run"
            )),
            other => other,
        })
    }
}

/// Checks a name from the command line before it becomes part of a path.
pub fn name<'n>(kind: &str, name: &'n str) -> Result<&'n str, Error> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let dots = name.bytes().all(|byte| byte == b'.');
    if (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed) && !dots {
        Ok(name)
    } else {
        Err(Error::Usage(format!(
            "`{}` is not the name of {kind}; names have letters, digits, `-`, `_` and `.`",
            burn::printable(name, MAX_NAME_BYTES)
        )))
    }
}

/// Returns a new key for a submission.
pub fn new_key() -> String {
    format!("{:032x}", rand::random::<u128>())
}
