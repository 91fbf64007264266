/// First room of a body in bytes.
const FIRST_BYTES: usize = 4 << 10;

/// Least growth beyond twice the room, in bytes.
const STEP_BYTES: usize = 64 << 10;

/// Room for a body that has `room` bytes and needs `needed`, of which at most `most` can arrive. It grows with what has
/// arrived, not with what was announced.
pub fn next_room(room: usize, needed: usize, most: usize) -> usize {
    let grown = (room * 2).min(room + STEP_BYTES.max(room / 4));
    grown.max(FIRST_BYTES).min(most).max(needed)
}
