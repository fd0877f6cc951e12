// Package whatif answers what-if questions about a deployment. It simulates a [Scenario]
// with a list of [Change]s (emulator/simulation), once for each of several seeds, and
// reports latencies, success rates and other figures as callers would see them. [Parse]
// parses a change, [Help] lists the changes, and [Run] runs a scenario.
package whatif
