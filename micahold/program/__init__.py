"""The process around the controller: configuration, log, and the phases from start to exit."""
