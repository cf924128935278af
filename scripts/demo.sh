#!/usr/bin/env bash
# Starts a complete deployment on loopback, exercises it and stops it. All output is
# written to one folder, which is removed if the demo succeeds.
set -uo pipefail
cd "$(dirname "$0")/.."
bin="$PWD/.venv/bin"
folder="$PWD/run/demo-$$"
mkdir -p "$folder"
pids=()

clean_up() {
  local status=$?
  set +e
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  if [ "$status" -eq 0 ]; then
    rm -rf "$folder"
    rmdir run 2>/dev/null
    echo "demo: ok"
  else
    echo "demo: failed; logs are in ${folder#"$PWD"/}"
  fi
  exit "$status"
}
trap clean_up EXIT
trap 'exit 1' INT TERM
set -e

step() {
  echo "$1"
  "$bin/python" -m medlarrail.testing.demo "$folder" "$2" ${key:+--key "$key"}
}

echo "Writing settings and starting the processes"
"$bin/python" -m medlarrail.testing.deployment "$folder" > "$folder/commands"
while read -r name program arguments; do
  # shellcheck disable=SC2086
  "$bin/$program" $arguments > "$folder/$name.out" 2>&1 &
  pids+=("$!")
  echo "$!" > "$folder/$name.pid"
  echo "  started: $name"
done < "$folder/commands"

export MEDLAR_SETTINGS="$folder/operator.json"
state_urls=$("$bin/python" -c '
import sys
from pathlib import Path
from medlarrail.testing.deployment import read_deployment
print(*read_deployment(Path(sys.argv[1])).list_urls("state"))' "$folder")

echo "Forming the cluster of state members"
tries=0
# shellcheck disable=SC2086
until "$bin/medlar" member bootstrap $state_urls 2> "$folder/bootstrap.err"; do
  tries=$((tries + 1))
  [ "$tries" -lt 50 ] || { cat "$folder/bootstrap.err"; exit 1; }
done
step "Waiting for entries and endpoints" ready

echo "Making a contract"
key=$("$bin/medlar" contract set lea-college --share 2 --once box-office/purchase \
  --new-key | sed -n 's/^key: //p')
"$bin/medlar" contract list

step "Sending prompts with long contexts" first
step "Waiting until the engines have lost them" gap
step "Sending the same prompts again" return
step "Buying a seat with a repeated key" purchase
echo "Taking data centre perth out"
"$bin/medlar" data-centre out perth
step "Sending prompts meanwhile" out
echo "Taking data centre perth in"
"$bin/medlar" data-centre in perth
step "Sending prompts again" in
step "Shutting entry-1 down with a stream open" drain
for pid in $(cat "$folder/entry-1.pid"); do wait "$pid"; done
echo "  seen: entry-1 exited with 0"
"$bin/medlar" status
echo "Stopping everything"
for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
for pid in "${pids[@]}"; do wait "$pid" || true; done
