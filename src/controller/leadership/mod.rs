//! Who leads: the election, the standby that shortens a takeover, and the hand-over of a controller
//! that shuts down.

pub(crate) mod election;
pub(crate) mod shutdown;
pub(crate) mod standby;
