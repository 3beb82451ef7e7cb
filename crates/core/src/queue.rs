//! Queue of waiting requests: ordered by priority, and within a priority shared between customers
//! by weight.

use super::*;

/// Cost of one request at weight 1, in virtual time.
const COST_UNIT: u64 = 1 << 20;

/// A waiting request.
#[derive(Clone, Debug)]
struct Entry {
    /// Virtual finish time.
    finish_time: u64,
    request: request::Key,
}

/// Requests of one priority, in start-time fair queueing over customers.
#[derive(Clone, Debug, Default)]
struct Class {
    /// Start of the current backlog; `None` while no request waits.
    backlog_since: Option<Time>,
    customers: BTreeMap<String, VecDeque<Entry>>,
    /// Virtual finish time of the last request of each customer.
    finish_times: HashMap<String, u64>,
    length: usize,
    /// Times at which requests of this class were sent, oldest first.
    sent: VecDeque<Time>,
    virtual_time: u64,
}

/// Maximum number of sends from which the service rate of a class is measured.
const MAX_SENDS: usize = 1_024;

/// Number of sends assumed for a class without any.
const MIN_SENDS: f64 = 0.5;

/// Minimum age of a backlog in milliseconds for the service rate to be meaningful.
const MIN_BACKLOG_MS: u64 = 1_000;

/// Window in milliseconds over which the service rate is measured.
const RATE_WINDOW_MS: u64 = 5_000;

/// The request to send next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NextRequest {
    /// Whether it had been sent before and resumes.
    pub is_resume: bool,
    /// The request.
    pub request: request::Key,
}

/// Requests of a customer in a pool at this instance.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    running: u32,
    waiting: u32,
    weight: u32,
}

/// Requests of one pool that wait for an upstream.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Streams that may go on at one version only, and so may have to wait while others do not.
    bound: VecDeque<request::Key>,
    classes: BTreeMap<Priority, Class>,
    /// Requests of pools in which ranks are in force, in the order of their turns.
    ranked: BTreeSet<(Turn, request::Key)>,
    resumes: VecDeque<request::Key>,
    shares: HashMap<String, Share>,
}

/// Multiple of its fair share of running requests from which a customer yields to others' requests
/// of any priority.
const SHARE_MARGIN: f64 = 2.0;

impl Class {
    /// Name of the customer to serve next, among those for which `is_eligible` holds.
    fn next(&self, is_eligible: impl Fn(&str) -> bool) -> Option<&str> {
        self.customers
            .iter()
            .filter(|(name, _)| is_eligible(name))
            .filter_map(|(name, entries)| Some((entries.front()?.finish_time, name.as_str())))
            .min()
            .map(|(_, name)| name)
    }

    /// The next request of a customer.
    fn front(&self, customer: &str) -> Option<request::Key> {
        let entries = self.customers.get(customer)?;
        entries.front().map(|entry| entry.request)
    }

    /// Number of requests that would be sent before a new one of a customer.
    fn ahead(&self, customer: &config::Customer) -> usize {
        let finish_time = self.finish_time(customer);
        let waiting = self.customers.values().flatten();
        waiting
            .filter(|entry| entry.finish_time <= finish_time)
            .count()
    }

    /// Virtual finish time of a new request of a customer.
    fn finish_time(&self, customer: &config::Customer) -> u64 {
        let last = self.finish_times.get(&customer.name).copied().unwrap_or(0);
        last.max(self.virtual_time) + COST_UNIT / u64::from(customer.weight.max(1))
    }

    /// Recent service rate in requests per second; `None` if the backlog is too recent.
    fn service_rate(&self, now: Time) -> Option<f64> {
        let waited = now.since(self.backlog_since?);
        if waited < MIN_BACKLOG_MS {
            return None;
        }
        let window = waited.min(RATE_WINDOW_MS);
        let recent = self.sent.iter().filter(|sent| now.since(**sent) < window);
        let count = (recent.count() as f64).max(MIN_SENDS);
        Some(count / window as f64 * 1_000.0)
    }

