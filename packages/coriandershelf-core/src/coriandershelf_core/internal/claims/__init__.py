"""Non-idempotent calls: claims and tickets in the log, and their answers."""
