"""The event recorder and the fleet report made from its lines."""
