//! Arrivals of requests: a seeded generator out of a site's traffic.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::site::{Burst, Site};

/// Characters of one word of a prompt.
const WORD: &str = "hive ";
const CHARACTERS_PER_TOKEN: usize = 4;

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// A completion of a model or adapter.
    Model {
        /// Name of the model or adapter.
        target: String,
        /// Prompt.
        prompt: String,
        /// Largest number of tokens.
        maximum_tokens: u32,
    },
    /// A look-up, which may run more than once.
    LookUp,
    /// A booking, which may not.
    Booking,
}

/// One request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Seconds since the start.
    pub at: f64,
    /// Its number.
    pub number: usize,
    /// Index of the zone it arrives at.
    pub zone: usize,
    /// Customer.
    pub customer: usize,
    /// What it asks for.
    pub ask: Ask,
}

/// All arrivals of `seconds`, in order of time.
pub fn generate(site: &Site, seconds: f64, random: &mut ChaCha8Rng) -> Vec<Arrival> {
    let weights = popularity(site);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let draw: f64 = random.random_range(f64::EPSILON..1.0);
        at -= draw.ln() / site.traffic.requests_per_second;
        if at >= seconds {
            break;
        }
        let ask = draw_ask(site, &weights, random);
        arrivals.push(arrival(site, at, ask, random));
    }
    for burst in site.traffic.burst.iter().filter(|b| b.at_seconds < seconds) {
        add_burst(site, burst, &mut arrivals, random);
    }
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.number = number;
    }
    arrivals
}

fn arrival(site: &Site, at: f64, ask: Ask, random: &mut ChaCha8Rng) -> Arrival {
    Arrival {
        at,
        number: 0,
        zone: random.random_range(0..site.zone.len()),
        customer: random.random_range(0..site.site.customers),
        ask,
    }
}

fn add_burst(site: &Site, burst: &Burst, arrivals: &mut Vec<Arrival>, random: &mut ChaCha8Rng) {
    for _ in 0..burst.requests {
        let at = burst.at_seconds + random.random::<f64>() * burst.spread_seconds;
        let target = site.model_name(burst.model).to_string();
        let ask = model_ask(site, target, random);
        arrivals.push(arrival(site, at, ask, random));
    }
}

/// Cumulative weights of the models by rank.
fn popularity(site: &Site) -> Vec<f64> {
    let exponent = site.traffic.popularity_exponent;
    let mut sum = 0.0;
    (1..=site.models.count)
        .map(|rank| {
            sum += (rank as f64).powf(-exponent);
            sum
        })
        .collect()
}

fn draw_ask(site: &Site, weights: &[f64], random: &mut ChaCha8Rng) -> Ask {
    if site.plain_service().is_some() && random.random_bool(site.traffic.plain_share) {
        return match random.random_bool(site.traffic.booking_share) {
            true => Ask::Booking,
            false => Ask::LookUp,
        };
    }
    let total = weights.last().copied().unwrap_or(1.0);
    let draw = random.random::<f64>() * total;
    let rank = weights.partition_point(|weight| *weight < draw);
    let rank = rank.min(site.models.count - 1);
    let adapters = (rank..site.models.adapters).step_by(site.models.count);
    let adapters: Vec<usize> = adapters.collect();
    let target = match adapters.is_empty() || random.random_bool(0.5) {
        true => site.model_name(rank).to_string(),
        false => {
            let number = adapters[random.random_range(0..adapters.len())];
            site.adapter_name(number).to_string()
        }
    };
    model_ask(site, target, random)
}

fn model_ask(site: &Site, target: String, random: &mut ChaCha8Rng) -> Ask {
    let tokens = site.traffic.prompt_tokens as usize;
    let shared = WORD.repeat(tokens * CHARACTERS_PER_TOKEN / 2 / WORD.len());
    let own: u64 = random.random();
    Ask::Model {
        target,
        prompt: format!("{shared}{own:x}"),
        maximum_tokens: site.traffic.output_tokens,
    }
}
