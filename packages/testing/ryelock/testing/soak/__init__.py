"""Soak runs: real processes under overlapping series of signals, restarts and changes.

- `plan`: what a seed stands for.
- `servers`: servers whose requests take a while.
- `clients`: clients that keep using their connections until the process is gone.
- `processes`: signals to processes, and how they end.
- `operators`: changes and purges, and what was acknowledged.
- `series`: one series of a plan, played.
- `judging`: the rules, checked on the records of all of them.
- `run`: one run, and the command.
"""
