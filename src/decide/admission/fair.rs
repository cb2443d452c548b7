//! Max-min fair division of a capacity by weight.

/// Returns the part of `capacity` for each of (demand, weight).
///
/// Nobody gets more than the demand. What one leaves unused is divided between
/// the others by weight.
pub fn max_min(capacity: f32, claims: &[(f32, f32)]) -> Vec<f32> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    let level = |at: &usize| claims[*at].0 / claims[*at].1.max(f32::EPSILON);
    order.sort_by(|one, other| level(one).total_cmp(&level(other)));
    let mut left = capacity.max(0.0);
    let mut weights: f32 = claims.iter().map(|(_, weight)| *weight).sum();
    let mut parts = vec![0.0; claims.len()];
    for at in order {
        let (demand, weight) = claims[at];
        let fair = left * weight / weights.max(f32::EPSILON);
        parts[at] = demand.min(fair);
        left = (left - parts[at]).max(0.0);
        weights -= weight;
    }
    parts
}
