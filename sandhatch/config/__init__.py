"""Settings: the platform's (`platform`) and the project's own (`model`, which `run` does not import)."""
