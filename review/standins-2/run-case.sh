# Runs one case: called with the case's folder and its program's name by the run.sh of that folder.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
cd "$root" || exit 2
program=build/review-2/$2
[ -x "$program" ] || { echo "COULD NOT RUN: $program is not there; see review/build-2.sh"; exit 2; }
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
CASE_ROOT=$root CASE_FOLDER=$folder CASE_WORK=$work CASE_RUN=$command timeout -k 2 115 "$program"
status=$?
[ "$status" -le 1 ] || status=2
[ -n "${KEEP_LOG:-}" ] && cp "$work"/*.log "$KEEP_LOG" 2>/dev/null
exit "$status"
