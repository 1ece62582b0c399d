/** Exit codes of the command line. Scripts rely on the numbers. */
export enum ExitCode {
  Done = 0,
  /** No control replica responded in time; a change may or may not have been accepted. */
  Unreachable = 1,
  Usage = 2,
  /** Another change was accepted first. */
  Conflict = 3,
  /** Control rejected the request, or the requested object does not exist. */
  Refused = 4,
  /** The change is accepted, but was not confirmed in time to be in effect everywhere. */
  NotInForce = 5,
}
