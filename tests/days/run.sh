#!/usr/bin/env bash
# Plays one kind of trouble at a time, twice in a day, on one site.
#
#   tests/days/run.sh BENCH SITE [PATTERN]
#
# Each line of kinds.txt is a name and an entry of a day; PATTERN picks lines
# by name. The traffic is that of the site's first day. Prints a line for each
# that breaks a rule or falls short, and all of its output to OUT (/tmp/days).
set -euo pipefail
bench=$1 site=$2 pattern=${3:-.}
out=${OUT:-/tmp/days}
here=$(cd "$(dirname "$0")" && pwd)
rules='MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|QUOTA|ORDER|RECOVER|\bONE\b'
mkdir -p "$out"
traffic=$(sed -n '/^name = "quiet-1"/,/^\]$/p' "$site" | sed -n '/^traffic = \[/,/^\]$/p')

play() {
    local name=$1 entry=$2
    {
        echo "name = \"$name\""
        echo 'slot = "trouble"'
        echo "seed = $((RANDOM * 7 + 1))"
        echo 'one = 0.9'
        echo 'zero = 0.1'
        echo 'goal = { floor = 0.3 }'
        echo "faults = ["
        echo "  { at = 8.0, $entry },"
        echo "  { at = 26.0, $entry },"
        echo "]"
        echo "$traffic"
    } >"$out/$name.toml"
    "$bench" run "$site" "$out/$name.toml" >"$out/$name.txt" 2>&1 || true
    # A day that keeps all rules shows only its figures.
    grep -E "^$name |$rules|floor|no ack" "$out/$name.txt" | cut -c1-220 | head -6
}

while IFS='|' read -r name entry; do
    [[ -z $name || $name == \#* ]] && continue
    [[ $name =~ $pattern ]] || continue
    play "$name" "$entry"
done <"$here/kinds.txt"
