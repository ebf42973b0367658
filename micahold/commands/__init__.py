"""The command line: one file a sub-command; each imports its subsystem only when it is called."""
