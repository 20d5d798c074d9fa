//! Model checking of the core protocol.
