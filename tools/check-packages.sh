#!/usr/bin/env bash
# Checks that the Debian packages which deploy/system.toml lists are what its build
# needs beside Go: each is installed, and every tool, header and library that compiling
# and linking the build's C code takes up belongs to one of them or to what they depend on.
# Where dpkg is not there it says so and checks nothing.
#
# Exit code: 0 the list is true, 1 it is not.
set -euo pipefail
cd "$(dirname "$0")/.."

fail() { echo "deploy/system.toml: packages: $*" >&2; exit 1; }

# listed: the packages of the deploy file, one a line.
listed() { sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '" ' | tr ',' '\n'; }

# dependencies PACKAGE...: what the packages depend on, by name, one a line.
dependencies() {
  dpkg-query -W -f '${Pre-Depends}, ${Depends}\n' "$@" 2>/dev/null |
    tr ',|' '\n\n' | sed 's/([^)]*)//; s/:any//; s/ //g' | grep . | sort -u
}

# closure PACKAGE...: the packages and all that they depend on, one a line.
closure() {
  local all new
  all=$(printf '%s\n' "$@" | sort -u)
  while true; do
    # Names of alternatives and of virtual packages that are not installed find nothing.
    new=$( (echo "$all"; dependencies $all || true) | sort -u)
    if [ "$new" = "$all" ]; then break; fi
    all=$new
  done
  echo "$all"
}

# sources: the C headers that the packages with cgo in the build include, as a source
# file. Those of the sanitizer are for builds with -msan.
sources() {
  go list -deps -f '{{if .CgoFiles}}{{$d := .Dir}}{{range .CgoFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}{{range .CFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}{{range .HFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}{{end}}' ./cmd/elmspan |
    grep . | xargs sed -n 's/^#include \(<[a-z0-9_/]*\.h>\).*/#include \1/p' |
    grep -v '<sanitizer/' | sort -u
}

# libraries: the linker's flags of those packages.
libraries() {
  go list -deps -f '{{range .CgoLDFLAGS}}{{.}}{{"\n"}}{{end}}' ./cmd/elmspan | grep . | sort -u
}

# files: every file outside Go that compiling and linking takes up, one a line.
files() {
  (sources; echo 'int main(void) { return 0; }') >"$scratch/main.c"
  command -v gcc
  for tool in cc1 as ld collect2; do command -v "$(gcc -print-prog-name=$tool)"; done
  gcc -M "$scratch/main.c" | tr -d '\\' | tr ' ' '\n' | grep '^/' | grep -v "^$scratch"
  # shellcheck disable=SC2046
  gcc -Wl,--trace -o "$scratch/main" "$scratch/main.c" -Wl,--no-as-needed $(libraries) |
    tr -d '()' | grep '^/' | grep -v '^/tmp/'
}

# owner FILE: the package that the file belongs to.
owner() {
  local path
  path=$(readlink -f "$1")
  # Where /lib is /usr/lib, dpkg knows a file by one of the two.
  { dpkg-query -S "$path" || dpkg-query -S "${path#/usr}"; } 2>/dev/null | head -n 1 | sed 's/:.*//'
}

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
packages=$(listed)
if [ -z "$packages" ]; then fail "none are listed"; fi
if ! command -v dpkg-query >/dev/null; then
  echo "packages of deploy/system.toml: not checked, there is no dpkg here"
  exit 0
fi
for package in $packages; do
  status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
  if [ "$status" != "install ok installed" ]; then fail "$package is not installed"; fi
done
# shellcheck disable=SC2086
known=$(closure $packages)
files | sort -u >"$scratch/files"
count=0
while read -r file; do
  package=$(owner "$file")
  if [ -z "$package" ]; then fail "the build takes up $file, which belongs to no package"; fi
  if ! grep -qxF "$package" <<<"$known"; then fail "the build takes up $file of $package, which is not listed"; fi
  count=$((count + 1))
done <"$scratch/files"
if [ "$count" -lt 20 ]; then fail "only $count files were looked at"; fi
echo "packages of deploy/system.toml:" $packages "hold the $count files that the build takes up"
