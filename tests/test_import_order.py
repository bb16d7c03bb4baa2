"""Packages import downwards only: no circle between packages or modules beyond those listed."""

import ast
import pathlib

ROOT = pathlib.Path(__file__).parent.parent / "passgate"

PLATFORM_ORDER = [
    "sharedlog",
    "eligibility",
    "quarantine",
    "gateway",
    "discovery",
    "jobs",
    "versions",
    "duties",
    "daemon",
    "platform",
]
"""Packages that run on the users' platform, the lowest first; a package imports lower ones only."""

KNOWN_MODULE_CIRCLES = [
    {"passgate.check.simulation.faults", "passgate.check.simulation.run"},
    {"passgate.check.socket_faults", "passgate.check.socket_report", "passgate.check.socket_run"},
    {"passgate.emulator.admin_server", "passgate.emulator.standins_server"},
]
"""Circles of `passgate serve`'s checks and stand-ins; the list may shrink and never grows."""


def modules():
    found = {}
    for path in ROOT.rglob("*.py"):
        name = ".".join(path.relative_to(ROOT.parent).with_suffix("").parts)
        found[name.removesuffix(".__init__")] = path
    return found


def imports_of(path, known):
    """Return the modules of passgate that a file imports anywhere."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            whole = {f"{node.module}.{alias.name}" for alias in node.names}
            names |= (whole & known) or {node.module}
    return names & known


def circles(graph):
    """Return the groups of nodes that reach each other (Tarjan, by reachability)."""
    reach = {}
    for start in graph:
        seen, todo = set(), [start]
        while todo:
            for node in graph.get(todo.pop(), ()):
                if node not in seen:
                    seen.add(node)
                    todo.append(node)
        reach[start] = seen
    found = []
    for node in graph:
        circle = {other for other in reach[node] if node in reach.get(other, ())}
        if len(circle) > 1 and circle not in found:
            found.append(circle)
    return found


def module_graph():
    found = modules()
    return {name: imports_of(path, set(found)) - {name} for name, path in found.items()}


def package_of(module):
    parts = module.split(".")
    return parts[1] if len(parts) > 2 else ""


def test_no_circle_of_modules_but_the_known_ones():
    for circle in circles(module_graph()):
        assert circle in KNOWN_MODULE_CIRCLES


def test_packages_of_the_platform_import_downwards():
    upward = [
        (module, imported)
        for module, names in module_graph().items()
        for imported in names
        if package_of(module) in PLATFORM_ORDER
        and package_of(imported) in PLATFORM_ORDER
        and PLATFORM_ORDER.index(package_of(imported)) > PLATFORM_ORDER.index(package_of(module))
    ]
    assert upward == []
