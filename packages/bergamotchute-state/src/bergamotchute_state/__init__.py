"""The replicated control state: operator files, claims, fences, decisions and departures."""
