"""What every part of the core speaks of: events, actions, outcomes, records, messages."""
