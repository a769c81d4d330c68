#!/usr/bin/env bash
# Plays endpoints that send malformed responses, with real processes. Exit
# status: 1 if a caller got one, 0 if none did, 2 if the play could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
