#!/usr/bin/env bash
# TROUBLE=0 sends each job only when the one before has ended.
cd "$(dirname "$0")" && exec python3 scenario.py
