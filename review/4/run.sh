#!/bin/sh
exec sh "$(dirname "$0")/../play.sh" departed-replica "$(dirname "$0")"
