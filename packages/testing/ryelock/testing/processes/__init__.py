"""Fleets of real processes on this machine: shapes, bring-up, traffic, faults and a report."""
