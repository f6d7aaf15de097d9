"""The program `ryelock`: its subcommands, and how a process is started and ended."""
