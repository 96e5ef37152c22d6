#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec node review/3/case.mjs
