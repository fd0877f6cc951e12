// Package maintenance is the calendar of planned maintenance (design 11): windows at
// which a database is replaced, a group's primary is switched or a machine is
// stopped. A window is proposed by one partner and confirmed by the owner of its
// target, then carried out step by step.
//
// The functions are pure. Those that change a calendar return a changed copy; the
// register that the calendar is kept in (package control) decides between
// concurrent changes. Next is called again and again, by the control process that
// leads the role of the window's group, with what it observes of the group; the
// state that Next returns is committed to the register before Next is called for
// that state. So another process can go on with a window at any point.
//
// The calendar guarantees that a group has one window at a time, so that it keeps a
// majority of its databases, and that no more than a third of the machines are
// stopped at once. Next guarantees that a database is handed to the platform only
// after the group no longer counts it as a member.
package maintenance
