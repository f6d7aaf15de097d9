"""Day files for the users' bench: the kinds of faults, drawing days, and reading reports."""
