"""Adapter between the users' platform and medlarrail.

This package only translates messages; decisions, state and recovery belong to the
other packages. Names that the platform uses on the wire appear nowhere else.
"""
