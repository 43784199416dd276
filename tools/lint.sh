#!/usr/bin/env bash
# Checks format and lint. Usage: tools/lint.sh BUILD_DIR [--fix-format] [FILE...]
# Skips the lint of a file if its content, its headers and .clang-tidy are unchanged since it passed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: tools/lint.sh BUILD_DIR [--fix-format] [FILE...]}
shift
fix=0
if [ "${1:-}" = --fix-format ]; then fix=1; shift; fi
all=$(git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '^proto/gen/')
if [ "$fix" = 1 ]; then echo "$all" | xargs clang-format -i; fi
echo "$all" | xargs clang-format --dry-run -Werror
if [ $# -gt 0 ]; then sources=$*; else sources=$(echo "$all" | grep '\.cc$'); fi
stamps=$build/lint-stamps
mkdir -p "$stamps"
export build stamps
lint_one() {
  # The key is a hash of the file, of each header that the compiler includes, and of .clang-tidy.
  local key
  key=$(python3 - "$1" "$build" <<'PY'
import hashlib, json, shlex, subprocess, sys, os
source, build = sys.argv[1:]
entries = json.load(open(os.path.join(build, 'compile_commands.json')))
entry = next((e for e in entries if e['file'] == os.path.abspath(source)), None)
if entry is None:
    sys.exit(f'{source}: not part of the build')
args = shlex.split(entry['command'])
args = args[1:] if args[0].endswith('ccache') else args
drop = args.index('-o')
args = args[:drop] + args[drop + 2:]
deps = subprocess.run(args + ['-MM'], cwd=entry['directory'], capture_output=True, text=True)
names = deps.stdout.replace('\\\n', ' ').split()[1:]
digest = hashlib.sha256(open('.clang-tidy', 'rb').read())
for name in sorted(names):
    digest.update(open(os.path.join(entry['directory'], name), 'rb').read())
print(digest.hexdigest())
PY
)
  [ -e "$stamps/$key" ] && return 0
  if clang-tidy --quiet -p "$build" "$1" >"$stamps/$$.out" 2>"$stamps/$$.err"; then
    touch "$stamps/$key"
  else
    cat "$stamps/$$.out" >&2
    echo "lint failed: $1" >&2
    return 1
  fi
}
export -f lint_one
echo "$sources" | tr ' ' '\n' | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
echo "format and lint: clean"
