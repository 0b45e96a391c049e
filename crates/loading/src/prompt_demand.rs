//! Sums the prompt tokens that the nodes report for one model.

use barleyspar_dispatch::PromptDemandItem;

/// Tokens a second that one node may plausibly report for one model; a report of more
/// counts as an error.
const MAX_TOKENS_PER_SECOND: f32 = 1e8;
/// Recent requests a second from which their rate shows a trend: fewer requests come
/// together by chance.
const MIN_RISING_REQUESTS_PER_SECOND: f64 = 4.0;

/// Prompt tokens asked of one model at all nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PromptDemand {
    tokens_per_second: f64,
    recent_tokens_per_second: f64,
    recent_requests_per_second: f64,
}

impl PromptDemand {
    /// Adds the report of one node, which [`is_plausible`].
    pub fn add(&mut self, item: &PromptDemandItem) {
        self.tokens_per_second += f64::from(item.tokens_per_second);
        self.recent_tokens_per_second += f64::from(item.recent_tokens_per_second);
        self.recent_requests_per_second += f64::from(item.recent_requests_per_second);
    }

    /// Returns the tokens a second to plan for: the recent ones while they rise, since a
    /// load that begins once the average has risen comes too late.
    pub fn expected_tokens_per_second(&self) -> f64 {
        let shows_trend = self.recent_requests_per_second >= MIN_RISING_REQUESTS_PER_SECOND;
        if shows_trend {
            self.tokens_per_second.max(self.recent_tokens_per_second)
        } else {
            self.tokens_per_second
        }
    }
}

/// Whether a reported item may be counted: its rates are numbers that a node can see.
pub fn is_plausible(item: &PromptDemandItem) -> bool {
    let rates = [
        item.tokens_per_second,
        item.recent_tokens_per_second,
        item.recent_requests_per_second,
    ];
    rates
        .iter()
        .all(|rate| (0.0..=MAX_TOKENS_PER_SECOND).contains(rate))
}
