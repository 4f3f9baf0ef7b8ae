#!/usr/bin/env bash
# Plays the case once. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case3 ] && [ -x target/godwitbendd ] || { echo "build first"; exit 2; }
review/bin/case3 review/3 target/godwitbendd
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
