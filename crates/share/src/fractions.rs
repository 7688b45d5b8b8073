//! Fractions of each rank that fit into a capacity, most urgent first.

/// Fraction of each rank that is admitted whatever the more urgent ranks need, so that no
/// rank starves. More would take from urgent work when capacity is very short.
const FLOOR_FRACTION: f64 = 0.04;

/// Demand of one rank, in slots that it would keep in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankDemand {
    /// The rank; 0 is the most urgent.
    pub rank: u32,
    /// Offered slot time per time.
    pub rate: f64,
}

/// The share of a rank in a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankShare {
    /// The rank; 0 is the most urgent.
    pub rank: u32,
    /// Fraction of its requests to admit.
    pub fraction: f64,
    /// Fraction of the service's offered work that is of this rank.
    pub weight: f64,
}

/// Returns the fraction of each rank to admit; `demands` are in order of rank.
pub fn rank_fractions(demands: &[RankDemand], capacity: f64) -> Vec<f64> {
    let total: f64 = demands.iter().map(|demand| demand.rate).sum();
    if total <= capacity {
        return vec![1.0; demands.len()];
    }
    let floor = FLOOR_FRACTION.min(capacity.max(0.0) / total);
    let mut room = (capacity - total * floor).max(0.0);
    let mut fractions = Vec::with_capacity(demands.len());
    for demand in demands {
        let wanted = demand.rate * (1.0 - floor);
        let given = wanted.min(room);
        room -= given;
        if wanted <= 0.0 {
            // Nothing of this rank is expected, and one request does no harm.
            fractions.push(1.0);
            continue;
        }
        fractions.push(floor + (1.0 - floor) * given / wanted);
    }
    // A rank without demand is not served better than a more urgent one.
    for index in 1..fractions.len() {
        fractions[index] = fractions[index].min(fractions[index - 1]);
    }
    fractions
}

/// Returns the fraction of a rank's requests for one upstream, which has room for `share`
/// of all its requests, if the ranks ask for it as they ask for the service.
pub fn share_at_upstream(shares: &[RankShare], rank: u32, share: f64) -> f64 {
    let own = shares.iter().find(|known| known.rank == rank);
    let Some(own) = own.filter(|own| own.weight > 0.0) else {
        return share;
    };
    let demands: Vec<RankDemand> = shares
        .iter()
        .map(|known| RankDemand {
            rank: known.rank,
            rate: known.weight,
        })
        .collect();
    let fractions = rank_fractions(&demands, share);
    let position = shares.iter().position(|known| known.rank == own.rank);
    position.map_or(share, |position| fractions[position])
}
