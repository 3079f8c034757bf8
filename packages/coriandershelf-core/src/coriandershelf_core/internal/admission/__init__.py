"""Who may enter, in which order works wait, and how much runs at once."""
