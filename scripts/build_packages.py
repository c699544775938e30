"""Which Debian packages a traced build uses, and which of them are not listed.

A trace is the output of strace with successful calls only. Files in /etc, /proc
and the like are passed over: they configure the machine and are no header,
library or tool.
"""

import os
import re
import subprocess
from collections.abc import Iterable
from dataclasses import dataclass, field

CALL = re.compile(r'^\d+\s+(?P<call>\w+)\((?:AT_FDCWD, |\d+, )?"(?P<path>[^"]+)"(?P<rest>.*)')
CONNECT = re.compile(r'^\d+\s+connect\(.*sa_family=(AF_INET6?)\b')
WRITE_FLAGS = re.compile(r"\bO_(WRONLY|RDWR|CREAT)\b")
CHANGING_CALLS = {"mkdir", "mkdirat", "rename", "renameat", "renameat2", "symlink", "symlinkat", "link", "linkat"}

MACHINE_FOLDERS = ("/dev/", "/etc/", "/proc/", "/run/", "/sys/", "/var/")
# Every program looks for translations and locale data; they do not affect the output.
LOCALE_FOLDERS = ("/usr/share/locale/", "/usr/lib/locale/", "/usr/share/zoneinfo/")
# binutils loads all linker plugins that other compilers installed here; the result of linking is
# the same without them.
LINKER_PLUGINS = "/usr/lib/bfd-plugins"


@dataclass
class Trace:
    """Accesses of a build: the absolute paths that it found, and accesses that are not allowed."""

    used: set[str] = field(default_factory=set)
    written: set[str] = field(default_factory=set)
    connections: int = 0


@dataclass
class Usage:
    """Used files grouped by their package; files without a package are kept separately."""

    files: dict[str, set[str]] = field(default_factory=dict)
    without_package: set[str] = field(default_factory=set)


def parse_trace(lines: Iterable[str]) -> Trace:
    """Parses the lines of a trace. Relative paths are in the checkout and are skipped."""
    trace = Trace()
    for line in lines:
        if CONNECT.match(line):
            trace.connections += 1
        match = CALL.match(line)
        if not match or not match["path"].startswith("/"):
            continue
        path = match["path"]
        trace.used.add(path)
        opened_for_writing = match["call"] in ("open", "openat") and WRITE_FLAGS.search(match["rest"])
        if opened_for_writing or match["call"] in CHANGING_CALLS:
            trace.written.add(os.path.normpath(path))
    return trace


def names_of(path: str) -> set[str]:
    """Returns the path and the file that it links to: a link such as libz.so has its own package."""
    link = os.path.join(os.path.realpath(os.path.dirname(path)), os.path.basename(path))
    return {link, os.path.realpath(path)}


def linker_plugin_files(folder: str = LINKER_PLUGINS) -> set[str]:
    """The linker's plugins and the libraries that they load."""
    files: set[str] = set()
    if not os.path.isdir(folder):
        return files
    for plugin in os.listdir(folder):
        path = os.path.join(folder, plugin)
        files |= names_of(path)
        listing = subprocess.run(["ldd", path], capture_output=True, text=True, check=False).stdout
        for library in re.findall(r"=> (/\S+)", listing):
            files |= names_of(library)
    return files


def system_files(used: Iterable[str], ignored: set[str], own_folder: str) -> set[str]:
    """The regular files and links among the used paths that lie outside the build's own folder."""
    passed_over = (*MACHINE_FOLDERS, *LOCALE_FOLDERS, os.path.join(own_folder, ""))
    files: set[str] = set()
    for path in used:
        for name in names_of(path):
            if name in ignored or name.startswith(passed_over):
                continue
            if os.path.isfile(name):
                files.add(name)
    return files


def query_packages(files: Iterable[str]) -> dict[str, str]:
    """The package of each file, as dpkg knows it. Debian records some files without /usr."""
    owners: dict[str, str] = {}
    ordered = sorted(files)
    spellings = ordered + [name.removeprefix("/usr") for name in ordered]
    # The length of a command line limits the number of names to a few thousand.
    for start in range(0, len(spellings), 1000):
        chunk = spellings[start : start + 1000]
        output = subprocess.run(["dpkg-query", "--search", *chunk], capture_output=True, text=True, check=False).stdout
        for line in output.splitlines():
            if line.startswith("diversion by"):
                continue
            packages, _, name = line.rpartition(": ")
            package = packages.split(",")[0].split(":")[0]
            owners[name] = package
            owners["/usr" + name] = package
    return owners


def usage_of(files: Iterable[str], owners: dict[str, str]) -> Usage:
    """Groups files by package. A link without a package counts for the package of its target."""
    usage = Usage()
    for name in files:
        package = owners.get(name)
        if package:
            usage.files.setdefault(package, set()).add(name)
        elif os.path.realpath(name) not in owners:
            usage.without_package.add(name)
    return usage


def installed_closure(listed: Iterable[str]) -> set[str]:
    """Returns the packages of an empty machine after the listed ones are installed without
    recommended packages.

    Raises RuntimeError when apt cannot resolve the packages."""
    essential = subprocess.run(
        ["dpkg-query", "--show", "--showformat=${Essential} ${Package}\n"], capture_output=True, text=True, check=True
    ).stdout
    base = [line.split()[1] for line in essential.splitlines() if line.startswith("yes ")]
    command = ["apt-get", "install", "--simulate", "--no-install-recommends", "-o", "Dir::State::status=/dev/null"]
    result = subprocess.run([*command, *base, *listed], capture_output=True, text=True, check=False)
    if result.returncode != 0:
        raise RuntimeError(f"apt cannot resolve the listed packages (apt-get update may be due): {result.stderr.strip()}")
    return {line.split()[1] for line in result.stdout.splitlines() if line.startswith("Inst ")}


def unlisted(usage: Usage, available: set[str]) -> dict[str, set[str]]:
    """Returns the used packages that an empty machine would not have."""
    return {package: files for package, files in usage.files.items() if package not in available}


def foreign_writes(written: Iterable[str], allowed: Iterable[str]) -> set[str]:
    """Returns the paths that the build wrote outside the allowed folders."""
    prefixes = tuple(os.path.join(folder, "") for folder in allowed)
    return {path for path in written if not path.startswith(prefixes)}
