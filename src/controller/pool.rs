//! Pools: machines of one type on one market, which are counted and scaled together.

use crate::wire::MachineType;

/// How a machine is paid for, and whether it may be taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Market {
    /// At the full price, for as long as it is wanted.
    OnDemand,
    /// Cheaper, until the cloud takes it back.
    Spot,
}

impl Market {
    /// Each market.
    pub(crate) const ALL: [Self; 2] = [Self::OnDemand, Self::Spot];

    /// The market of a machine that records and messages mark as spot or not.
    pub(crate) fn of(spot: bool) -> Self {
        if spot { Self::Spot } else { Self::OnDemand }
    }
}

/// A machine type by its place in the catalog, and a market.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Pool {
    /// The type's place in the catalog.
    pub(crate) machine_type: usize,
    /// The market.
    pub(crate) market: Market,
}

impl Pool {
    /// The pool of a type, as records and messages mark it.
    pub(crate) fn of(machine_type: usize, spot: bool) -> Self {
        Self {
            machine_type,
            market: Market::of(spot),
        }
    }

    /// Whether it is of spot machines.
    pub(crate) fn is_spot(&self) -> bool {
        self.market == Market::Spot
    }

    /// Its type in the catalog.
    pub(crate) fn type_in<'a>(&self, catalog: &'a [MachineType]) -> Option<&'a MachineType> {
        catalog.get(self.machine_type)
    }
}
