"""The platform's program: assembly and graceful shutdown."""
