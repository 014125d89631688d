"""Stand-ins and the start of the project's program, shared by the cases of the review."""
