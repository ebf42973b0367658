"""Stand-ins of the second review: engines, the command channel, clients and the start of fronts."""
