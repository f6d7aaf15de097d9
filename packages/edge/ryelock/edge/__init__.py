"""The edge node: request handling, and the session with the control plane.

handler.py handles a request from its first byte to the end of its response, in the steps of
routing.py, cache_lookup.py, cache_fill.py, owner_client.py, admission.py, attempts.py, relay.py and
rejections.py, over the shared state in context.py. member.py holds the session with the control
plane and the edge's lease. plan.py is a version of the configuration with names resolved to
indices. servers.py balances load over upstream servers and pools their connections. process.py
assembles edges, probers and diskless control APIs.
"""
