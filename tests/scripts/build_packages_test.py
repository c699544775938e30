"""Tests the check of build packages with recorded traces instead of a build."""

import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts"))

import build_packages  # noqa: E402


class trace_test(unittest.TestCase):
    def test_found_files_and_executed_programs_are_used(self):
        trace = build_packages.parse_trace(
            [
                '12 openat(AT_FDCWD, "/usr/include/xxhash.h", O_RDONLY|O_NOCTTY) = 4',
                '12 execve("/usr/bin/make", ["make"], 0x7ffe /* 9 vars */) = 0',
                '12 access("/usr/bin/grpc_cpp_plugin", R_OK) = 0',
                '12 openat(AT_FDCWD, "CMakeFiles/a.o", O_RDWR|O_CREAT, 0666) = 3',
            ]
        )
        self.assertEqual({"/usr/include/xxhash.h", "/usr/bin/make", "/usr/bin/grpc_cpp_plugin"}, trace.used)
        self.assertEqual(set(), trace.written)

    def test_a_download_is_counted(self):
        trace = build_packages.parse_trace(
            [
                '7 connect(5, {sa_family=AF_INET, sin_port=htons(443), sin_addr=inet_addr("192.0.2.1")}, 16) = 0',
                '7 connect(5, {sa_family=AF_UNIX, sun_path="/run/nscd/socket"}, 110) = 0',
            ]
        )
        self.assertEqual(1, trace.connections)

    def test_files_written_outside_the_checkout_are_found(self):
        trace = build_packages.parse_trace(
            [
                '7 openat(AT_FDCWD, "/usr/local/lib/libx.a", O_WRONLY|O_CREAT|O_TRUNC, 0666) = 3',
                '7 openat(AT_FDCWD, "/scratch/checkout/target/a.o", O_WRONLY|O_CREAT, 0666) = 3',
                '7 openat(AT_FDCWD, "/scratch-of-others/a.o", O_WRONLY|O_CREAT, 0666) = 3',
                '7 mkdir("/opt/cache", 0777) = 0',
            ]
        )
        self.assertEqual(
            {"/usr/local/lib/libx.a", "/scratch-of-others/a.o", "/opt/cache"},
            build_packages.foreign_writes(trace.written, ["/scratch"]),
        )


class package_test(unittest.TestCase):
    def test_a_package_that_is_only_recommended_is_unlisted(self):
        # protobuf-compiler recommends libprotobuf-dev; an empty machine does not get it.
        available = build_packages.installed_closure(["protobuf-compiler"])
        usage = build_packages.usage_of(
            ["/usr/include/google/protobuf/any.h", "/usr/bin/protoc", "/usr/bin/dash"],
            {
                "/usr/include/google/protobuf/any.h": "libprotobuf-dev",
                "/usr/bin/protoc": "protobuf-compiler",
                "/usr/bin/dash": "dash",
            },
        )
        self.assertEqual(["libprotobuf-dev"], list(build_packages.unlisted(usage, available)))

    def test_required_packages_of_listed_ones_are_available(self):
        self.assertIn("libc6-dev", build_packages.installed_closure(["g++"]))

    def test_an_unknown_package_is_an_error(self):
        with self.assertRaises(RuntimeError):
            build_packages.installed_closure(["no-such-package-of-debian"])

    def test_a_file_of_no_package_is_found(self):
        usage = build_packages.usage_of(["/usr/local/include/leftover.h"], {})
        self.assertEqual({"/usr/local/include/leftover.h"}, usage.without_package)

    def test_files_outside_usr_count_but_not_the_build_s_own(self):
        # Guards against libraries that were installed by hand, for example below /opt.
        with tempfile.TemporaryDirectory() as left_over, tempfile.TemporaryDirectory() as own:
            header = Path(left_over) / "leftover.h"
            header.touch()
            object_file = Path(own) / "a.o"
            object_file.touch()
            used = [str(header), str(object_file), "/etc/hostname", "/proc/self/status"]
            files = build_packages.system_files(used, set(), own)
            self.assertEqual({str(header)}, files)
            self.assertEqual({str(header)}, build_packages.usage_of(files, {}).without_package)

    def test_dpkg_knows_the_files_of_this_machine(self):
        names = build_packages.names_of("/bin/sh")
        owners = build_packages.query_packages(names)
        self.assertIn("dash", owners.values())

    def test_a_link_counts_beside_the_file_it_leads_to(self):
        # libz.so belongs to the -dev package and links to a library of another package.
        with tempfile.TemporaryDirectory() as folder:
            library = Path(folder) / "libz.so.1"
            library.touch()
            link = Path(folder) / "libz.so"
            link.symlink_to(library)
            self.assertEqual({str(link), str(library)}, build_packages.names_of(str(link)))


if __name__ == "__main__":
    unittest.main()
