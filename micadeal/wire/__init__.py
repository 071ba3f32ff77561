"""All messages between processes and all stored records.

The platform's names on the wire (``legs``, ``crew``, ``baton`` ...) appear only in this package, in
``rename`` tables (field name: name on the wire).  The rest of the program, and any client that
imports this package, uses the usual terms.  This package imports no other package of the project.

Messages are MessagePack maps unless a module says otherwise.  Unknown fields are ignored, and a
field with a default may be missing.  Names that end in ``_s`` and ``_ms`` are durations in seconds
and milliseconds, ``_gb`` gigabytes; ``cpus`` are cores and ``gpus`` accelerators, both decimal.
"""
