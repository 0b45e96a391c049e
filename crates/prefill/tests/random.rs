//! What holds for any order of questions, reports and polls.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use barleyspar_prefill::{PrefillAnswer, PrefillOwner, PrefillRequest};
use common::{GAP_MS, TOKENS_PER_SECOND, ms, question, report};
use quickcheck::{Gen, QuickCheck};

mod common;

/// Tokens that the owner may grant within a target gap.
const BUDGET: u64 = TOKENS_PER_SECOND as u64 * GAP_MS as u64 * 8 / 10_000;
/// Time for which an owner's view of the reports may be wrong.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// An owner beside an independent record of what it granted.
struct Record {
    owner: PrefillOwner,
    start: Instant,
    now: Instant,
    tokens: BTreeMap<u64, u64>,
    /// When each waiting question gives up.
    waiting: BTreeMap<u64, Instant>,
    granted: BTreeMap<u64, Instant>,
    /// Granted questions without a report.
    unread: BTreeMap<u64, Instant>,
    /// When the report on each question was sent.
    reported: BTreeMap<u64, Instant>,
    /// Expected reading of each granted prompt: its question, begin and end.
    readings: Vec<(u64, Instant, Instant)>,
    error: Option<String>,
}

impl Record {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            owner: PrefillOwner::default(),
            start,
            now: start,
            tokens: BTreeMap::new(),
            waiting: BTreeMap::new(),
            granted: BTreeMap::new(),
            unread: BTreeMap::new(),
            reported: BTreeMap::new(),
            readings: Vec::new(),
            error: None,
        }
    }

    fn fail(&mut self, what: &str, number: u64) {
        let at = self.now - self.start;
        self.error
            .get_or_insert(format!("{what}: {number} at {at:?}"));
    }

    /// Whether the question was granted or reported on. The owner cannot know it any more when
    /// no report has come for long, so that a node which asks again has missed its grant.
    fn is_settled(&self, number: u64) -> bool {
        let granted_at = self.unread.get(&number);
        let recent = granted_at.is_some_and(|at| self.now - *at < REPORT_TIMEOUT);
        recent || self.reported.contains_key(&number)
    }

    /// Asks again, as a node does until its report, and as copies of questions arrive up to
    /// 2 s later.
    fn ask_again(&mut self, number: u64, patience_ms: u32) {
        let reported_at = self.reported.get(&number);
        if reported_at.is_none_or(|at| self.now - *at < ms(2000)) {
            self.ask(number, self.tokens[&number] as u32, patience_ms);
        }
    }

    fn ask(&mut self, number: u64, tokens: u32, patience_ms: u32) {
        let request = PrefillRequest {
            patience_ms,
            priority: tokens % 2,
            tenant: Some(tokens % 3),
            ..question(number, tokens)
        };
        self.tokens.entry(number).or_insert(tokens.max(1).into());
        match self.owner.request(&request, self.now) {
            PrefillAnswer::Granted if self.unread.contains_key(&number) => {}
            PrefillAnswer::Granted => self.grant(number),
            PrefillAnswer::Queued { .. } if self.is_settled(number) => {
                self.fail("queued after its grant or report", number);
            }
            PrefillAnswer::Queued { .. } => {
                let gives_up_at = self.now + ms(patience_ms.into());
                self.waiting.entry(number).or_insert(gives_up_at);
            }
            PrefillAnswer::Denied { .. } => {
                self.waiting.remove(&number);
            }
            PrefillAnswer::NotOwner => {}
        }
    }

    fn grant(&mut self, number: u64) {
        self.waiting.remove(&number);
        if self.is_settled(number) {
            self.fail("granted twice or after its report", number);
        }
        self.granted.insert(number, self.now);
        self.check_window(number);
        self.check_unread(number);
        self.unread.insert(number, self.now);
    }

    /// Checks the window that ends with the expected reading of this prompt, the fullest one.
    fn check_window(&mut self, number: u64) {
        let gap = ms(GAP_MS.into());
        let allowed = gap.mul_f64(0.8);
        let reading = Duration::from_micros(self.tokens[&number] * 50);
        let free_at = self.readings.last().map_or(self.now, |last| last.2);
        let begins_at = free_at.max(self.now);
        // Of a prompt over the budget, only the part that is allowed for a window.
        let window_end = begins_at + reading.min(allowed);
        let window_start = window_end - gap;
        let others = self
            .readings
            .iter()
            .map(|(_, begin, end)| end.saturating_duration_since(window_start.max(*begin)));
        let total = others.sum::<Duration>() + reading.min(allowed);
        if total > allowed + Duration::from_micros(10) {
            self.fail("window over budget", number);
        }
        self.readings.push((number, begins_at, begins_at + reading));
    }

    fn check_unread(&mut self, number: u64) {
        let unread = self.unread.keys().map(|number| self.tokens[number]);
        let unread: u64 = unread.sum::<u64>() + self.tokens[&number];
        let last = self.unread.values().max();
        let waited = last.is_none_or(|last| self.now - *last >= REPORT_TIMEOUT);
        let may_be_lost = self.unread.values().min();
        let may_be_lost = may_be_lost.is_some_and(|at| self.now - *at >= REPORT_TIMEOUT);
        if unread > BUDGET && !waited && !may_be_lost {
            self.fail("unread over budget", number);
        }
    }

    /// Reports on the prompt: not sent, or read within 0 ms, which is no sample of the speed.
    fn report(&mut self, number: u64, read: bool) {
        report(&mut self.owner, number, read.then_some(0), self.now);
        self.waiting.remove(&number);
        self.reported.entry(number).or_insert(self.now);
        let was_unread = self.unread.remove(&number).is_some();
        if !read && was_unread {
            self.granted.remove(&number);
            self.readings.retain(|reading| reading.0 != number);
        }
        if read && was_unread {
            self.end_reading();
        }
    }

    /// Ends all reading now, if no prompt is unread whose report may still come.
    fn end_reading(&mut self) {
        let mut unread = self.unread.values();
        if unread.any(|at| self.now - *at < REPORT_TIMEOUT) {
            return;
        }
        for (_, begin, end) in &mut self.readings {
            *begin = self.now.min(*begin);
            *end = self.now.min(*end);
        }
    }

    fn poll(&mut self) {
        for grant in self.owner.poll(self.now) {
            if !self.waiting.contains_key(&grant.number) {
                self.fail("granted, but does not wait", grant.number);
            }
            self.grant(grant.number);
        }
        let now = self.now;
        self.waiting.retain(|_, gives_up_at| now < *gives_up_at);
    }

    /// Passes `time`, and polls whenever the owner wants it.
    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(next) = self.owner.next_poll_at(self.now)
            && next <= until
        {
            self.now = next.max(self.now);
            self.poll();
            let again = self.owner.next_poll_at(self.now);
            if again.is_some_and(|again| again <= self.now) {
                self.fail("poll is due at once after a poll", 0);
                return;
            }
        }
        self.now = until;
    }
}

