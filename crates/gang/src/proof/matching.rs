/// A job that may count against one of several guarantees of its account.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id of the job.
    pub job: u64,
    /// Indices in the account of the guarantees that it may count against, preferred first.
    pub options: Vec<usize>,
}

/// Maximum bipartite matching of candidates to guarantees, each of which takes up to `counts`
/// candidates. Returns the index of the guarantee for each candidate.
pub fn assign(candidates: &[Candidate], counts: &[u16]) -> Vec<Option<usize>> {
    let mut chosen = vec![None; candidates.len()];
    for index in 0..candidates.len() {
        let mut visited = vec![false; counts.len()];
        place(index, candidates, counts, &mut chosen, &mut visited);
    }
    chosen
}

/// Finds an augmenting path for one candidate: moves others to their alternatives where needed.
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
