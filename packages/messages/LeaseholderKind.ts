/** Kinds of processes that hold a serving lease. */
export enum LeaseholderKind {
  Entry = "entry",
  Agent = "agent",
  Relay = "relay",
}
