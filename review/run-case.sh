#!/bin/sh
# Runs one case of the review: run-case.sh CASE FOLDER. The record of what was sent, answered and
# run goes to record.txt in FOLDER. All processes are started by the stand-ins' program, which ends
# them; if it is out of time, its whole process group is ended.
cd "$(dirname "$0")/.." || exit 2
root=$PWD
case $2 in
    /*) folder=$2 ;;
    *) folder=$OLDPWD/$2 ;;
esac
program=$root/target/review/release/review-standins
if [ ! -x "$program" ] || [ ! -x "$root/target/release/salttrestle" ]; then
    echo "build first: the build line of deploy/service.toml, then review/build.sh" >&2
    exit 2
fi
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
REVIEW_ROOT=$root timeout -s KILL 117 "$program" "$1" "$folder/record.txt" "$scratch"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
