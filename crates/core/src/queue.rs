//! Waiting work: by priority, and within a priority shared fairly between customers by weight.

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
    virtual_time: u64,
}

/// The request to send next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// The request.
    pub request: request::Key,
    /// Whether it had been sent before.
    pub resume: bool,
}

/// Requests of one pool that wait for an upstream.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: BTreeMap<Priority, Class>,
    resumes: VecDeque<request::Key>,
}

impl Class {
    /// Name of the customer whose turn it is.
    fn next(&self) -> Option<&str> {
        self.customers
            .iter()
            .filter_map(|(name, entries)| Some((entries.front()?.finish, name.as_str())))
            .min()
            .map(|(_, name)| name)
    }

    fn peek(&self) -> Option<request::Key> {
        let entries = self.customers.get(self.next()?)?;
        entries.front().map(|entry| entry.request)
    }

    fn pop(&mut self) -> Option<request::Key> {
        let name = self.next()?.to_owned();
        let entries = self.customers.get_mut(&name)?;
        let entry = entries.pop_front()?;
        if entries.is_empty() {
            self.customers.remove(&name);
        }
        self.virtual_time = self.virtual_time.max(entry.finish);
        self.length -= 1;
        if self.length == 0 {
            self.finishes.clear();
            self.virtual_time = 0;
        }
        Some(entry.request)
    }

    fn push(&mut self, customer: &config::Customer, request: request::Key) {
        let last = self.finishes.get(&customer.name).copied().unwrap_or(0);
        let finish = last.max(self.virtual_time) + UNIT / u64::from(customer.weight.max(1));
        self.finishes.insert(customer.name.clone(), finish);
        self.customers
            .entry(customer.name.clone())
            .or_default()
            .push_back(Entry { finish, request });
        self.length += 1;
    }

    fn remove(&mut self, customer: &str, request: request::Key) {
        let Some(entries) = self.customers.get_mut(customer) else {
            return;
        };
        let before = entries.len();
        entries.retain(|entry| entry.request != request);
        self.length -= before - entries.len();
        if entries.is_empty() {
            self.customers.remove(customer);
        }
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
    pub fn peek(&self) -> Option<Waiting> {
        let resumed = self.resumes.front().map(|request| Waiting {
            request: *request,
            resume: true,
        });
        resumed.or_else(|| {
            let request = self.classes.values().find_map(Class::peek)?;
            Some(Waiting {
                request,
                resume: false,
            })
        })
    }

    /// Takes the request to send next.
    pub fn pop(&mut self) -> Option<request::Key> {
        self.resumes
            .pop_front()
            .or_else(|| self.classes.values_mut().find_map(Class::pop))
    }

    /// Adds new work.
    pub fn push(&mut self, priority: Priority, customer: &config::Customer, request: request::Key) {
        self.classes
            .entry(priority)
            .or_default()
            .push(customer, request);
    }

    /// Takes out a request that no longer waits.
    pub fn remove(
        &mut self,
        priority: Priority,
        customer: &config::Customer,
        request: request::Key,
    ) {
        self.resumes.retain(|key| *key != request);
        if let Some(class) = self.classes.get_mut(&priority) {
            class.remove(&customer.name, request);
        }
    }

    /// Adds work that had been sent before; it goes before all new work.
    pub fn push_resume(&mut self, request: request::Key) {
        self.resumes.push_back(request);
    }
}
