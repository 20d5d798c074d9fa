#!/usr/bin/env bash
# Starts a deployment of separate processes on loopback and stops them all on Ctrl-C: examples/start.sh haiphong
set -euo pipefail
cd "$(dirname "$0")/.."
site=${1:?name a site: haiphong or consortium}
bin=${BIN:-target/release}
case "$site" in
  haiphong) net=127.0.2 ;;
  consortium) net=127.0.3 ;;
  *) echo "no such site: $site" >&2; exit 2 ;;
esac
dir="examples/$site"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait' EXIT
"$bin/sorrelland-standin" log --listen "$net.1:7000" > /dev/null & pids+=($!)
for w in $(seq 1 11); do
  "$bin/sorrelland-standin" worker --listen "$net.$((100 + w)):6000" --name "worker-$w" > /dev/null & pids+=($!)
done
for e in 1 2 3; do
  "$bin/sorrellandd" --settings "$dir/entry-$e.ini" & pids+=($!)
  echo "entry-$e pid ${pids[-1]}"
done
for w in $(seq 1 11); do
  "$bin/sorrellandd" --settings "$dir/agent-$w.ini" & pids+=($!)
  echo "agent-$w pid ${pids[-1]}"
done
sleep 3
"$bin/sorrellandctl" --entry "$net.11:8080" --key "$site-operator-key" --file "$dir/accounts.txt"
echo "$site is ready: sorrellandctl --entry $net.11:8080 --key $site-operator-key show workers"
wait
