"""Model tests of consensus, journal and replicated state under an adversarial scheduler.

The real consensus, journal and replicated state run in one process on a simulated clock,
network and disk. A schedule (a list of steps) crashes, partitions, freezes and wipes nodes;
invariants are checked after each step against the events that the harness recorded. See
docs/consensus-model.md.
"""