/// A step is (milliseconds passed, what happens, size of a prompt or number of a question).
fn play(steps: Vec<(u16, u8, u16)>, patience_ms: u32) -> Record {
    let mut record = Record::new();
    let mut asked = 0;
    for (elapsed_ms, what, size) in steps {
        record.pass(ms(u64::from(elapsed_ms % 150)));
        let known = u64::from(size) % (asked + 1);
        match what % 8 {
            0..=2 => {
                asked += 1;
                record.ask(asked, u32::from(size % 6000), patience_ms);
            }
            3 if known > 0 => record.ask_again(known, patience_ms),
            4 if known > 0 => record.report(known, false),
            5 | 6 if known > 0 => record.report(known, true),
            _ => record.poll(),
        }
    }
    record
}

fn grants_are_within_bounds(steps: Vec<(u16, u8, u16)>) -> bool {
    let record = play(steps, 4000);
    if let Some(error) = &record.error {
        println!("{error}");
    }
    record.error.is_none()
}

/// Without further questions and reports, each waiting prompt is granted.
fn all_are_granted_without_reports(steps: Vec<(u16, u8, u16)>) -> bool {
    let mut record = play(steps, 10_000_000);
    for _ in 0..1000 {
        if record.owner.next_poll_at(record.now).is_none() {
            break;
        }
        record.pass(Duration::from_secs(1));
    }
    if let Some(error) = &record.error {
        println!("{error}");
    }
    record.waiting.is_empty() && record.error.is_none()
}

/// Each waiting prompt is granted or gives up within its patience.
fn none_waits_beyond_its_patience(steps: Vec<(u16, u8, u16)>) -> bool {
    let mut record = play(steps, 700);
    record.pass(ms(701));
    record.waiting.is_empty() && record.owner.next_poll_at(record.now).is_none()
}

fn check(property: fn(Vec<(u16, u8, u16)>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(300)
        .quickcheck(property);
}

#[test]
fn more_is_granted_than_the_window_holds_or_a_prompt_twice() {
    check(grants_are_within_bounds);
}

#[test]
fn a_prompt_waits_for_ever_when_reports_are_lost() {
    check(all_are_granted_without_reports);
}

#[test]
fn a_prompt_waits_beyond_its_patience() {
    check(none_waits_beyond_its_patience);
}

/// Tokens of a prompt, and the least part of the rate that is granted for such prompts. Little
/// more than half of a window's reading cannot be packed better.
const LEAST_GRANTED: [(u32, f64); 6] = [
    (100, 0.97),
    (700, 0.97),
    (1460, 0.97),
    (2500, 0.84),
    (4700, 0.97),
    (9600, 0.97),
];

/// Prompts of one size wait at all times for 30 s, and are read at 20,000 tokens a second.
#[test]
fn a_saturated_runner_is_granted_little() {
    for (tokens, least) in LEAST_GRANTED {
        let mut record = Record::new();
        let read_time = ms(u64::from(tokens) / 20);
        let (mut asked, mut read_until) = (0, record.start);
        while record.now < record.start + ms(30_000) {
            while record.waiting.len() < 10 {
                asked += 1;
                record.ask(asked, tokens, 10_000_000);
            }
            record.pass(ms(1));
            while let Some((first, granted_at)) = record.unread.first_key_value()
                && read_until.max(*granted_at) + read_time <= record.now
            {
                read_until = read_until.max(*granted_at) + read_time;
                record.report(*first, true);
            }
        }
        let granted = record.granted.len() as u64 * u64::from(tokens);
        let fraction = granted as f64 / (BUDGET as f64 * 100.0);
        println!("{tokens} tokens: {fraction:.3} of the rate");
        assert!(record.error.is_none(), "{:?}", record.error);
        assert!(fraction >= least, "{tokens} tokens: {fraction}");
    }
}
