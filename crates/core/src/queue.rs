//! NextRequest work: by priority, and within a priority shared fairly between customers by weight.

use super::*;

/// Cost unit of one request at weight 1 in virtual time.
const UNIT: u64 = 1 << 20;

/// One request that waits.
#[derive(Clone, Debug)]
struct Entry {
    finish: u64,
    request: request::Key,
}

/// Requests of one priority; start-time fair queueing over customers.
#[derive(Clone, Debug, Default)]
struct Class {
    customers: BTreeMap<String, VecDeque<Entry>>,
    finishes: HashMap<String, u64>,
    length: usize,
    /// When requests of this class were last sent, oldest first.
    sent: VecDeque<Time>,
    virtual_time: u64,
    /// Since when some request has waited without a break.
    waiting_since: Option<Time>,
}

/// Sendings that the rate of a class is taken from, at most.
const SENDINGS: usize = 1_024;

/// Sendings that a class without any is believed to have had.
const SENDINGS_LEAST: f64 = 0.5;

/// Time that a class must have had waiting work for its rate to say something, in milliseconds.
const BACKLOG_MS: u64 = 1_000;

/// Time after which a sending no longer counts for the rate, in milliseconds.
const SENDING_AGE_MS: u64 = 5_000;

/// The request to send next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NextRequest {
    /// The request.
    pub request: request::Key,
    /// Whether it had been sent before.
    pub is_resume: bool,
}

/// What a customer has of a pool at this instance.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    running: u32,
    waiting: u32,
    weight: u32,
}

/// Requests of one pool that wait for an upstream.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: BTreeMap<Priority, Class>,
    resumes: VecDeque<request::Key>,
    shares: HashMap<String, Share>,
}

/// Part of its fair share that a customer may have more before others' work of any priority goes
/// before its own.
const SHARE_MARGIN: f64 = 2.0;

impl Class {
    /// Name of the customer whose turn it is, among those that `may` be served.
    fn next(&self, may: impl Fn(&str) -> bool) -> Option<&str> {
        self.customers
            .iter()
            .filter(|(name, _)| may(name))
            .filter_map(|(name, entries)| Some((entries.front()?.finish, name.as_str())))
            .min()
            .map(|(_, name)| name)
    }

    /// The request that a customer is served next.
    fn front(&self, customer: &str) -> Option<request::Key> {
        let entries = self.customers.get(customer)?;
        entries.front().map(|entry| entry.request)
    }

    /// Requests that would be sent before a new one of a customer.
    fn ahead(&self, customer: &config::Customer) -> usize {
        let finish = self.finish(customer);
        let waiting = self.customers.values().flatten();
        waiting.filter(|entry| entry.finish <= finish).count()
    }

    /// Virtual time at which a new request of a customer would end.
    fn finish(&self, customer: &config::Customer) -> u64 {
        let last = self.finishes.get(&customer.name).copied().unwrap_or(0);
        last.max(self.virtual_time) + UNIT / u64::from(customer.weight.max(1))
    }

    /// Requests sent a second lately, while some waited; `None` if none has waited for long.
    fn rate(&self, now: Time) -> Option<f64> {
        let waited = now.since(self.waiting_since?);
        if waited < BACKLOG_MS {
            return None;
        }
        let window = waited.min(SENDING_AGE_MS);
        let recent = self.sent.iter().filter(|sent| now.since(**sent) < window);
        let count = (recent.count() as f64).max(SENDINGS_LEAST);
        Some(count / window as f64 * 1_000.0)
    }

    fn pop(&mut self, customer: &str, now: Time) -> Option<request::Key> {
        self.sent.push_back(now);
        if self.sent.len() > SENDINGS {
            self.sent.pop_front();
        }
        let entries = self.customers.get_mut(customer)?;
        let entry = entries.pop_front()?;
        if entries.is_empty() {
            self.customers.remove(customer);
        }
        self.virtual_time = self.virtual_time.max(entry.finish);
        self.length -= 1;
        if self.length == 0 {
            self.finishes.clear();
            self.virtual_time = 0;
            self.waiting_since = None;
        }
        Some(entry.request)
    }

