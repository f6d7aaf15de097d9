"""The program `ryelock`: its subcommands, and the start and stop of a process."""
