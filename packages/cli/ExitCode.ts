/** Exit codes of the command line. */
export enum ExitCode {
  Done = 0,
  /** No control replica answered in time; a change may or may not have been accepted. */
  Unreachable = 1,
  Usage = 2,
  /** Another change was accepted first. */
  Conflict = 3,
  /** Control refused the change, or what was asked for does not exist. */
  Refused = 4,
  /** The change is accepted, but was not confirmed in force everywhere in time. */
  NotInForce = 5,
}
