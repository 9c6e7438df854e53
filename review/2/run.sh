#!/bin/sh
# Runs the case; see claim.txt.
cd "$(dirname "$0")" && exec python3 run.py
