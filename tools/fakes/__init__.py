"""Small stand-ins for what the platform gives: a model engine and a plain service."""
