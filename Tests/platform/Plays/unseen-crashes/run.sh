#!/usr/bin/env bash
# Plays crashes whose attempts end for the VM in another way. Exit
# status: 1 if BUDGET was broken, 0 if it held, 2 if the play could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
