"""The node that carries traffic: its membership, its routes, and a request's path.

handler.py is a request's path from its first byte to the end of its response, composed of the
steps in routing.py, cache_lookup.py, cache_fill.py, owner_client.py, admission.py, attempts.py,
relay.py and rejections.py over the state in context.py. member.py holds the session with the
control plane and the edge's lease; plan.py is a version of the configuration with names turned
into indices; servers.py keeps servers and their connections; process.py puts an edge or a prober
together.
"""
