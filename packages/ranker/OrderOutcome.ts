/** How a rank responded to an order. */
export enum OrderOutcome {
  Confirmed = "confirmed",
  Refused = "refused",
  NoAnswer = "no_answer",
}
