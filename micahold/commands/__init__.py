"""The command line: one module per sub-command; each imports its subsystem only when it is called."""
