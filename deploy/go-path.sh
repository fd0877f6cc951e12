# Sourced at the repository's root, by the build (deploy/system.toml) and .ci/run.
# Sees to it that `go` is one that can build this module. An installed Go that
# reads go.mod is left alone, and from Go 1.21 on it fetches a newer one by
# itself. An older one, as Debian 12 has it, is asked to fetch the toolchain that
# go.mod names: a module like any other, checked against Go's checksum database.
# Module archives keep no execute permission, hence the chmod.
if ! command -v go >/dev/null; then
  echo "no Go found: install the packages that deploy/system.toml lists" >&2
  return 1
fi
if ! go list -m >/dev/null 2>&1; then
  go_wanted="v0.0.1-go$(sed -n 's/^go //p' go.mod).$(go env GOHOSTOS)-$(go env GOHOSTARCH)"
  (cd / && GOFLAGS='' GOTOOLCHAIN=local go mod download "golang.org/toolchain@$go_wanted") || return 1
  go_root="$(go env GOMODCACHE)/golang.org/toolchain@$go_wanted"
  chmod a+x "$go_root"/bin/* "$go_root"/pkg/tool/*/* || return 1
  unset GOROOT
  export PATH="$go_root/bin:$PATH"
fi
