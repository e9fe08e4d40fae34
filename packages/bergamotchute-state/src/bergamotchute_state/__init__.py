"""The replicated control state: files in force, claims, fences and decisions."""
