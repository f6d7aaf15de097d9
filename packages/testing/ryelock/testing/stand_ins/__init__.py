"""Stand-ins for the outside of a fleet: servers, the list of them, and callers."""
