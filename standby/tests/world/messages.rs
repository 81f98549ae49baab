//! Messages between controllers. They may be delayed, lost, duplicated, reordered or false.

use super::{CONTROLLERS, InjectedBug, World, name};
use salttrestle_standby::hints::Hints;
use salttrestle_standby::message::Heartbeat;

#[derive(Clone, Debug)]
enum Message {
    Heartbeat(Heartbeat),
    Hints {
        hints: Hints,
        /// Whether the hints say that the task has ended although it hasn't.
        is_false: bool,
    },
}

/// A message in transit.
#[derive(Clone, Debug)]
pub(super) struct Envelope {
    to: usize,
    message: Message,
}

impl World {
    fn broadcast(&mut self, from: usize, message: &Message) {
        for to in (0..CONTROLLERS).filter(|to| *to != from) {
            let message = message.clone();
            self.messages.push(Envelope { to, message });
        }
    }

    pub(super) fn broadcast_heartbeat(&mut self, from: usize, heartbeat: &Heartbeat) {
        self.broadcast(from, &Message::Heartbeat(heartbeat.clone()));
    }

    /// The leader sends hints. False hints say that the task has ended.
    pub(crate) fn send_hints(&mut self, controller_index: usize, is_false: bool) {
        let token = match &self.controllers[controller_index].leadership {
            Some(leadership) if self.is_running(controller_index) => leadership.token,
            _ => return,
        };
        let hints = Hints {
            from: name(controller_index),
            token: token - u64::from(is_false),
            ..Hints::default()
        };
        self.broadcast(controller_index, &Message::Hints { hints, is_false });
    }

    /// Sends and delivers false hints in the name of a controller, which say that the task has
    /// ended.
    pub(crate) fn deliver_false_hints(&mut self, to: usize, from: usize) {
        let hints = Hints {
            from: name(from),
            ..Hints::default()
        };
        let message = Message::Hints {
            hints,
            is_false: true,
        };
        self.messages.push(Envelope { to, message });
        self.deliver(self.messages.len() - 1, false);
    }

    /// Delivers a message. With `keep_copy` the message stays in transit, to be delivered again.
    pub(crate) fn deliver(&mut self, index: usize, keep_copy: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        let Envelope { to, message } = match keep_copy {
            true => self.messages[index].clone(),
            false => self.messages.swap_remove(index),
        };
        if !self.is_running(to) {
            return;
        }
        let (now, trusts_hints) = (self.now, self.bug == InjectedBug::TrustsHints);
        let controller = &mut self.controllers[to];
        match message {
            Message::Heartbeat(heartbeat) => controller.standby.on_heartbeat(now, &heartbeat),
            Message::Hints { hints, is_false } => {
                controller.standby.on_hints(now, hints);
                if is_false && trusts_hints {
                    controller.view.placement.value = None;
                }
            }
        }
    }

    /// Drops the messages to all controllers but these, and delivers one of the others. Returns
    /// false if there is none.
    pub(crate) fn deliver_between(&mut self, controllers: &[usize]) -> bool {
        self.messages
            .retain(|envelope| controllers.contains(&envelope.to));
        let has_messages = !self.messages.is_empty();
        self.deliver(0, false);
        has_messages
    }

    pub(crate) fn drop_messages(&mut self) {
        self.messages.clear();
    }

    /// A controller loses its connection to the controller `from`.
    pub(crate) fn disconnect(&mut self, controller_index: usize, from: usize) {
        let standby = &mut self.controllers[controller_index].standby;
        standby.on_disconnected(self.now, &name(from));
    }
}
