//! Pools: the machines of one type and one market, which are counted and scaled together.

use crate::wire::MachineType;

/// The market in which a machine is rented: its price, and whether the cloud may reclaim it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Market {
    /// Full price; the machine runs until it is deleted.
    OnDemand,
    /// Lower price; the cloud may reclaim the machine at any time.
    Spot,
}

impl Market {
    /// All markets.
    pub(crate) const ALL: [Self; 2] = [Self::OnDemand, Self::Spot];

    /// Returns the market for the `spot` flag of records and messages.
    pub(crate) fn of(spot: bool) -> Self {
        if spot { Self::Spot } else { Self::OnDemand }
    }
}

/// A pool: a machine type and a market.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Pool {
    /// Index of the machine type in the catalog.
    pub(crate) machine_type: usize,
    /// Market of the machines.
    pub(crate) market: Market,
}

impl Pool {
    /// Returns the pool of a machine type's spot machines or on-demand machines. `machine_type` is
    /// the index in the catalog.
    pub(crate) fn of(machine_type: usize, spot: bool) -> Self {
        Self {
            machine_type,
            market: Market::of(spot),
        }
    }

    /// Whether the pool consists of spot machines.
    pub(crate) fn is_spot(&self) -> bool {
        self.market == Market::Spot
    }

    /// Returns the catalog entry of the machine type, or `None` if the index is out of range.
    pub(crate) fn type_in<'a>(&self, catalog: &'a [MachineType]) -> Option<&'a MachineType> {
        catalog.get(self.machine_type)
    }
}
