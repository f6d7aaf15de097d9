"""The node that carries traffic: its membership, its plan of a version, and a request's path.

member.py holds the session with the control plane and the edge's term; plan.py is a version
of the configuration with names turned into indices; servers.py keeps servers and their links;
gate.py lets orders through within a service's allowance; handler.py is a request's path from its
first byte to the end of its answer, over the steps in routing.py, admission.py, dispatch.py,
answers.py and replies.py; owner.py asks the edge that keeps an object; process.py puts an edge
or a prober together.
"""
