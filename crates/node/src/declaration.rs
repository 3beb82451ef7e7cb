//! Checks the declarations of operators, compiles them to the configuration, and splits them into
//! parts.

use super::*;

/// Maximum weight of a customer.
const WEIGHT_MAX: u32 = 1_000;

/// Maximum deadline in milliseconds.
const DEADLINE_MAX: u64 = 7_200_000;

/// Maximum wait for an upstream in milliseconds.
const WAIT_MAX: u64 = 600_000;

/// Number of hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 64;

/// Number of hash buckets of customers and of services, so that a change rewrites only a small part.
const BUCKETS: u8 = 32;

/// Parts by kind of entry and bucket of its name.
type Parts = BTreeMap<(u8, u8), schema::Declaration>;

/// Collects the faults of a declaration.
struct Checker<'a> {
    declaration: &'a schema::Declaration,
    faults: Vec<schema::Fault>,
}

impl Checker<'_> {
    fn customers(&mut self) {
        let mut names = HashSet::new();
        let mut digests = HashSet::new();
        for (index, customer) in self.declaration.customers.iter().enumerate() {
            let place = |field: &str| format!("customers[{index}].{field}");
            self.name(&customer.name, &mut names, place("name"));
            let digest = &customer.key_digest;
            let is_hex = digest.len() == DIGEST_DIGITS
                && digest
                    .chars()
                    .all(|digit| matches!(digit, '0'..='9' | 'a'..='f'));
            if !is_hex {
                self.fault(
                    place("key_digest"),
                    format!("`{digest}` must be 64 lower-case hexadecimal digits"),
                );
            } else if !digests.insert(digest.as_str()) {
                self.fault(place("key_digest"), "belongs to two customers".into());
            }
            if customer.max_running == 0 {
                self.fault(place("max_running"), "must be at least 1".into());
            }
            if !(1..=WEIGHT_MAX).contains(&customer.weight) {
                let weight = customer.weight;
                self.fault(
                    place("weight"),
                    format!("{weight} must be from 1 to {WEIGHT_MAX}"),
                );
            }
            self.permission(customer, &place("services"));
        }
    }

    /// Checks which services a customer may call. Neither a list nor all of them is a fault: an operator who takes the last
    /// service from a list does not mean that the customer may call every one.
    fn permission(&mut self, customer: &schema::Customer, place: &str) {
        match (customer.services.is_empty(), customer.all_services) {
            (true, false) => {
                let text = "give the services that it may call, or `all_services`";
                self.fault(place.into(), text.into());
            }
            (false, true) => self.fault(place.into(), "must be empty with `all_services`".into()),
            (true, true) | (false, false) => {}
        }
        for service in &customer.services {
            let mut services = self.declaration.services.iter();
            if !services.any(|other| other.name == *service) {
                let text = format!("`{service}` is not a declared service");
                self.fault(place.into(), text);
            }
        }
    }

    fn fault(&mut self, place: String, text: String) {
        self.faults.push(schema::Fault { place, text });
    }

    fn models(&mut self) {
        let mut names = HashSet::new();
        for (index, model) in self.declaration.models.iter().enumerate() {
            let place = |field: &str| format!("models[{index}].{field}");
            self.name(&model.name, &mut names, place("name"));
            for (field, value) in [("pool", &model.pool), ("version", &model.version)] {
                if value.is_empty() {
                    self.fault(place(field), "must not be empty".into());
                }
            }
        }
    }

    fn name<'b>(&mut self, name: &'b str, names: &mut HashSet<&'b str>, place: String) {
        let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        if name.is_empty() || !name.chars().all(is_allowed) {
            self.fault(
                place,
                format!("`{name}` must be letters, digits, `-`, `_` and `.`"),
            );
        } else if !names.insert(name) {
            self.fault(place, format!("`{name}` is declared twice"));
        }
    }

    fn services(&mut self) {
        let mut names = HashSet::new();
        for (index, service) in self.declaration.services.iter().enumerate() {
            let place = |field: &str| format!("services[{index}].{field}");
            self.name(&service.name, &mut names, place("name"));
            let model = self
                .declaration
                .models
                .iter()
                .find(|model| model.name == service.model);
            match (service.model.is_empty(), service.pool.is_empty()) {
                (true, true) | (false, false) => {
                    self.fault(place("model"), "give either a model or a pool".into());
                }
                (false, true) if model.is_none() => {
                    let model = &service.model;
                    self.fault(place("model"), format!("`{model}` is not a declared model"));
                }
                _ => {}
            }
            let adapters = model.map_or(&[][..], |model| &model.adapters);
            if !service.adapter.is_empty() && !adapters.contains(&service.adapter) {
                let adapter = &service.adapter;
                self.fault(
                    place("adapter"),
                    format!("`{adapter}` is not an adapter of the model"),
                );
            }
            let limits = [
                ("max_wait_ms", service.max_wait_ms, WAIT_MAX),
                ("deadline_ms", service.deadline_ms, DEADLINE_MAX),
            ];
            for (field, value, max) in limits {
                if !(1..=max).contains(&value) {
                    self.fault(place(field), format!("{value} must be from 1 to {max}"));
                }
            }
        }
    }
}

