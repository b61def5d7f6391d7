"""Stand-ins and a small mesh for the cases of the review."""