    fn pop(&mut self, customer: &str, now: Time) -> Option<request::Key> {
        self.sent.push_back(now);
        if self.sent.len() > MAX_SENDS {
            self.sent.pop_front();
        }
        let entries = self.customers.get_mut(customer)?;
        let entry = entries.pop_front()?;
        if entries.is_empty() {
            self.customers.remove(customer);
        }
        self.virtual_time = self.virtual_time.max(entry.finish_time);
        self.length -= 1;
        if self.length == 0 {
            self.finish_times.clear();
            self.virtual_time = 0;
            self.backlog_since = None;
        }
        Some(entry.request)
    }

    fn push(&mut self, customer: &config::Customer, request: request::Key, now: Time) {
        self.backlog_since.get_or_insert(now);
        let finish_time = self.finish_time(customer);
        self.finish_times.insert(customer.name.clone(), finish_time);
        self.customers
            .entry(customer.name.clone())
            .or_default()
            .push_back(Entry {
                finish_time,
                request,
            });
        self.length += 1;
    }

    fn remove(&mut self, customer: &str, request: request::Key) -> bool {
        let Some(entries) = self.customers.get_mut(customer) else {
            return false;
        };
        let before = entries.len();
        entries.retain(|entry| entry.request != request);
        let removed = before - entries.len();
        self.length -= removed;
        if entries.is_empty() {
            self.customers.remove(customer);
        }
        if self.length == 0 {
            self.backlog_since = None;
        }
        removed > 0
    }
}

impl Queue {
    /// Number of waiting requests that would be sent before new work of `priority`.
    pub fn ahead_of(&self, priority: Priority) -> usize {
        self.resumes_waiting()
            + self
                .classes
                .range(..=priority)
                .map(|(_, class)| class.length)
                .sum::<usize>()
    }

    /// Whether a request waits whose turn is before another.
    pub fn has_turn_before(&self, turn: Turn) -> bool {
        self.ranked.first().is_some_and(|(first, _)| *first < turn)
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.ahead_of(Priority::Background) + self.ranked.len()
    }

    /// Number of waiting requests that would be sent before a new one with this turn.
    pub fn ahead_of_turn(&self, turn: Turn) -> usize {
        let ranked = self.ranked.iter();
        self.resumes_waiting() + ranked.take_while(|(other, _)| *other <= turn).count()
    }

    /// The streams that may go on at one version only, in the order in which they go before all other requests. One that
    /// has to wait holds up nothing else.
    pub fn bound(&self) -> Vec<request::Key> {
        self.bound.iter().copied().collect()
    }

    /// All waiting requests, one as often as it is queued.
    pub(crate) fn keys(&self) -> Vec<request::Key> {
        let sent_before = self.bound.iter().chain(&self.resumes).copied();
        let ranked = self.ranked.iter().map(|(_, key)| *key);
        let classes = self.classes.values();
        let entries = classes.flat_map(|class| class.customers.values().flatten());
        let new = entries.map(|entry| entry.request);
        sent_before.chain(ranked).chain(new).collect()
    }

    /// Number of requests that were taken by `pop` as new work without a rank and have not ended.
    pub(crate) fn running(&self) -> usize {
        let running = self.shares.values().map(|share| share.running as usize);
        running.sum()
    }

    /// Whether the counts of waiting requests by priority and by customer are those of the waiting requests.
    pub(crate) fn has_true_lengths(&self) -> bool {
        let is_true = |class: &Class| class.length == class.customers.values().flatten().count();
        let entries = self.classes.values().map(|class| class.length);
        let waiting = self.shares.values().map(|share| share.waiting as usize);
        self.classes.values().all(is_true) && entries.sum::<usize>() == waiting.sum()
    }

    /// Number of waiting requests that had been sent before.
    fn resumes_waiting(&self) -> usize {
        self.bound.len() + self.resumes.len()
    }

    /// The request to send next, apart from those that may go on at one version only.
    pub fn peek(&self) -> Option<NextRequest> {
        if let Some(request) = self.resumes.front() {
            return Some(NextRequest {
                request: *request,
                is_resume: true,
            });
        }
        if let Some((_, request)) = self.ranked.first() {
            return Some(NextRequest {
                is_resume: false,
                request: *request,
            });
        }
        let (priority, customer) = self.select()?;
        Some(NextRequest {
            request: self.classes.get(&priority)?.front(customer)?,
            is_resume: false,
        })
    }

