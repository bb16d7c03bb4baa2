"""Checks for import cycles between modules, and for imports against the order of the platform's packages."""

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
"""Packages that run on the users' platform, lowest layer first; a package imports only lower layers."""

KNOWN_MODULE_CYCLES = [
    {"passgate.check.simulation.faults", "passgate.check.simulation.run"},
    {"passgate.check.socket_faults", "passgate.check.socket_report", "passgate.check.socket_run"},
    {"passgate.emulator.admin_server", "passgate.emulator.standins_server"},
]
"""Import cycles of `passgate serve`'s checks and stand-ins; the list must not grow."""


def find_modules():
    """Return the path of each module of passgate by its name."""
    path_by_module = {}
    for path in ROOT.rglob("*.py"):
        name = ".".join(path.relative_to(ROOT.parent).with_suffix("").parts)
        path_by_module[name.removesuffix(".__init__")] = path
    return path_by_module


def imported_modules(path, modules):
    """Return those of ``modules`` that a file imports, also inside functions."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            submodules = {f"{node.module}.{alias.name}" for alias in node.names}
            names |= (submodules & modules) or {node.module}
    return names & modules


def find_cycles(graph):
    """Return the strongly connected components of more than one node."""
    reachable = {}
    for start in graph:
        seen, pending = set(), [start]
        while pending:
            for node in graph.get(pending.pop(), ()):
                if node not in seen:
                    seen.add(node)
                    pending.append(node)
        reachable[start] = seen
    cycles = []
    for node in graph:
        cycle = {other for other in reachable[node] if node in reachable.get(other, ())}
        if len(cycle) > 1 and cycle not in cycles:
            cycles.append(cycle)
    return cycles


def import_graph():
    """Return the modules that each module imports."""
    path_by_module = find_modules()
    return {
        name: imported_modules(path, set(path_by_module)) - {name} for name, path in path_by_module.items()
    }


def package_of(module):
    parts = module.split(".")
    return parts[1] if len(parts) > 2 else ""


def test_modules_have_no_unknown_import_cycles():
    for cycle in find_cycles(import_graph()):
        assert cycle in KNOWN_MODULE_CYCLES


def test_packages_of_the_platform_import_only_lower_layers():
    upward = [
        (module, imported)
        for module, names in import_graph().items()
        for imported in names
        if package_of(module) in PLATFORM_ORDER
        and package_of(imported) in PLATFORM_ORDER
        and PLATFORM_ORDER.index(package_of(imported)) > PLATFORM_ORDER.index(package_of(module))
    ]
    assert upward == []
