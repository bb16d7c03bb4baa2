"""Benchmark of API key look-ups: ``python -m passgate.gateway.access_bench``.

Prints the rows of the table in docs/design/tenants.md: number of keys, time per look-up, memory per key.
"""

from __future__ import annotations

import secrets
import time
import tracemalloc

from passgate.gateway.access import ApiKeyIndex, Tenant

KEY_COUNTS = (83, 1_000, 100_000)
LOOKUP_COUNT = 200_000
KEYS_PER_TENANT = 2


def measure_lookups(key_count: int) -> tuple[float, float]:
    """Return the mean time of a look-up in nanoseconds and the memory of the index per key in bytes."""
    api_keys = [secrets.token_urlsafe(15) for _ in range(key_count)]
    tenants = tuple(
        Tenant(name=f"t{start}", api_keys=tuple(api_keys[start : start + KEYS_PER_TENANT]))
        for start in range(0, key_count, KEYS_PER_TENANT)
    )
    tracemalloc.start()
    index = ApiKeyIndex(tenants)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    requests = [
        (("Host", "h"), ("X-Deadline-Ms", "1500"), ("Authorization", f"Bearer {key}"))
        for key in api_keys[:1000]
    ]
    start_s = time.perf_counter()
    for number in range(LOOKUP_COUNT):
        index.authenticate(requests[number % len(requests)], public=False)
    return (time.perf_counter() - start_s) / LOOKUP_COUNT * 1e9, size / key_count


def main() -> None:
    """Print one table row for each of KEY_COUNTS."""
    for key_count in KEY_COUNTS:
        lookup_ns, bytes_per_key = measure_lookups(key_count)
        print(f"| {key_count:,} | {lookup_ns:,.0f} ns | {bytes_per_key:,.0f} |")


if __name__ == "__main__":
    main()
