//! The requests of a fleet: the same for all ways to send them.

/// A request, with times in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub at: u64,
    pub node: usize,
    pub runner: usize,
    pub tokens: u32,
    /// Time from the request until its client leaves without an event.
    pub patience: u64,
}

/// Speeds of successive runners.
pub const SPEEDS: [f64; 3] = [1.0, 0.6, 1.6];
/// Every fourth runner has a hot model, which fills this part of its reading time.
const HOT_LOAD: f64 = 0.6;
const USUAL_LOAD: f64 = 0.2;
const PROMPT_TOKENS: [u32; 6] = [400, 900, 1460, 1460, 1460, 3000];
const PATIENCES_MS: [u64; 3] = [2000, 4000, 8000];

/// Pseudo-random numbers from a fixed seed.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, limit: usize) -> usize {
        (self.fraction() * limit as f64) as usize
    }

    fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

pub fn speed(runner: usize) -> f64 {
    SPEEDS[runner % SPEEDS.len()]
}

/// Returns the requests of `length` milliseconds by time, as many runners as nodes.
pub fn requests(nodes: usize, length: u64, seed: u64) -> Vec<Request> {
    let mut random = Random(seed);
    let mean_tokens = PROMPT_TOKENS.iter().sum::<u32>() as f64 / PROMPT_TOKENS.len() as f64;
    let mut requests = Vec::new();
    for runner in 0..nodes {
        let is_hot = runner.is_multiple_of(4);
        let load = if is_hot { HOT_LOAD } else { USUAL_LOAD };
        let mean_pause = mean_tokens / (super::engine::TOKENS_PER_MS * speed(runner) * load);
        let mut at = 0.0;
        loop {
            at -= mean_pause * (1.0 - random.fraction()).ln();
            if at >= length as f64 {
                break;
            }
            requests.push(Request {
                at: at as u64,
                node: random.below(nodes),
                runner,
                tokens: PROMPT_TOKENS[random.below(PROMPT_TOKENS.len())],
                patience: PATIENCES_MS[random.below(PATIENCES_MS.len())],
            });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}
