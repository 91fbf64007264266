/// A job that may count under one of several guarantees of its account.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The job.
    pub job: u64,
    /// Indices of the guarantees under which it may count, preferred first.
    pub options: Vec<usize>,
}

/// Assigns as many candidates as possible to guarantees with `counts` slots each. Returns the index
/// of the guarantee of each candidate.
pub fn assign(candidates: &[Candidate], counts: &[u16]) -> Vec<Option<usize>> {
    let mut chosen = vec![None; candidates.len()];
    for index in 0..candidates.len() {
        let mut visited = vec![false; counts.len()];
        place(index, candidates, counts, &mut chosen, &mut visited);
    }
    chosen
}

/// Finds a slot for one candidate, moving others to their alternatives where needed.
fn place(
    index: usize,
    candidates: &[Candidate],
    counts: &[u16],
    chosen: &mut Vec<Option<usize>>,
    visited: &mut Vec<bool>,
) -> bool {
    for &option in &candidates[index].options {
        if std::mem::replace(&mut visited[option], true) {
            continue;
        }
        let holders: Vec<_> = (0..chosen.len())
            .filter(|i| chosen[*i] == Some(option))
            .collect();
        if holders.len() < usize::from(counts[option])
            || holders
                .into_iter()
                .any(|holder| place(holder, candidates, counts, chosen, visited))
        {
            chosen[index] = Some(option);
            return true;
        }
    }
    false
}
