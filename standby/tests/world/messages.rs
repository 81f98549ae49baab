//! Messages between controllers: late, lost, copied, overtaken, and wrong.

use super::{CONTROLLERS, Mistake, World, name};
use salttrestle_standby::hints::Hints;
use salttrestle_standby::message::Heartbeat;

#[derive(Clone, Debug)]
enum Message {
    Heartbeat(Heartbeat),
    Hints {
        hints: Hints,
        /// They say that the task has ended, which isn't so.
        lie: bool,
    },
}

/// A message on its way.
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

    /// The leader sends hints; a lie says that the task has ended.
    pub(crate) fn hint(&mut self, place: usize, lie: bool) {
        let token = match &self.controllers[place].leadership {
            Some(leadership) if self.acts(place) => leadership.token,
            _ => return,
        };
        let hints = Hints {
            from: name(place),
            token: token - u64::from(lie),
            ..Hints::default()
        };
        self.broadcast(place, &Message::Hints { hints, lie });
    }

    /// A hint in the name of a controller says that the task has ended, and arrives at once.
    pub(crate) fn lie_to(&mut self, to: usize, from: usize) {
        let hints = Hints {
            from: name(from),
            ..Hints::default()
        };
        let message = Message::Hints { hints, lie: true };
        self.messages.push(Envelope { to, message });
        self.deliver(self.messages.len() - 1, false);
    }

    /// A message arrives, and perhaps a copy of it stays on its way.
    pub(crate) fn deliver(&mut self, index: usize, copy: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        let Envelope { to, message } = match copy {
            true => self.messages[index].clone(),
            false => self.messages.swap_remove(index),
        };
        if !self.acts(to) {
            return;
        }
        let (now, believes) = (self.now, self.mistake == Mistake::HintBelieved);
        let controller = &mut self.controllers[to];
        match message {
            Message::Heartbeat(heartbeat) => controller.standby.on_heartbeat(now, &heartbeat),
            Message::Hints { hints, lie } => {
                controller.standby.on_hints(now, hints);
                if lie && believes {
                    controller.view.run.value = None;
                }
            }
        }
    }

    /// Delivers a message between these controllers and loses those to others; false if there is
    /// none.
    pub(crate) fn deliver_between(&mut self, controllers: &[usize]) -> bool {
        self.messages
            .retain(|envelope| controllers.contains(&envelope.to));
        let any = !self.messages.is_empty();
        self.deliver(0, false);
        any
    }

    pub(crate) fn lose_messages(&mut self) {
        self.messages.clear();
    }

    /// The connection to a controller is lost.
    pub(crate) fn disconnect(&mut self, place: usize, from: usize) {
        let standby = &mut self.controllers[place].standby;
        standby.on_disconnected(self.now, &name(from));
    }
}
