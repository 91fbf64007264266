use {
    super::{Answer, Registry},
    crate::collections::IndexMap,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Limit of data centres with a stored evacuation. Names come from operators, and each one is kept until an operator
/// takes the data centre back.
const MAX_DATA_CENTRES: usize = 256;

/// What an operator orders for a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Order {
    /// Nothing is started there any more.
    Evacuate,
    /// Work is started there again.
    Readmit,
}

/// An order with what is needed to tell a late copy of it from a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instruction {
    /// What is ordered.
    pub order: Order,
    /// [Number](Evacuations::number) of the order before it, as known when it was received. An order that follows another
    /// number has been overtaken on its way and changes nothing.
    pub after: u64,
    /// Time in milliseconds for which an operator may send an order again.
    pub resend_ms: u64,
}

/// Data centres that operators have evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    number: u64,
    data_centres: IndexMap<String, Evacuation>,
}

/// The latest evacuation of a data centre. Times are those of the registry's clock, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Whether the data centre is evacuated now.
    pub in_force: bool,
    /// Time of its begin.
    pub begun_ms: u64,
    /// Time of the latest end; 0 before the first. If the evacuation is in force, this is the end of the one before.
    pub ended_ms: u64,
}

impl Evacuations {
    /// Number of orders that were carried out; the next order must follow it.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The evacuations that are in force, by data centre, in the order in which they began.
    pub fn in_force(&self) -> impl Iterator<Item = (&str, &Evacuation)> {
        let all = self.data_centres.iter();
        all.filter(|(_, evacuation)| evacuation.in_force)
            .map(|(name, evacuation)| (name.as_str(), evacuation))
    }

    fn has_in_force(&self, data_centre: &str) -> bool {
        let evacuation = self.data_centres.get(data_centre);
        evacuation.is_some_and(|evacuation| evacuation.in_force)
    }

    /// Carries out an order that is applied at `time_ms`.
    fn carry_out(&mut self, data_centre: String, instruction: Instruction, time_ms: u64) -> Answer {
        let Instruction {
            order,
            after,
            resend_ms,
        } = instruction;
        if after != self.number {
            return Answer::Overtaken;
        }
        let is_recent = |at_ms: u64| at_ms > 0 && time_ms < at_ms.saturating_add(resend_ms);
        let known = self.data_centres.get(&data_centre).copied();
        let has_ended = known.is_some_and(|known| !known.in_force);
        match order {
            Order::Evacuate if self.has_in_force(&data_centre) => return Answer::Done,
            // It may be a copy of the order that began the evacuation which has ended since.
            Order::Evacuate
                if has_ended && known.is_some_and(|known| is_recent(known.begun_ms)) =>
            {
                return Answer::Ambiguous;
            }
            Order::Evacuate => {
                if known.is_none() && self.is_full(time_ms, resend_ms) {
                    return Answer::Full;
                }
                // Removed first, so that the data centres are in the order in which their evacuations began.
                self.data_centres.shift_remove(&data_centre);
                let evacuation = Evacuation {
                    in_force: true,
                    begun_ms: time_ms,
                    ended_ms: known.map_or(0, |known| known.ended_ms),
                };
                self.data_centres.insert(data_centre, evacuation);
            }
            Order::Readmit => match self.data_centres.get_mut(&data_centre) {
                // It may be a copy of the order that ended the evacuation before this one.
                Some(known) if known.in_force && is_recent(known.ended_ms) => {
                    return Answer::Ambiguous;
                }
                Some(known) if known.in_force => {
                    known.in_force = false;
                    known.ended_ms = time_ms;
                }
                // It counts nevertheless, so that an earlier order to evacuate that is still on its way changes nothing.
                _ => {}
            },
        }
        self.number += 1;
        Answer::Done
    }

    /// Whether no further data centre can be stored, after those that matter no more have been removed.
    fn is_full(&mut self, time_ms: u64, resend_ms: u64) -> bool {
        if self.data_centres.len() < MAX_DATA_CENTRES {
            return false;
        }
        self.data_centres.retain(|_, evacuation| {
            evacuation.in_force || time_ms < evacuation.begun_ms.saturating_add(resend_ms)
        });
        self.data_centres.len() >= MAX_DATA_CENTRES
    }
}

/// Evacuations of data centres.
impl Registry {
    /// Evacuations of data centres by operators.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Whether an operator has evacuated the data centre, so that nothing is started there.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuations.has_in_force(data_centre)
    }

    pub(super) fn order_evacuation(
        &mut self,
        data_centre: String,
        instruction: Instruction,
    ) -> Answer {
        let time_ms = self.time_ms;
        self.evacuations
            .carry_out(data_centre, instruction, time_ms)
    }

    /// Appends the evacuations to an encoded registry. Earlier builds ignore what follows the registry.
    pub(super) fn save_evacuations(&self, mut bytes: Vec<u8>) -> Result<Vec<u8>, postcard::Error> {
        if self.evacuations != Evacuations::default() {
            bytes.extend(postcard::to_stdvec(&self.evacuations)?);
        }
        Ok(bytes)
    }

    /// Reads the evacuations that follow an encoded registry; none in a snapshot of an earlier build.
    pub(super) fn load_evacuations(&mut self, rest: &[u8]) -> Result<(), postcard::Error> {
        if !rest.is_empty() {
            self.evacuations = postcard::from_bytes(rest)?;
        }
        Ok(())
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Order::Evacuate => "evacuate",
            Order::Readmit => "readmit",
        })
    }
}
