"""Clock, unavailable values, errors, invariants, messages and the event time line."""
