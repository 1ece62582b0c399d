import { OrderOutcome } from "./OrderOutcome";

/** Outcome of an order from the rank's confirmation; null means that there was no answer. */
export function getOrderOutcome(isConfirmed: boolean | null): OrderOutcome {
  if (isConfirmed === null) {
    return OrderOutcome.NoAnswer;
  }
  return isConfirmed ? OrderOutcome.Confirmed : OrderOutcome.Refused;
}
