#!/usr/bin/env bash
# TROUBLE=0 runs the same without the rise of the tail latency.
cd "$(dirname "$0")" && exec python3 scenario.py
