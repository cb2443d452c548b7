#!/usr/bin/env bash
# Runs a case of the second review: case-2.sh FOLDER STAND-IN. Exits with 1 if
# the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
case_folder=$1
root=$(cd "$(dirname "$0")/.." && pwd)
node=$root/target/release/azuremount-node
standin=$root/target/review-2/release/$2
if [ ! -x "$node" ] || [ ! -x "$standin" ]; then
    echo "not built: run the build of the deploy file and review/build-2.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
# A case that takes too long ends with all processes of its group.
timeout -s KILL 115 "$standin" "$node" "$folder" "$case_folder/record.txt"
code=$?
rm -rf "$folder"
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
