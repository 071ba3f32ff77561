"""Every message that crosses a process boundary and every stored record, and nothing else.

The platform's own words (``legs``, ``crew``, ``baton`` ...) appear in this package only, as
``rename`` tables (field name: name on the wire); the rest of the program, and any client that
imports this package, uses the field's ordinary terms.  Nothing here imports another package of the
project.

Messages are MessagePack maps unless a module says otherwise.  Unknown fields are ignored, and a
field with a default may be missing.  Names that end in ``_s`` and ``_ms`` are durations in seconds
and milliseconds, ``_gb`` gigabytes; ``cpus`` are cores and ``gpus`` accelerators, both decimal.
"""
