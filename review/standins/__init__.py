"""Stand-ins of the review: clients, query engines, the command channel, and the start of a front.

They keep to the protocol page and use nothing of the project but the command ``run`` of its deploy file.
"""
