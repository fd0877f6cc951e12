// Package maintenance implements the calendar of planned maintenance (design 11): windows
// in which a database is replaced, a group's primary is switched or a machine is stopped.
// A window is proposed by one partner, confirmed by the owner of its target, and then
// carried out step by step.
//
// The functions are pure. Functions that change a calendar return a changed copy; the
// register that stores the calendar (package control) decides between concurrent changes.
// The control process that leads the role of the window's group calls Next repeatedly
// with its observations of the group. A state that Next returns is committed to the
// register before Next is called for that state, so another process can continue with the
// window at any point.
//
// The calendar guarantees that a group has at most one window at a time, so that it keeps
// a majority of its databases, and that at most a third of the machines are stopped at
// once. Next guarantees that a database is handed to the platform only after the group no
// longer counts it as a member.
package maintenance
