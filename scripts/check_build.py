#!/usr/bin/env python3
"""Builds the product as deploy/system.toml says, in a fresh copy of the sources, and checks what it used.

Fails when the build uses a system package that `packages` does not bring to an
empty machine, opens a network connection, or writes outside target/.
--table prints each used package with the number of its files and an example.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

import build_packages

ROOT = Path(__file__).resolve().parent.parent
TRACE = "strace -f -qq -z --seccomp-bpf -e trace=%file,connect -e signal=none".split()
EXAMPLES = 3


def copy_sources(destination: Path) -> None:
    """Copies the files that a checkout of the working tree would contain."""
    listing = subprocess.run(
        ["git", "ls-files", "-z", "--cached", "--others", "--exclude-standard"], cwd=ROOT, capture_output=True, check=True
    ).stdout
    for name in filter(None, listing.decode().split("\0")):
        source = ROOT / name
        if name.startswith("journal/") or not source.is_file():
            continue
        target = destination / name
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(source, target)


def traced_build(command: str, checkout: Path, scratch: Path) -> build_packages.Trace:
    """Runs the build with a bare environment. Raises RuntimeError when it fails."""
    log = scratch / "build.log"
    trace = scratch / "trace"
    environment = {"PATH": "/usr/bin:/bin", "HOME": str(scratch), "TMPDIR": str(scratch), "LANG": "C.UTF-8"}
    with log.open("w", encoding="utf-8") as output:
        result = subprocess.run(
            [*TRACE, "-o", str(trace), "sh", "-c", command],
            cwd=checkout,
            env=environment,
            stdout=output,
            stderr=subprocess.STDOUT,
            check=False,
        )
    if result.returncode != 0:
        tail = "\n".join(log.read_text(encoding="utf-8", errors="replace").splitlines()[-30:])
        raise RuntimeError(f"the build ended with {result.returncode}:\n{tail}")
    with trace.open(encoding="utf-8", errors="replace") as lines:
        return build_packages.parse_trace(lines)


def find_unexpected_files(checkout: Path, before: set[Path]) -> list[str]:
    """Returns the files outside target/ that the build left in its checkout."""
    return sorted(str(path.relative_to(checkout)) for path in source_files(checkout) - before)


def source_files(checkout: Path) -> set[Path]:
    target = checkout / "target"
    return {path for path in checkout.rglob("*") if path.is_file() and target not in path.parents}


def print_table(usage: build_packages.Usage) -> None:
    for package, files in sorted(usage.files.items()):
        example = sorted(files)[0]
        print(f"{package:32} {len(files):5}  {example}")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--table", action="store_true", help="print each used package")
    options = parser.parse_args()
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    available = build_packages.installed_closure(deploy["packages"])

    with tempfile.TemporaryDirectory() as folder:
        scratch = Path(os.path.realpath(folder))
        checkout = scratch / "checkout"
        copy_sources(checkout)
        before = source_files(checkout)
        trace = traced_build(deploy["build"], checkout, scratch)
        unexpected_files = find_unexpected_files(checkout, before)
        # Paths of the checkout no longer exist once its folder is removed.
        files = build_packages.system_files(trace.used, build_packages.linker_plugin_files(), str(scratch))
        written = build_packages.foreign_writes(trace.written, [str(scratch), "/dev"])

    usage = build_packages.usage_of(files, build_packages.query_packages(files))
    if options.table:
        print_table(usage)
    faults = [
        f"the build uses {package}, which is not listed: {', '.join(sorted(names)[:EXAMPLES])}"
        for package, names in sorted(build_packages.unlisted(usage, available).items())
    ]
    faults += [f"the build uses a file of no package: {name}" for name in sorted(usage.without_package)]
    faults += [f"the build writes outside its checkout: {name}" for name in sorted(written)]
    faults += [f"the build leaves a file outside target/: {name}" for name in unexpected_files]
    if trace.connections > 0:
        faults.append(f"the build opens {trace.connections} network connections")
    for fault in faults:
        print(f"check_build: {fault}", file=sys.stderr)
    if not faults:
        print(f"check_build: ok, {len(files)} files of {len(usage.files)} packages, all listed or required by listed ones")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
