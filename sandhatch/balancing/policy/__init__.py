"""Every decision: which server, retry or not, admit or reject."""
