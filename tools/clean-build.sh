#!/usr/bin/env bash
# Checks that `packages` in deploy/system.toml lists exactly the packages that a clean build needs:
#  1. A clone builds with a PATH that holds only Go and the programs of the listed packages, their dependencies and the
#     base system. The C compiler sees only the headers and libraries of these (--sysroot). All Go caches are empty.
#  2. If any one of the listed packages is left out, the same build fails.
# The build isn't isolated: the check can't detect files that Go or the compiler opens by absolute paths outside these
# folders. The certificates are this machine's bundle, as ca-certificates generates it.
# Requires Debian's dpkg, git and Go, and takes some minutes.
set -u
cd "$(dirname "$0")/.." || exit 1
# The assignments are commands of their own, as readonly would hide that a substitution has failed.
listed=$(tools/system-packages.sh) || exit 1
build=$(sed -n 's/^build *= *"\(.*\)" *$/\1/p' deploy/system.toml) || exit 1
goroot=$(go env GOROOT) || exit 1
work=$(mktemp -d) || exit 1
readonly listed build goroot work
trap 'chmod -R u+w "$work"; rm -rf "$work"' EXIT
[ -n "$build" ] || { echo "deploy/system.toml has no \"build\" setting"; exit 1; }
is_installed() { [ "$(dpkg-query -W -f '${db:Status-Status}\n' "$1" 2>/dev/null | head -n 1)" = installed ]; }
for package in $listed; do
  is_installed "$package" || { echo "package $package is not installed on this machine, so the check can't run"; exit 1; }
done

# list_closure PACKAGE...: prints these packages and their transitive dependencies, as far as installed, one per line.
list_closure() {
  local pending=("$@") package
  local -A seen=()
  while [ ${#pending[@]} -gt 0 ]; do
    package=${pending[0]}
    pending=("${pending[@]:1}")
    [ -z "${seen[$package]:-}" ] || continue
    is_installed "$package" || continue
    seen[$package]=1
    mapfile -t -O ${#pending[@]} pending < <(dpkg-query -W -f '${Pre-Depends}, ${Depends}' "$package" |
      tr ',|' '\n\n' | sed 's/^ *//; s/[ :(].*//' | grep .)
  done
  printf '%s\n' "${!seen[@]}"
}
# create_root FOLDER PACKAGE...: creates a root folder with the programs, libraries and headers of the base system, these packages and
# their dependencies.
create_root() {
  local root=$1 top
  shift
  mkdir -p "$root/usr"
  for top in bin sbin lib lib64 lib32 libx32; do
    [ -L "/$top" ] && mkdir -p "$root/usr/$top" && ln -s "usr/$top" "$root/$top"
  done
  local base
  base=$(dpkg-query -W -f '${Essential} ${Package}\n' | sed -n 's/^yes //p')
  dpkg -L $(list_closure $base "$@") | grep -E '^/(usr/)?(s?bin|lib|lib32|lib64|libx32|libexec|include)/' | sort -u |
    while read -r file; do { [ -f "$file" ] || [ -L "$file" ]; } && echo "${file#/}"; done |
    tar -C / --no-recursion -T - -cf - | tar -C "$root" -xf -
}
# build_with ROOT CERTIFICATES MODULES LOG: builds a new clone with an empty build cache and with MODULES as the module cache. Sets
# $built_tree to the folder of the clone.
build_with() {
  local tree
  tree=$(mktemp -d "$work/tree.XXXXXX")
  git clone -q . "$tree" || return 1
  (cd "$tree" && env -i PATH="$1/usr/bin:$1/bin:$goroot/bin" HOME="$tree.home" CC="gcc --sysroot=$1" \
    SSL_CERT_FILE="$2" SSL_CERT_DIR="$work/none" GOENV=off GOFLAGS=-modcacherw GOTOOLCHAIN=local \
    GOPROXY="$(go env GOPROXY)" GOSUMDB="$(go env GOSUMDB)" GOCACHE="$tree.cache" GOMODCACHE="$3" GOPATH="$tree.go" \
    ${HTTPS_PROXY:+HTTPS_PROXY="$HTTPS_PROXY"} ${NO_PROXY:+NO_PROXY="$NO_PROXY"} \
    "$1/bin/sh" -c "$build") >"$4" 2>&1
  local status=$?
  built_tree=$tree
  rm -rf "$tree.cache"
  return $status
}

# first_error LOG: prints the first line of a log that reports an error, with URLs masked and cut to 200 characters.
first_error() { grep -m 1 -E 'error|not found|failed' "$1" | sed 's#https\{0,1\}://[^ "]*#ADDRESS#g' | cut -c1-200; }

mkdir "$work/none"
readonly bundle=${SSL_CERT_FILE:-/etc/ssl/certs/ca-certificates.crt}
built_tree=
echo "listed packages: $(echo $listed); Go: $(go version)"
create_root "$work/all" $listed
echo "with all of them: $(ls "$work/all/usr/bin" | wc -l) programs on PATH, git: $([ -e "$work/all/usr/bin/git" ] && echo yes || echo no)"
started_at=$SECONDS
build_with "$work/all" "$bundle" "$work/modules" "$work/log" || { cat "$work/log"; echo "FAILED: the build with the listed packages"; exit 1; }
echo "built in $((SECONDS - started_at)) s: $(cd "$built_tree" && echo target/*)"
"$work/all/usr/bin/readelf" -d "$built_tree/target/gannetline" | grep NEEDED
"$built_tree/target/gannetline" --help >/dev/null || { echo "FAILED: gannetline --help fails"; exit 1; }

status=0
for package in $listed; do
  others=$(echo "$listed" | grep -vx "$package")
  root=$work/without-$package modules=$work/modules certificates=$bundle
  create_root "$root" $others
  list_closure $others | grep -qx "$package" && echo "note: $package is also a dependency of the other packages"
  if [ "$package" = ca-certificates ]; then
    modules=$work/no-modules certificates=$work/none/nothing
  fi
  if build_with "$root" "$certificates" "$modules" "$work/log"; then
    echo "FAILED: the build passes without $package, so it need not be listed"
    status=1
  else
    echo "without $package the build fails: $(first_error "$work/log")"
  fi
  rm -rf "$root"
done
[ $status -eq 0 ] && echo "a clean build needs exactly the listed packages"
exit $status
