//! Stand-ins, load, trace replay and experiments for arbutusshelf; not shipped.
