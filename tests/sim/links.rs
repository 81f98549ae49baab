//! Network links of controllers to the store, the cloud, workers and peers, and their partitions.

use super::event::{Event, Process};
use super::world::World;
use salttrestle::controller::events::{Input, LinkEvent};

/// The remote end of a controller's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkEnd {
    Store,
    Cloud,
    Workers,
    Peers,
}

impl LinkEnd {
    /// Parses the name that scenarios use.
    pub(crate) fn parse(word: &str) -> Self {
        match word {
            "state" => Self::Store,
            "cloud" => Self::Cloud,
            "workers" => Self::Workers,
            "peers" => Self::Peers,
            other => panic!("expected state, cloud, workers or peers as a link end, got {other}"),
        }
    }
}

/// A partition between a controller and a link's remote end.
#[derive(Debug)]
pub(crate) struct Partition {
    pub id: u64,
    pub controller: usize,
    pub end: LinkEnd,
    /// Whether messages are held until the partition ends instead of being lost.
    pub holds_messages: bool,
    /// Restricts a partition from workers to those of one zone.
    pub zone: Option<String>,
}

/// A message that is held until a partition ends.
pub(crate) struct HeldMessage {
    partition: u64,
    event: Event,
}

/// A connection from one controller to another, by their indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PeerConnection {
    pub from: usize,
    pub to: usize,
}

impl World {
    /// Partitions a link until a given time.
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
        self.schedule_at(until, Event::PartitionEnds(id));
    }

    /// The partition of a link, if there is one.
    pub(super) fn partition_of(&self, controller: usize, end: LinkEnd) -> Option<&Partition> {
        let mut partitions = self.partitions.iter();
        partitions.find(|partition| partition.end == end && partition.controller == controller)
    }

    /// Whether a partition separates a worker and a controller.
    pub(super) fn is_partitioned_from_worker(&self, controller: usize, machine: &str) -> bool {
        let zone = self.workers.get(machine).map(|worker| &worker.zone);
        let partitions = self.partitions.iter();
        let mut partitions = partitions.filter(|partition| {
            partition.end == LinkEnd::Workers && partition.controller == controller
        });
        partitions.any(|partition| partition.zone.is_none() || partition.zone.as_ref() == zone)
    }

    /// Sends an event over a link. If the link is partitioned, the event is lost, or held until the
    /// partition ends.
    pub(super) fn send_over_link(
        &mut self,
        controller: usize,
        end: LinkEnd,
        delay: u64,
        event: Event,
    ) {
        match self.partition_of(controller, end) {
            None => self.schedule_after(delay, event),
            Some(partition) if partition.holds_messages => {
                let held = HeldMessage {
                    partition: partition.id,
                    event,
                };
                self.held_messages.push(held);
            }
            Some(_) => {}
        }
    }

    /// Ends a partition and delivers the messages that it has held.
    pub(super) fn end_partition(&mut self, id: u64) {
        self.partitions.retain(|partition| partition.id != id);
        for message in std::mem::take(&mut self.held_messages) {
            if message.partition == id {
                self.schedule_after(5, message.event);
            } else {
                self.held_messages.push(message);
            }
        }
    }

    /// Reports the state of a peer connection to a controller.
    pub(super) fn report_link_event(&mut self, controller: usize, peer: usize, link: LinkEvent) {
        let input = Input::Link(self.controller_ids[peer].as_str().into(), link);
        let process = self.current_process(controller);
        self.schedule_after(1, Event::Input { process, input });
    }

    /// The current process of a controller host. While the host is down, the incarnation belongs to
    /// no process, so that an input that is sent meanwhile reaches none.
    pub(super) fn current_process(&self, controller: usize) -> Process {
        Process {
            controller,
            incarnation: self.hosts[controller].incarnation,
        }
    }
}
