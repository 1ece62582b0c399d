/** What an exception in a handler of a gateway concerns. */
export enum GatewayHandler {
  /** One request of a caller. */
  Request = "request",
  /** One connection of a caller. */
  Connection = "connection",
  /** One readiness check. */
  Readiness = "readiness",
  /** One report to a coordinator. */
  Sync = "sync",
  /** One look at a target that may have crashed. */
  CrashWatch = "crash_watch",
  /** One call for permits of limited targets. */
  Permits = "permits",
  /** The queue of one service. */
  Queue = "queue",
  Housekeeping = "housekeeping",
}
