/** Why a log line was not written. */
export enum LogLossCause {
  /** The budget of its class or kind was used up. */
  Budget = "budget",
  /** Too many bytes waited to be read. */
  Unread = "unread",
  /** Writing failed, or had failed shortly before. */
  Unwritable = "unwritable",
}
