#!/usr/bin/env bash
# Proves, as far as that goes without isolation, that `packages` of deploy/system.toml is what a clean build needs:
#  1. a clone is built by a PATH that holds only Go and what the listed packages, what they depend on and the base
#     system bring; the C compiler sees only their headers and libraries (--sysroot); all Go caches are empty;
#  2. without each listed package in turn, the same build fails.
# Not shown: files that Go or the compiler would open by absolute paths outside these folders. The certificates are
# the bundle of this machine, as ca-certificates makes it. Wants Debian's dpkg, git and Go, and some minutes.
set -u
cd "$(dirname "$0")/.." || exit 1
readonly listed=$(tools/system-packages.sh) || exit 1
readonly build=$(sed -n 's/^build *= *"\(.*\)" *$/\1/p' deploy/system.toml)
readonly goroot=$(go env GOROOT)
readonly work=$(mktemp -d)
trap 'chmod -R u+w "$work"; rm -rf "$work"' EXIT
[ -n "$build" ] || { echo "deploy/system.toml has no build line"; exit 1; }
is_installed() { [ "$(dpkg-query -W -f '${db:Status-Status}\n' "$1" 2>/dev/null | head -n 1)" = installed ]; }
for package in $listed; do
  is_installed "$package" || { echo "$package is not installed here, so that nothing can be shown"; exit 1; }
done

# closure PACKAGE...: these packages and all that they depend on, one a line.
closure() {
  local todo=("$@") package
  local -A seen=()
  while [ ${#todo[@]} -gt 0 ]; do
    package=${todo[0]}
    todo=("${todo[@]:1}")
    [ -z "${seen[$package]:-}" ] || continue
    is_installed "$package" || continue
    seen[$package]=1
    mapfile -t -O ${#todo[@]} todo < <(dpkg-query -W -f '${Pre-Depends}, ${Depends}' "$package" |
      tr ',|' '\n\n' | sed 's/^ *//; s/[ :(].*//' | grep .)
  done
  printf '%s\n' "${!seen[@]}"
}
# root_of FOLDER PACKAGE...: a folder with the files of the base system and of these packages.
root_of() {
  local root=$1 top
  shift
  mkdir -p "$root/usr"
  for top in bin sbin lib lib64 lib32 libx32; do
    [ -L "/$top" ] && mkdir -p "$root/usr/$top" && ln -s "usr/$top" "$root/$top"
  done
  local base
  base=$(dpkg-query -W -f '${Essential} ${Package}\n' | sed -n 's/^yes //p')
  dpkg -L $(closure $base "$@") | grep -E '^/(usr/)?(s?bin|lib|lib32|lib64|libx32|libexec|include)/' | sort -u |
    while read -r file; do { [ -f "$file" ] || [ -L "$file" ]; } && echo "${file#/}"; done |
    tar -C / --no-recursion -T - -cf - | tar -C "$root" -xf -
}
# build_with ROOT CERTIFICATES MODULES LOG: the build of a new clone, with an empty build cache.
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
  built=$tree
  rm -rf "$tree.cache"
  return $status
}

# first_error LOG: the first line that names an error, without addresses.
first_error() { grep -m 1 -E 'error|not found|failed' "$1" | sed 's#https\{0,1\}://[^ "]*#ADDRESS#g' | cut -c1-200; }

mkdir "$work/none"
readonly bundle=${SSL_CERT_FILE:-/etc/ssl/certs/ca-certificates.crt}
built=
echo "listed: $(echo $listed); Go: $(go version)"
root_of "$work/all" $listed
echo "with these: $(ls "$work/all/usr/bin" | wc -l) programs on PATH, git: $([ -e "$work/all/usr/bin/git" ] && echo yes || echo no)"
began=$SECONDS
build_with "$work/all" "$bundle" "$work/modules" "$work/log" || { cat "$work/log"; echo "FAILED: the build with what is listed"; exit 1; }
echo "built in $((SECONDS - began)) s: $(cd "$built" && echo target/*)"
"$work/all/usr/bin/readelf" -d "$built/target/gannetline" | grep NEEDED
"$built/target/gannetline" --help >/dev/null || { echo "FAILED: the program doesn't run"; exit 1; }

status=0
for package in $listed; do
  others=$(echo "$listed" | grep -vx "$package")
  root=$work/without-$package modules=$work/modules certificates=$bundle
  root_of "$root" $others
  closure $others | grep -qx "$package" && echo "note: $package comes with the others"
  if [ "$package" = ca-certificates ]; then
    modules=$work/no-modules certificates=$work/none/nothing
  fi
  if build_with "$root" "$certificates" "$modules" "$work/log"; then
    echo "FAILED: the build passes without $package, so that it need not be listed"
    status=1
  else
    echo "without $package the build fails: $(first_error "$work/log")"
  fi
  rm -rf "$root"
done
[ $status -eq 0 ] && echo "the list is what a clean build needs"
exit $status