    fn push(&mut self, customer: &config::Customer, request: request::Key, now: Time) {
        self.waiting_since.get_or_insert(now);
        let finish = self.finish(customer);
        self.finishes.insert(customer.name.clone(), finish);
        self.customers
            .entry(customer.name.clone())
            .or_default()
            .push_back(Entry { finish, request });
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
            self.waiting_since = None;
        }
        removed > 0
    }
}

impl Queue {
    /// Count of requests that wait and would be sent before new work of `priority`.
    pub fn ahead_of(&self, priority: Priority) -> usize {
        self.resumes.len()
            + self
                .classes
                .range(..=priority)
                .map(|(_, class)| class.length)
                .sum::<usize>()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Count of requests that wait.
    pub fn len(&self) -> usize {
        self.ahead_of(Priority::Background)
    }

    /// The request to send next.
    pub fn peek(&self) -> Option<NextRequest> {
        if let Some(request) = self.resumes.front() {
            return Some(NextRequest {
                request: *request,
                is_resume: true,
            });
        }
        let (priority, customer) = self.select()?;
        Some(NextRequest {
            request: self.classes.get(&priority)?.front(customer)?,
            is_resume: false,
        })
    }

    /// Takes the request to send next.
    pub fn pop(&mut self, now: Time) -> Option<request::Key> {
        if let Some(request) = self.resumes.pop_front() {
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

    /// A request that was taken by `pop` as new work has ended.
    pub fn finish(&mut self, customer: &config::Customer) {
        if let Some(share) = self.shares.get_mut(&customer.name) {
            share.running -= 1;
        }
        self.forget(&customer.name);
    }

    /// Priority and customer to serve next: the first priority in which some customer has not had
    /// its fair share; if all have, the first priority.
    fn select(&self) -> Option<(Priority, &str)> {
        let running: u32 = self.shares.values().map(|share| share.running).sum();
        let weight: u32 = self.shares.values().map(|share| share.weight).sum();
        let per_weight = f64::from(running + 1) / f64::from(weight.max(1));
        let short = |customer: &str| {
            self.shares.get(customer).is_none_or(|share| {
                let fair = per_weight * f64::from(share.weight) * SHARE_MARGIN;
                f64::from(share.running) < fair
            })
        };
        let next = |may: &dyn Fn(&str) -> bool| {
            let mut classes = self.classes.iter();
            classes.find_map(|(priority, class)| Some((*priority, class.next(may)?)))
        };
        next(&short).or_else(|| next(&|_| true))
    }

    fn forget(&mut self, customer: &str) {
        let over = |share: &Share| share.running == 0 && share.waiting == 0;
        if self.shares.get(customer).is_some_and(over) {
            self.shares.remove(customer);
        }
    }

    /// Time in milliseconds until a new request of a customer would be sent, by the rate at which
    /// its priority was served lately; `None` if too little was served to say.
    pub fn expected_wait(
        &self,
        priority: Priority,
        customer: &config::Customer,
        now: Time,
    ) -> Option<u64> {
        let class = self.classes.get(&priority)?;
        let ahead = class.ahead(customer) + self.resumes.len() + 1;
        Some((ahead as f64 / class.rate(now)? * 1_000.0) as u64)
    }

    /// Adds new work.
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

    /// Takes out a request that no longer waits.
    pub fn remove(
        &mut self,
        priority: Priority,
        customer: &config::Customer,
        request: request::Key,
    ) {
        self.resumes.retain(|key| *key != request);
        let class = self.classes.get_mut(&priority);
        if class.is_some_and(|class| class.remove(&customer.name, request))
            && let Some(share) = self.shares.get_mut(&customer.name)
        {
            share.waiting -= 1;
        }
        self.forget(&customer.name);
    }

    /// Adds work that had been sent before; it goes before all new work.
    pub fn push_resume(&mut self, request: request::Key) {
        self.resumes.push_back(request);
    }
}
