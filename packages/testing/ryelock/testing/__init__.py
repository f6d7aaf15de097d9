"""What proves the rest: stand-ins, simulator, fleet runner, checkers. No daemon imports it."""