/// Checks a declaration; returns all faults, not only the first.
pub fn check(declaration: &schema::Declaration) -> Vec<schema::Fault> {
    let mut checker = Checker {
        declaration,
        faults: Vec::new(),
    };
    checker.customers();
    checker.models();
    checker.services();
    checker.faults
}

/// The fault of a change without a declaration, which is not one with an empty declaration: that takes everything away.
pub fn missing() -> schema::Fault {
    schema::Fault {
        place: "declaration".into(),
        text: "must be given, though it may be empty".into(),
    }
}

/// Compiles a checked declaration to the configuration. Services of undeclared models are left out.
pub fn compile(declaration: &schema::Declaration, revision: u64) -> Config {
    let models: BTreeMap<String, Arc<config::Model>> = declaration
        .models
        .iter()
        .map(|model| (model.name.clone(), Arc::new(compile_model(model))))
        .collect();
    let services = declaration
        .services
        .iter()
        .filter_map(|service| {
            let compiled = compile_service(service, &models)?;
            Some((service.name.clone(), Arc::new(compiled)))
        })
        .collect();
    let customers = declaration
        .customers
        .iter()
        .map(|customer| {
            let compiled = config::Customer {
                max_running: customer.max_running,
                name: customer.name.clone(),
                priority: config::DEFAULT_PRIORITY,
                services: compile_permission(customer),
                weight: customer.weight,
            };
            (customer.key_digest.clone(), Arc::new(compiled))
        })
        .collect();
    Config {
        access: config::Access::Keys(customers),
        models,
        revision,
        routes: Vec::new(),
        services,
    }
}

/// Joins the parts of a declaration.
pub fn join<'a>(parts: impl Iterator<Item = &'a schema::Declaration>) -> schema::Declaration {
    let mut whole = schema::Declaration::default();
    for part in parts {
        whole.customers.extend_from_slice(&part.customers);
        whole.models.extend_from_slice(&part.models);
        whole.services.extend_from_slice(&part.services);
    }
    whole
}

/// Splits a declaration into parts, few of which change with one entry.
pub fn split(declaration: &schema::Declaration) -> Vec<schema::Declaration> {
    let mut parts = Parts::new();
    let mut sorted = declaration.clone();
    sorted.customers.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.models.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.services.sort_by(|a, b| a.name.cmp(&b.name));
    for model in sorted.models {
        part(&mut parts, 0, "").models.push(model);
    }
    for customer in sorted.customers {
        part(&mut parts, 1, &customer.name).customers.push(customer);
    }
    for service in sorted.services {
        part(&mut parts, 2, &service.name).services.push(service);
    }
    parts.into_values().collect()
}

fn part<'a>(parts: &'a mut Parts, kind: u8, name: &str) -> &'a mut schema::Declaration {
    parts.entry((kind, bucket(name))).or_default()
}

fn bucket(name: &str) -> u8 {
    blake3::hash(name.as_bytes()).as_bytes()[0] % BUCKETS
}

fn compile_model(model: &schema::Model) -> config::Model {
    config::Model {
        adapters: model.adapters.clone(),
        name: model.name.clone(),
        pool: model.pool.clone(),
        version: model.version.clone(),
    }
}

/// The services that a customer may call. A declaration with neither a list nor `all_services` was accepted by an earlier version,
/// to which it meant all of them.
fn compile_permission(customer: &schema::Customer) -> config::Permission {
    if customer.all_services || customer.services.is_empty() {
        return config::Permission::All;
    }
    config::Permission::Only(customer.services.clone())
}

fn compile_service(
    service: &schema::Service,
    models: &BTreeMap<String, Arc<config::Model>>,
) -> Option<config::Service> {
    let target = if service.model.is_empty() {
        config::Target::Call {
            pool: service.pool.clone(),
        }
    } else {
        config::Target::Generate {
            adapter: service.adapter.clone(),
            model: models.get(&service.model)?.clone(),
        }
    };
    Some(config::Service {
        deadline_ms: service.deadline_ms,
        max_wait_ms: service.max_wait_ms,
        name: service.name.clone(),
        policy: match service.policy() {
            schema::Policy::Latency => config::Policy::Latency,
            schema::Policy::Resources => config::Policy::Resources,
        },
        priority: match service.priority() {
            schema::Priority::Background => config::Priority::Background,
            schema::Priority::Normal => config::Priority::Normal,
            schema::Priority::Urgent => config::Priority::Urgent,
        },
        repeatable: service.repeatable,
        target,
    })
}
