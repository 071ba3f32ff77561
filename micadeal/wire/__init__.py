"""Every message that crosses a process boundary, and nothing else.

The platform's own words (``legs``, ``crew``, ``baton`` ...) appear in this package only, as
``rename`` tables; the rest of the program, and any client that imports this package, uses the
field's ordinary terms.  Nothing here imports another package of the project.
"""
