/** How a rank answered an order. */
export enum OrderOutcome {
  Confirmed = "confirmed",
  Refused = "refused",
  NoAnswer = "no_answer",
}
