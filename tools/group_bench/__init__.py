"""Simulates a rank group behind entries and agents, with the decisions of the product.

One run of half a minute takes seconds: a pass of the group is one step, nothing is sent, and the
ledgers, searches, placements and map plans are those of :mod:`bergamotchute_policy`.
"""
