#!/bin/sh
exec sh "$(dirname "$0")/../play.sh" forgotten-drain "$(dirname "$0")"
