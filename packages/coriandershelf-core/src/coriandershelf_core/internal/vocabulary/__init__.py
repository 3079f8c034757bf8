"""Types shared by all parts of the core: events, actions, outcomes, records, messages."""
