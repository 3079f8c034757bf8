"""Where a work is sent, what is learnt of replicas, and what follows a failed attempt."""
