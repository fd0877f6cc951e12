#!/bin/sh
exec sh "$(dirname "$0")/../play.sh" lost-reports "$(dirname "$0")"
