"""Measures the look-up of a key: ``python -m passgate.gateway.access_bench``.

Prints a row of docs/design/tenants.md for each number of keys.
"""

from __future__ import annotations

import secrets
import time
import tracemalloc

from passgate.gateway.access import KeyIndex, Tenant

SIZES = (83, 1_000, 100_000)
LOOK_UPS = 200_000
KEYS_OF_A_TENANT = 2


def measure(keys: int) -> tuple[float, float]:
    """Return nanoseconds a look-up and bytes a key of an index."""
    held = [secrets.token_urlsafe(15) for _ in range(keys)]
    tenants = tuple(
        Tenant(name=f"t{start}", api_keys=tuple(held[start : start + KEYS_OF_A_TENANT]))
        for start in range(0, keys, KEYS_OF_A_TENANT)
    )
    tracemalloc.start()
    index = KeyIndex(tenants)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    requests = [
        (("Host", "h"), ("X-Deadline-Ms", "1500"), ("Authorization", f"Bearer {key}")) for key in held[:1000]
    ]
    began_s = time.perf_counter()
    for number in range(LOOK_UPS):
        index.caller_of(requests[number % len(requests)], public=False)
    return (time.perf_counter() - began_s) / LOOK_UPS * 1e9, size / keys


def main() -> None:
    """Print the table."""
    for keys in SIZES:
        look_up_ns, key_bytes = measure(keys)
        print(f"| {keys:,} | {look_up_ns:,.0f} ns | {key_bytes:,.0f} |")


if __name__ == "__main__":
    main()
