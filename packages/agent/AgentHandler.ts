/** What an exception in a handler of an agent concerns. */
export enum AgentHandler {
  /** One request to the target. */
  Request = "request",
  /** One order to the target. */
  Order = "order",
  /** One round of heartbeats to the relays. */
  Heartbeat = "heartbeat",
  /** One poll of the target. */
  Poll = "poll",
}
