//! The platform: it publishes the configuration and the list of VMs, and answers watches.

use peridotdeck_core::Event;
use peridotdeck_policy::{Class, Config, Organisation, Parts, Policy, Service, split};
use peridotdeck_wire::{Delta, Member, Part};

use super::{COLD_SLOTS, SLOTS, Simulation};

/// Builds a configuration with two engines and one plain endpoint in each data centre.
///
/// Each entry of `data_centres` is a name and the number of VMs there.
pub fn build_config(data_centres: &[(&str, usize)]) -> Config {
    let mut policy = Policy::new()
        .class(Class::interactive("counter", 0).first_token_ms(440))
        .class(Class::interactive("advice", 1).first_token_ms(1_000))
        .class(Class::interactive("reorder", 0).whole_ms(4_000))
        .class(
            Class::bulk("draft", 4)
                .whole_ms(3_600_000)
                .min_share_percent(10),
        )
        .organisation(
            Organisation::named("matrah")
                .key("m")
                .rate(10_000, 10_000)
                .concurrency(10_000),
        )
        .organisation(
            Organisation::named("barka")
                .key("b")
                .rate(10_000, 10_000)
                .concurrency(10_000),
        );
    let mut model = Service::model("wickmind", "counter");
    let mut plain = Service::plain("refill-desk", "reorder").unrepeatable("/", "reorder");
    for (index, (data_centre, _)) in data_centres.iter().enumerate() {
        policy = policy.place(data_centre, &format!("region-{index}"));
        for port in 0..2 {
            let address = format!("127.0.0.1:{}", 9_000 + index * 10 + port);
            model = model.sized_endpoint(data_centre, &address, SLOTS, COLD_SLOTS);
        }
        plain = plain.sized_endpoint(data_centre, &format!("127.0.0.1:{}", 9_500 + index), 64, 64);
    }
    policy
        .service(model)
        .service(plain)
        .build()
        .expect("the test configuration is valid")
}

impl Simulation {
    /// Publishes the current configuration under a new revision.
    pub fn publish(&mut self) {
        self.revision += 1;
        let parts: Parts = split(&self.config);
        for (key, value) in parts {
            let part = Part {
                key,
                revision: self.revision,
                value: value.to_string(),
            };
            match self.parts.iter_mut().find(|old| old.key == part.key) {
                Some(old) if old.value == part.value => {}
                Some(old) => *old = part,
                None => self.parts.push(part),
            }
        }
    }

    /// Gives the VM list a new revision.
    pub fn advance_vm_list_revision(&mut self) {
        self.vm_list_revision += 1;
    }

    fn members(&self) -> Vec<Member> {
        let vms = self.vms.iter();
        vms.map(|vm| Member {
            node: vm.id,
            place: vm.data_centre.clone(),
            peers: String::new(),
            callers: String::new(),
            leaving: false,
        })
        .collect()
    }

    /// Answers a node's watch as the platform does.
    pub(super) fn answer_watch(&mut self, vm: usize) {
        if self.partitioned.contains(&self.vms[vm].data_centre) {
            return;
        }
        let Some(node) = &self.vms[vm].node else {
            return;
        };
        let from = node.config().revision();
        let to = self.stale_revision.unwrap_or(self.revision);
        if from >= to && node.view().vm_list_revision() >= self.vm_list_revision {
            return;
        }
        let parts = self
            .parts
            .iter()
            .filter(|part| part.revision > from && part.revision <= to)
            .cloned()
            .collect();
        let (roster, members) = (self.vm_list_revision, self.members());
        self.handle_event(
            vm,
            Event::Published(Delta {
                nonce: 0,
                from,
                to,
                parts,
                roster,
                members,
            }),
        );
    }
}
