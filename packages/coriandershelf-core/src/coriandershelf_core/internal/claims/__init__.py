"""Non-idempotent calls: claims and tickets in the log, and the outcomes of calls."""
