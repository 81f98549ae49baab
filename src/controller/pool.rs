//! Pools: machines of one type on one market, which are counted and scaled together.

use crate::wire::MachineType;

/// How a machine is paid for, and whether it may be taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Market {
    /// At the full price, until it is deleted.
    OnDemand,
    /// At a lower price; the cloud may take it back.
    Spot,
}

impl Market {
    /// All markets.
    pub(crate) const ALL: [Self; 2] = [Self::OnDemand, Self::Spot];

    /// The market of a machine that is spot or not, as records and messages say.
    pub(crate) fn of(spot: bool) -> Self {
        if spot { Self::Spot } else { Self::OnDemand }
    }
}

/// A machine type, by its index in the catalog, and a market.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Pool {
    /// The type's index in the catalog.
    pub(crate) machine_type: usize,
    /// The market.
    pub(crate) market: Market,
}

impl Pool {
    /// The pool of a type's spot machines, or of its others.
    pub(crate) fn of(machine_type: usize, spot: bool) -> Self {
        Self {
            machine_type,
            market: Market::of(spot),
        }
    }

    /// Whether its machines are spot machines.
    pub(crate) fn is_spot(&self) -> bool {
        self.market == Market::Spot
    }

    /// Its type in the catalog.
    pub(crate) fn type_in<'a>(&self, catalog: &'a [MachineType]) -> Option<&'a MachineType> {
        catalog.get(self.machine_type)
    }
}
