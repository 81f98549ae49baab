//! Links of controllers to the store, the cloud, workers and peers, and their partitions.

use super::event::{Event, Process};
use super::world::World;
use salttrestle::controller::events::{Input, LinkEvent};

/// What is at the other end of a controller's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkEnd {
    Store,
    Cloud,
    Workers,
    Peers,
}

impl LinkEnd {
    /// As scenarios name it.
    pub(crate) fn parse(word: &str) -> Self {
        match word {
            "state" => Self::Store,
            "cloud" => Self::Cloud,
            "workers" => Self::Workers,
            "peers" => Self::Peers,
            other => panic!("unknown link {other}"),
        }
    }
}

/// A controller can't reach what is at the other end.
#[derive(Debug)]
pub(crate) struct Partition {
    pub id: u64,
    pub controller: usize,
    pub end: LinkEnd,
    /// Messages are kept until it is over, in place of being lost.
    pub holds_messages: bool,
    /// Only the workers of this zone.
    pub zone: Option<String>,
}

/// What a partition keeps until it is over.
pub(crate) struct HeldMessage {
    partition: u64,
    event: Event,
}

/// A connection from one controller to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PeerConnection {
    pub from: usize,
    pub to: usize,
}

impl World {
    /// Partitions a link until then.
    pub(super) fn partition(
        &mut self,
        controller: usize,
        end: LinkEnd,
        holds_messages: bool,
        zone: Option<&str>,
        until: u64,
    ) {
        self.sequence += 1;
        let id = self.sequence;
        self.partitions.push(Partition {
            id,
            controller,
            end,
            holds_messages,
            zone: zone.map(String::from),
        });
        self.at(until, Event::PartitionEnds(id));
    }

    /// The partition of a link, if it is partitioned.
    pub(super) fn partition_of(&self, controller: usize, end: LinkEnd) -> Option<&Partition> {
        let mut partitions = self.partitions.iter();
        partitions.find(|partition| partition.end == end && partition.controller == controller)
    }

    /// Whether a worker and a controller can't reach each other.
    pub(super) fn worker_partitioned(&self, controller: usize, machine: &str) -> bool {
        let zone = self.workers.get(machine).map(|worker| &worker.zone);
        let partitions = self.partitions.iter();
        let mut partitions = partitions.filter(|partition| {
            partition.end == LinkEnd::Workers && partition.controller == controller
        });
        partitions.any(|partition| partition.zone.is_none() || partition.zone.as_ref() == zone)
    }

    /// Sends over a link. If that is partitioned, the message is lost, or kept until the partition
    /// is over.
    pub(super) fn cross(&mut self, controller: usize, end: LinkEnd, delay: u64, event: Event) {
        match self.partition_of(controller, end) {
            None => self.after(delay, event),
            Some(partition) if partition.holds_messages => {
                let held = HeldMessage {
                    partition: partition.id,
                    event,
                };
                self.held.push(held);
            }
            Some(_) => {}
        }
    }

    /// A partition is over: what it has kept arrives.
    pub(super) fn end_partition(&mut self, id: u64) {
        self.partitions.retain(|partition| partition.id != id);
        for message in std::mem::take(&mut self.held) {
            if message.partition == id {
                self.after(5, message.event);
            } else {
                self.held.push(message);
            }
        }
    }

    /// A controller learns the state of its connection to a peer.
    pub(super) fn set_link(&mut self, controller: usize, peer: usize, link: LinkEvent) {
        let input = Input::Link(self.controller_ids[peer].as_str().into(), link);
        let process = self.process(controller);
        self.after(1, Event::Input { process, input });
    }

    /// The process that a controller runs now, or the next one if it runs none.
    pub(super) fn process(&self, controller: usize) -> Process {
        Process {
            controller,
            incarnation: self.hosts[controller].incarnation,
        }
    }
}
