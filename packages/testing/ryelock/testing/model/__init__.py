"""Model test of consensus, journal and register under an adversarial scheduler.

The real consensus, journal and register run in one process on a simulated clock, network and
disk. A schedule (a list of steps) crashes, cuts, freezes and wipes nodes; invariants are
checked after each step against what the harness itself saw. See docs/consensus-model.md.
"""
