use {
    super::{Availability, Locality},
    crate::order::Unit,
    work::{collections::IndexMap, job::Resources},
};

/// What decides where units fit: equal for units of which the wider one fits nowhere if the narrower one does not.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Shape<'a> {
    service: &'a str,
    resources: [i64; 3],
    label: Option<&'a str>,
    data_rack: Option<&'a str>,
    gang: bool,
    same_rack: bool,
    last_chance: bool,
    leaves_headroom: bool,
    may_be_withheld: bool,
}

/// Placements that were tried in a planning round. The resources that are free now only shrink in a round, so what did
/// not fit fits no more.
#[derive(Debug, Default)]
pub struct Attempts<'a> {
    /// Smallest number of tasks that did not fit.
    failed: IndexMap<(Shape<'a>, Availability, Locality), usize>,
    /// Largest number of tasks that could be near each other and their data, and the smallest that could not.
    near: IndexMap<Shape<'a>, (usize, usize)>,
}

impl<'a> Attempts<'a> {
    /// Whether so many tasks of the unit are known not to fit.
    pub fn is_hopeless(
        &self,
        unit: &Unit<'a>,
        count: usize,
        availability: Availability,
        locality: Locality,
    ) -> bool {
        let shape = Shape::of(unit);
        shape.is_some_and(|shape| {
            let failed = self.failed.get(&(shape, availability, locality));
            failed.is_some_and(|failed| count >= *failed)
        })
    }

    /// Records that so many tasks of the unit did not fit.
    pub fn record_failure(
        &mut self,
        unit: &Unit<'a>,
        count: usize,
        availability: Availability,
        locality: Locality,
    ) {
        if let Some(shape) = Shape::of(unit) {
            let key = (shape, availability, locality);
            let failed = self.failed.entry(key).or_insert(usize::MAX);
            *failed = count.min(*failed);
        }
    }

    /// Discards what is known of resources that are being freed, because more are.
    pub fn discard_soon(&mut self) {
        self.failed
            .retain(|(_, availability, _), _| *availability != Availability::Soon);
    }

    /// Whether the unit could be placed near its data and its other members if nothing else ran there; `examine` finds
    /// that out.
    pub fn could_be_near(&mut self, unit: &Unit<'a>, examine: impl FnOnce() -> bool) -> bool {
        let Some(shape) = Shape::of(unit) else {
            return examine();
        };
        let needed = if unit.step.gang { unit.tasks.len() } else { 1 };
        let (fits, fails) = self.near.entry(shape).or_insert((0, usize::MAX));
        if needed <= *fits {
            return true;
        }
        if needed >= *fails {
            return false;
        }
        let could = examine();
        match could {
            true => *fits = needed,
            false => *fails = needed,
        }
        could
    }
}

impl<'a> Shape<'a> {
    /// The shape of a unit; none if the places that it may take depend on more than that.
    fn of(unit: &Unit<'a>) -> Option<Shape<'a>> {
        let step = unit.step;
        let depends_on_more = unit.needs_advice
            || unit.isolated
            || unit.suspect
            || step.spread.is_some()
            || !unit.failed_on.is_empty();
        let Resources {
            cpu_milli,
            memory_mb,
            accelerators,
        } = unit.resources;
        (!depends_on_more).then(|| Shape {
            service: unit.service,
            resources: [cpu_milli, memory_mb, accelerators],
            label: step.label.as_deref(),
            data_rack: step.data_rack.as_deref(),
            gang: step.gang,
            same_rack: step.same_rack,
            last_chance: unit.last_chance,
            leaves_headroom: unit.leaves_headroom(),
            may_be_withheld: unit.may_be_withheld(),
        })
    }
}
