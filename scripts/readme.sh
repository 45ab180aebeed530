#!/bin/bash
# Runs README's commands as they are written there, so that they cannot drift from what works. A command that serves
# is told to end once it says that it does. The test command itself is left out: it is what calls this.
set -uo pipefail
cd "$(dirname "$0")/.."
# No port that another program might have.
export OATBANK__LISTEN=127.0.0.1:0
log=$(mktemp)
trap 'rm -f "$log"' EXIT
ran=0

fail() {
  echo "README's command fails: $1: $2" >&2
  cat "$log" >&2
  exit 1
}

while IFS= read -r command; do
  [ "$command" = scripts/test.sh ] && continue
  : >"$log"
  bash -c "$command" >"$log" 2>&1 </dev/null &
  pid=$!
  told=
  for ((i = 0; i < 6000; i++)); do
    kill -0 "$pid" 2>/dev/null || break
    if [ -z "$told" ] && grep -q ' serves ' "$log"; then
      kill -TERM "$pid"
      told=1
    fi
    sleep 0.1
  done
  kill -0 "$pid" 2>/dev/null && kill -KILL "$pid" && fail "$command" "it neither ends nor serves"
  wait "$pid" || fail "$command" "exit status $?"
  ran=$((ran + 1))
  echo "README: $command"
done < <(sed -e '/^```/,/^```/d' README.md | sed -n 's/^    \([^ ].*\)$/\1/p' | sed 's/  *#.*$//')
[ "$ran" -gt 0 ] || fail "" "there is no command in README.md"
