use {
    super::{Control, answer::outcome_text},
    gate::{
        Outcome,
        call::{DataCentre, Reply, Request},
    },
    plan::engine::Event,
    std::time::Duration,
    tokio::time,
    wire::Verdict,
    work::{
        collections::IndexMap,
        registry::{Answer, Command, Instruction, Order, Registry},
    },
};

/// Limit of the name of a data centre, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Delay before an order that may be a late copy is tried again.
const AMBIGUOUS_DELAY: Duration = Duration::from_millis(200);

/// Evacuations of data centres by operators.
impl Control {
    /// Evacuates a data centre or takes it back. It is done once the order is durable. It is not carried out after its
    /// sender has been answered, or after another order that was given meanwhile.
    ///
    /// Orders have no id by which a late copy could be told from a new order. The leader therefore carries out only orders
    /// that follow the latest one that it has carried out. This instance asks for that one first, so that an order that
    /// is held up on its way to the leader has been overtaken when it arrives.
    pub async fn order_evacuation(
        &self,
        data_centre: &str,
        order: Order,
        timeout: Duration,
    ) -> Outcome {
        let deadline = self.shared.clock.now() + timeout;
        let mut reason = "no time is left".to_owned();
        loop {
            let left = deadline.saturating_duration_since(self.shared.clock.now());
            if left.is_zero() {
                return Outcome::NotRun(reason);
            }
            let number = match self.call(Request::DataCentres, left).await {
                Outcome::Answered(Reply::DataCentres { number, .. }) => number,
                Outcome::Answered(reply) => return Outcome::NotRun(format!("{reply:?}")),
                Outcome::NotRun(reason) | Outcome::Unknown(reason) => {
                    return Outcome::NotRun(reason);
                }
            };
            let request = Request::Evacuate {
                data_centre: data_centre.to_owned(),
                order,
                after: number,
            };
            let left = deadline.saturating_duration_since(self.shared.clock.now());
            match self.call(request, left).await {
                Outcome::Answered(Reply::Overtaken) => {
                    reason = "other orders came first".to_owned();
                }
                Outcome::Answered(Reply::Ambiguous) => {
                    reason = "it may be a late copy of an order that has been reversed".to_owned();
                    time::sleep(AMBIGUOUS_DELAY.min(left)).await;
                }
                other => return other,
            }
        }
    }

    /// Carries out an order as leader.
    pub(super) async fn evacuate(
        &self,
        data_centre: String,
        order: Order,
        after: u64,
    ) -> Result<Reply, Verdict> {
        if data_centre.is_empty() || data_centre.len() > MAX_NAME_BYTES {
            return Ok(Reply::Invalid(format!(
                "the name of the data centre has {} bytes; give 1 to {MAX_NAME_BYTES}",
                data_centre.len()
            )));
        }
        let is_done = self.read_registry(|registry| {
            let is_latest = registry.evacuations().number() == after;
            is_latest && order == Order::Evacuate && registry.is_evacuated(&data_centre)
        })?;
        if is_done {
            log::info!("event=evacuation_unchanged data_centre={data_centre} order={order}");
            return Ok(Reply::Done);
        }
        let command = Command::Evacuate {
            at_ms: self.time_ms(),
            data_centre: data_centre.clone(),
            instruction: Instruction {
                order,
                after,
                resend_ms: self.shared.order_resend.as_millis() as u64,
            },
        };
        let answer = self.shared.replica.propose(&command).await;
        log::info!(
            "event=evacuation_ordered data_centre={data_centre} order={order} outcome={}",
            outcome_text(&answer)
        );
        self.wake(Event::Tick);
        Ok(match answer? {
            Answer::Overtaken => Reply::Overtaken,
            Answer::Ambiguous => Reply::Ambiguous,
            Answer::Full => Reply::Invalid("too many data centres are evacuated".to_owned()),
            _ => Reply::Done,
        })
    }

    /// Lists the data centres as leader.
    pub(super) async fn list_data_centres(&self) -> Result<Reply, Verdict> {
        self.shared.replica.read().await?;
        let time_ms = self.time_ms();
        self.read_registry(|registry| Reply::DataCentres {
            number: registry.evacuations().number(),
            data_centres: data_centres(registry, time_ms),
        })
    }
}

fn data_centres(registry: &Registry, time_ms: u64) -> Vec<DataCentre> {
    let mut found: IndexMap<&str, DataCentre> = IndexMap::default();
    for upstream in registry.upstreams() {
        let entry = found.entry(&upstream.data_centre).or_default();
        entry.upstreams += 1;
        entry.runs += registry.allocations_on(&upstream.id).count() as u64;
    }
    for (name, evacuation) in registry.evacuations().in_force() {
        let entry = found.entry(name).or_default();
        entry.evacuated_for_ms = Some(time_ms.saturating_sub(evacuation.begun_ms));
    }
    let mut listed: Vec<DataCentre> = found
        .into_iter()
        .map(|(name, entry)| DataCentre {
            name: name.to_owned(),
            ..entry
        })
        .collect();
    listed.sort_by(|a, b| a.name.cmp(&b.name));
    listed
}