    /// Removes and returns the request to send next.
    pub fn pop(&mut self, now: Time) -> Option<request::Key> {
        if let Some(request) = self.resumes.pop_front() {
            return Some(request);
        }
        if let Some((_, request)) = self.ranked.pop_first() {
            return Some(request);
        }
        let (priority, customer) = self.select()?;
        let customer = customer.to_owned();
        let request = self.classes.get_mut(&priority)?.pop(&customer, now)?;
        let share = self.shares.entry(customer).or_default();
        share.waiting -= 1;
        share.running += 1;
        Some(request)
    }

    /// Records the end of a request that was taken by `pop` as new work without a rank.
    pub fn finish(&mut self, customer: &config::Customer) {
        if let Some(share) = self.shares.get_mut(&customer.name) {
            share.running -= 1;
        }
        self.remove_if_idle(&customer.name);
    }

    /// Priority and customer to serve next: the highest priority in which some customer is below
    /// its fair share, or the highest priority if none is.
    fn select(&self) -> Option<(Priority, &str)> {
        let running: u32 = self.shares.values().map(|share| share.running).sum();
        let weight: u32 = self.shares.values().map(|share| share.weight).sum();
        let per_weight = f64::from(running + 1) / f64::from(weight.max(1));
        let is_below_share = |customer: &str| {
            self.shares.get(customer).is_none_or(|share| {
                let fair = per_weight * f64::from(share.weight) * SHARE_MARGIN;
                f64::from(share.running) < fair
            })
        };
        let next = |is_eligible: &dyn Fn(&str) -> bool| {
            let mut classes = self.classes.iter();
            classes.find_map(|(priority, class)| Some((*priority, class.next(is_eligible)?)))
        };
        next(&is_below_share).or_else(|| next(&|_| true))
    }

    fn remove_if_idle(&mut self, customer: &str) {
        let is_idle = |share: &Share| share.running == 0 && share.waiting == 0;
        if self.shares.get(customer).is_some_and(is_idle) {
            self.shares.remove(customer);
        }
    }

    /// Expected time in milliseconds until a new request of a customer is sent, by the recent
    /// service rate of its priority; `None` if there is too little data.
    pub fn expected_wait(
        &self,
        priority: Priority,
        customer: &config::Customer,
        now: Time,
    ) -> Option<u64> {
        let class = self.classes.get(&priority)?;
        let ahead = class.ahead(customer) + self.resumes_waiting() + 1;
        Some((ahead as f64 / class.service_rate(now)? * 1_000.0) as u64)
    }

    /// Enqueues new work.
    pub fn push(
        &mut self,
        priority: Priority,
        customer: &config::Customer,
        request: request::Key,
        now: Time,
    ) {
        let share = self.shares.entry(customer.name.clone()).or_default();
        share.waiting += 1;
        share.weight = customer.weight.max(1);
        self.classes
            .entry(priority)
            .or_default()
            .push(customer, request, now);
    }

    /// Removes a request that no longer waits.
    pub fn remove(
        &mut self,
        priority: Priority,
        customer: &config::Customer,
        request: request::Key,
    ) {
        self.remove_bound(request);
        self.resumes.retain(|key| *key != request);
        self.ranked.retain(|(_, key)| *key != request);
        let class = self.classes.get_mut(&priority);
        if class.is_some_and(|class| class.remove(&customer.name, request))
            && let Some(share) = self.shares.get_mut(&customer.name)
        {
            share.waiting -= 1;
        }
        self.remove_if_idle(&customer.name);
    }

    /// Enqueues a request of a pool in which ranks are in force; it goes before all requests with a later turn.
    pub fn push_ranked(&mut self, turn: Turn, request: request::Key) {
        self.ranked.insert((turn, request));
    }

    /// Enqueues a stream that may go on at one version only.
    pub fn push_bound(&mut self, request: request::Key) {
        self.bound.push_back(request);
    }

    /// Removes a stream that may go on at one version only.
    pub fn remove_bound(&mut self, request: request::Key) {
        self.bound.retain(|key| *key != request);
    }

    /// Enqueues work that had been sent before; it goes before all new work.
    pub fn push_resume(&mut self, request: request::Key) {
        self.resumes.push_back(request);
    }
}
