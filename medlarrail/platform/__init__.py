"""Translates between the users' platform and medlarrail; nothing else.

What decides, remembers or recovers stands outside. Nothing outside this folder
knows a name that the platform uses on the wire.
"""
