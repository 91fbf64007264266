use {
    quorum::{Entry, Payload, Snapshot},
    std::collections::HashMap,
};

/// Replicated register with compare-and-set. A command holds the new value, which is its unique
/// request id, and the expected value.
#[derive(Default)]
pub struct StateMachine {
    /// Index of the last applied entry.
    pub applied: u64,
    pub value: u64,
    /// New values of all commands, in the order of application.
    pub commands: Vec<u64>,
    /// Value that each command found, by its new value, for commands applied since the last
    /// restart.
    pub found_values: HashMap<u64, u64>,
}

pub fn command(new: u64, expected: u64) -> Vec<u8> {
    [new.to_le_bytes(), expected.to_le_bytes()].concat()
}

fn words(bytes: &[u8]) -> Vec<u64> {
    let to_word = |chunk: &[u8]| u64::from_le_bytes(chunk.try_into().expect("eight bytes"));
    bytes.chunks_exact(8).map(to_word).collect()
}

impl StateMachine {
    pub fn load(snapshot: Option<&Snapshot>) -> StateMachine {
        let Some(snapshot) = snapshot else {
            return StateMachine::default();
        };
        let mut commands = words(&snapshot.data);
        let value = commands.remove(0);
        StateMachine {
            applied: snapshot.index,
            value,
            commands,
            found_values: HashMap::new(),
        }
    }

    pub fn apply(&mut self, entry: &Entry) {
        self.applied = entry.index;
        if let Payload::Command(command) = &entry.payload {
            let words = words(command);
            self.found_values.insert(words[0], self.value);
            self.commands.push(words[0]);
            if self.value == words[1] {
                self.value = words[0];
            }
        }
    }

    pub fn save(&self) -> Vec<u8> {
        let words = std::iter::once(&self.value).chain(&self.commands);
        words.flat_map(|word| word.to_le_bytes()).collect()
    }
}
