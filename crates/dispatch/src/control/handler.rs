use {
    super::{Control, replica::GROUP},
    futures::FutureExt,
    gate::call::{Request, SERVICE},
    peers::Reply,
    wire::{Update, Verdict},
};

/// Handles messages and calls from other instances.
pub(super) struct Handler(pub Control);

impl peers::Handler for Handler {
    fn deliver(&self, group: &str, sender: u64, messages: Vec<Vec<u8>>) {
        if group == GROUP {
            self.0.shared.replica.deliver(sender, messages);
        }
    }

    fn propose(&self, group: &str, command: &[u8]) -> Reply<Verdict> {
        if group != SERVICE {
            return async { Verdict::NotRun("no such service".into()) }.boxed();
        }
        match postcard::from_bytes::<Request>(command) {
            Ok(request) => {
                let control = self.0.clone();
                async move { control.answer(request).await }.boxed()
            }
            Err(error) => {
                let reason = format!("malformed request: {error}");
                async move { Verdict::NotRun(reason) }.boxed()
            }
        }
    }

    fn query(&self, _group: &str, _query: &[u8]) -> Reply<Verdict> {
        async { Verdict::NotRun("no such query".into()) }.boxed()
    }

    fn follow(&self, _instance: u64, _incarnation: u64, _applied: u64) -> Reply<Update> {
        async { Update::NotLeader(None) }.boxed()
    }

    fn report(&self, _group: &str, _instance: u64, _report: &[u8]) -> Reply<Verdict> {
        async { Verdict::NotRun("no such report".into()) }.boxed()
    }

    fn gossip(&self, _instance: u64, _entries: &[u8]) -> Vec<u8> {
        Vec::new()
    }
}
